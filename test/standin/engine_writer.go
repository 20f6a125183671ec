package standin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"lagoongw/internal/protocol/wire"
)

// engineWriter writes an answer as server-sent events or, if stream is false, as a single JSON object.
type engineWriter struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	stream        bool
	headerWritten bool
}

func (o *engineWriter) writeHeader() {
	if !o.headerWritten {
		o.headerWritten = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.WriteHeader(http.StatusOK)
	}
}

// writeHeartbeat writes a comment on a stream, which keeps the connection from appearing idle.
func (o *engineWriter) writeHeartbeat() {
	if !o.stream {
		return
	}
	o.writeHeader()
	_, _ = fmt.Fprint(o.w, ": waiting\n\n")
	_ = o.control.Flush()
}

func (o *engineWriter) writeChunk(chunk wire.ChatAnswer) {
	o.writeHeader()
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", data)
	_ = o.control.Flush()
}

// finish writes the end of a stream, or the whole answer if it is not streamed.
func (o *engineWriter) finish(id, model, text string, tokens int) {
	if o.stream {
		o.writeHeader()
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
