package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"lagoongw/internal/protocol/wire"
)

// Pool and service names of model traffic.
const (
	EnginePool  = "engines"
	ChatService = "chat"
)

// chat carries a chat completion to an engine.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	j.pool = EnginePool
	steps := []func() *ending{
		func() *ending { return s.identify(r, j) },
		func() *ending { return s.checkKey(r, j) },
		func() *ending { return s.readBody(w, r, j) },
		func() *ending { return parseChat(j) },
		func() *ending { return s.match(j, ChatService) },
		func() *ending { return s.countDemand(j) },
		func() *ending { return s.admit(r.Context(), j) },
	}
	for _, step := range steps {
		if e := step(); e != nil {
			s.end(w, j, *e)
			return
		}
	}
	defer func() { j.pass.Release() }()
	if j.stream {
		s.relay(w, r, j)
		return
	}
	s.run(w, r, j)
}

func (s *Server) countDemand(j *job) *ending {
	if s.RecordDemand != nil {
		s.RecordDemand(j.model, j.tier())
	}
	return nil
}

func parseChat(j *job) *ending {
	var request wire.ChatRequest
	if err := json.Unmarshal(j.body, &request); err != nil {
		return badRequest("body", "expected a JSON chat request: "+err.Error())
	}
	if request.Model == "" {
		return badRequest("model", "expected the name of a model")
	}
	if len(request.Messages) == 0 {
		return badRequest("messages", "expected at least one message")
	}
	j.model = request.Model
	j.stream = request.Stream
	j.prefix = prefixOf(request)
	return nil
}

// prefixOf names the part of the prompt that engines are likely to have cached: the model and the first message.
func prefixOf(request wire.ChatRequest) string {
	const maxPrefix = 512
	text := fmt.Sprint(request.Messages[0].Content)
	if len(text) > maxPrefix {
		text = text[:maxPrefix]
	}
	sum := sha256.Sum256([]byte(request.Model + "\x00" + text))
	return hex.EncodeToString(sum[:8])
}
