package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"lagoongw/internal/protocol/wire"
)

// EnginePool is the pool that serves chat requests; ChatService is the service name by which rules match them.
const (
	EnginePool  = "engines"
	ChatService = "chat"
)

// chat handles a chat completion request.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	defer s.dropTo(j, 0)
	j.pool = EnginePool
	steps := []func() *errorAnswer{
		func() *errorAnswer { return s.authenticate(r, j) },
		func() *errorAnswer { return s.checkKey(r, j) },
		func() *errorAnswer { return s.readBody(w, r, j) },
		func() *errorAnswer { return parseChat(j) },
		func() *errorAnswer { return s.matchRule(j, ChatService) },
		func() *errorAnswer { return s.countDemand(j) },
		func() *errorAnswer { return s.admit(r.Context(), j) },
	}
	for _, step := range steps {
		if e := step(); e != nil {
			s.writeError(w, j, *e)
			return
		}
	}
	defer func() { j.permit.Release() }()
	if j.stream {
		s.forwardStream(w, r, j)
		return
	}
	s.forward(w, r, j)
}

// countDemand reports the request to RecordDemand, which may be nil.
func (s *Server) countDemand(j *job) *errorAnswer {
	if s.RecordDemand != nil {
		s.RecordDemand(j.model, j.tier())
	}
	return nil
}

// parseChat validates the body and sets the model, stream mode, and prompt prefix of the job.
func parseChat(j *job) *errorAnswer {
	var request wire.ChatRequest
	if err := json.Unmarshal(j.body, &request); err != nil {
		return badRequest("body", "expected a JSON chat request: "+err.Error())
	}
	if request.Model == "" || len(request.Model) > maxModelBytes {
		return badRequest("model", "expected the name of a model, at most 256 bytes")
	}
	if len(request.Messages) == 0 {
		return badRequest("messages", "expected at least one message")
	}
	j.model = request.Model
	j.stream = request.Stream
	j.promptPrefix = promptPrefixHash(request)
	return nil
}

// promptPrefixHash hashes the part of the prompt that engines are likely to have cached: the model and the start of the
// first message.
func promptPrefixHash(request wire.ChatRequest) string {
	const maxPrefixBytes = 512
	text := fmt.Sprint(request.Messages[0].Content)
	if len(text) > maxPrefixBytes {
		text = text[:maxPrefixBytes]
	}
	sum := sha256.Sum256([]byte(request.Model + "\x00" + text))
	return hex.EncodeToString(sum[:8])
}
