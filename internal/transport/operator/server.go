package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
	"lagoongw/internal/transport/httpapi"
	"lagoongw/internal/transport/platform"
	"lagoongw/internal/transport/rules"
)

const (
	publishTimeout = 10 * time.Second
	// maxPublishes is the number of publishes that are handled at the same time, since each may hold a whole rule file.
	maxPublishes = 4
)

// Server handles the calls of operators; its exported fields are set before Routes.
type Server struct {
	// TokenHash is the SHA-256 of the operator token, in hexadecimal.
	TokenHash string
	// Rules shows and publishes the rule file.
	Rules *rules.Service
	// Status returns the status of the node.
	Status func() wire.NodeStatus
	// Drain starts to take the node out of service.
	Drain func()
	// Logger logs calls without a valid token.
	Logger zerolog.Logger

	// publishes is the number of publishes in progress.
	publishes atomic.Int64
}

// Routes returns the routes of the operator API.
func (s *Server) Routes() []rest.Route {
	return []rest.Route{
		s.route(http.MethodGet, "/v1/operator/status", s.status),
		s.route(http.MethodGet, "/v1/operator/rules", s.showRules),
		s.route(http.MethodPost, "/v1/operator/rules", s.publishRules),
		s.route(http.MethodPost, "/v1/operator/drain", s.drain),
		s.route(http.MethodGet, "/debug/vars", expvar.Handler().ServeHTTP),
	}
}

func (s *Server) route(method, path string, handle http.HandlerFunc) rest.Route {
	return rest.Route{
		Method:  method,
		Path:    path,
		Handler: s.requireToken(handle),
	}
}

// requireToken wraps a handler so that calls without the operator token get 401 Unauthorized.
func (s *Server) requireToken(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(rule.HashToken(token)), []byte(s.TokenHash)) != 1 {
			s.Logger.Warn().Str("step", r.Method+" "+r.URL.Path).Str("peer", r.RemoteAddr).Msg("operator call refused")
			writeError(w, http.StatusUnauthorized, "expected the operator token as Authorization: Bearer TOKEN")
			return
		}
		handle(w, r)
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, s.Status())
}

func (s *Server) showRules(w http.ResponseWriter, _ *http.Request) {
	state, err := s.Rules.State()
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, state)
}

func (s *Server) publishRules(w http.ResponseWriter, r *http.Request) {
	defer s.publishes.Add(-1)
	if s.publishes.Add(1) > maxPublishes {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "not published: too many publishes at the same time; run the command again")
		return
	}
	var request wire.PublishRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*rule.MaxFileBytes)).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "expected a JSON publish request: "+err.Error())
		return
	}
	if request.PublishID == "" {
		writeError(w, http.StatusBadRequest, "publish-id: missing")
		return
	}
	if _, err := rule.Parse(request.Text); err != nil {
		writeError(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	verdict, err := s.Rules.Publish(ctx, request)
	switch {
	case errors.Is(err, platform.ErrNotAppended):
		writeError(w, http.StatusServiceUnavailable, "not published: "+err.Error())
	case err != nil:
		writeError(w, http.StatusGatewayTimeout,
			"it is unknown whether the file was published; run the command again: "+err.Error())
	case !verdict.Accepted:
		httpapi.WriteJSON(w, http.StatusConflict, verdict)
	default:
		httpapi.WriteJSON(w, http.StatusOK, verdict)
	}
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	httpapi.WriteJSON(w, http.StatusAccepted, s.Status())
}

func writeError(w http.ResponseWriter, status int, message string) {
	httpapi.WriteJSON(w, status, wire.ErrorDetail{
		Message: message,
		Type:    http.StatusText(status),
	})
}
