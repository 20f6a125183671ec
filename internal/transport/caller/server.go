package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/entry"
	"lagoongw/internal/coordination/estimate"
	"lagoongw/internal/coordination/quota"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/rule"
	"lagoongw/internal/transport/claims"
	"lagoongw/internal/transport/upstream"
)

// Limits on what a caller may send.
const (
	MaxBodyBytes   = 4 << 20
	MaxHeaderBytes = 32 << 10
	maxKeyBytes    = 200
)

// Server answers callers; its exported fields are set before Handler.
type Server struct {
	// Name is this node's name; Location is where it stands.
	Name     string
	Location entry.Location
	// Incarnation makes the request IDs of this start unlike those of any other.
	Incarnation string
	// Address is where callers reach this node.
	Address string
	// EntryAnswerTTL is how long callers may keep an entry answer.
	EntryAnswerTTL time.Duration
	// KeyLifetime is how long an idempotency key is honoured.
	KeyLifetime time.Duration
	// StreamIdleTimeout is the longest that a stream may be silent before it is resumed elsewhere.
	StreamIdleTimeout time.Duration
	// Rules returns the rule file in force, nil while there is none.
	Rules func() *rule.File
	// Members returns the known members.
	Members func() []wire.Member
	// Phase returns how far this node has left service.
	Phase func() drain.Phase
	// Gate returns the gate of a pool, nil for an unknown one.
	Gate func(pool string) *admission.Gate
	// MarkLeaving notes that an upstream refused because it leaves.
	MarkLeaving func(name, sign string)
	// Router chooses upstreams.
	Router *routing.Router
	// Claims decides requests that must run at most once.
	Claims *claims.Service
	// Limiter holds the teams' limits.
	Limiter *quota.Limiter
	// Upstream sends the attempts.
	Upstream *upstream.Client
	// Outcomes remembers what became of requests.
	Outcomes *outcome.Store
	// Estimates learns service times and lengths by class.
	Estimates *estimate.Estimator
	// RetryBudget returns the retry budget of a pool.
	RetryBudget func(pool string) *retry.Budget
	// FetchPeerStatus asks another member what became of a request that it took.
	FetchPeerStatus func(ctx context.Context, member, id string) (wire.RequestStatus, bool)
	// Metrics counts by class.
	Metrics *Metrics
	// RecordDemand is told of each chat request for a model.
	RecordDemand func(model string, tier int)
	// Logger takes one line for each routing decision.
	Logger zerolog.Logger

	issuedMu sync.Mutex
	issued   claim.KeyIssuer
	requests atomic.Int64
	inFlight atomic.Int64
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Routes returns the callers' routes.
func (s *Server) Routes() []rest.Route {
	s.issued = claim.KeyIssuer{
		Node:        s.Name,
		Incarnation: s.Incarnation,
		Lifetime:    s.KeyLifetime,
	}
	routes := []rest.Route{
		{
			Method:  http.MethodGet,
			Path:    "/v1/entry-vms",
			Handler: s.entryVMs,
		},
		{
			Method:  http.MethodPost,
			Path:    "/v1/chat/completions",
			Handler: s.counted(s.chat),
		},
		{
			Method:  http.MethodPost,
			Path:    "/v1/keys",
			Handler: s.issueKey,
		},
		{
			Method:  http.MethodGet,
			Path:    "/v1/requests/{id}",
			Handler: s.requestStatus,
		},
	}
	methods := []string{
		http.MethodGet,
		http.MethodPost,
		http.MethodPut,
		http.MethodPatch,
		http.MethodDelete,
	}
	for _, method := range methods {
		routes = append(routes, rest.Route{
			Method:  method,
			Path:    "/services/{name}/{path...}",
			Handler: s.counted(s.service),
		})
	}
	return routes
}

func (s *Server) counted(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		handle(w, r)
	}
}
