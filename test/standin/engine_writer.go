package standin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"lagoongw/internal/protocol/wire"
)

type engineWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	begun   bool
}

func (o *engineWriter) begin() {
	if !o.begun {
		o.begun = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.WriteHeader(http.StatusOK)
	}
}

func (o *engineWriter) heartbeat() {
	if !o.stream {
		return
	}
	o.begin()
	_, _ = fmt.Fprint(o.w, ": waiting\n\n")
	_ = o.control.Flush()
}

func (o *engineWriter) piece(p wire.ChatAnswer) {
	o.begin()
	data, _ := json.Marshal(p)
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", data)
	_ = o.control.Flush()
}

func (o *engineWriter) finish(id, model, text string, tokens int) {
	if o.stream {
		o.begin()
		_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
		_ = o.control.Flush()
		return
	}
	writeJSON(o.w, wire.ChatAnswer{
		ID:     id,
		Object: "chat.completion",
		Model:  model,
		Choices: []wire.ChatChoice{{
			Message: &wire.ChatMessage{
				Role:    "assistant",
				Content: text,
			},
		}},
		Usage: &wire.ChatUsage{CompletionTokens: tokens},
	})
}
