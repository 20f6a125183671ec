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
	maxModelBytes  = 256
)

// Server serves the API for callers; its exported fields must be set before Routes is called.
type Server struct {
	// Name is this node's name; Location is its availability zone and region.
	Name     string
	Location entry.Location
	// Incarnation keeps the request IDs of this start of the node distinct from those of other starts.
	Incarnation string
	// Address is this node's address for callers.
	Address string
	// EntryAnswerTTL is how long callers may cache the addresses of the entry VMs.
	EntryAnswerTTL time.Duration
	// KeyLifetime is how long an idempotency key is valid.
	KeyLifetime time.Duration
	// StreamIdleTimeout is the longest time between two events of an upstream before its stream is resumed elsewhere.
	StreamIdleTimeout time.Duration
	// CallerStallTimeout is the longest time in which a caller sends nothing of its body, or accepts nothing of its answer.
	CallerStallTimeout time.Duration
	// MaxHeldBytes is the size of the request and answer bodies that this node holds at the same time, by default
	// DefaultMaxHeldBytes. Requests beyond it are refused.
	MaxHeldBytes int64
	// Rules returns the rule file in force, nil while there is none.
	Rules func() *rule.File
	// Members returns the entry VMs that this node knows, itself included.
	Members func() []wire.Member
	// Phase returns this node's drain phase.
	Phase func() drain.Phase
	// Gate returns the admission gate of a pool, nil for an unknown pool.
	Gate func(pool string) *admission.Gate
	// MarkLeaving is called when a response says that an upstream is leaving; sign says how that became known.
	MarkLeaving func(name, sign string)
	// Router chooses upstreams.
	Router *routing.Router
	// Claims decides whether this node may dispatch a request that must run at most once.
	Claims *claims.Service
	// Limiter enforces the teams' rate limits.
	Limiter *quota.Limiter
	// Upstream sends the attempts to upstreams.
	Upstream *upstream.Client
	// Outcomes stores the status of recent requests.
	Outcomes *outcome.Store
	// Estimates learns service times and output lengths by class.
	Estimates *estimate.Estimator
	// RetryBudget returns the retry budget of a pool.
	RetryBudget func(pool string) *retry.Budget
	// FetchPeerStatus asks another member for the status of a request that it received; it may be nil.
	FetchPeerStatus func(ctx context.Context, member, id string) (wire.RequestStatus, bool)
	// Metrics counts requests and tokens by class.
	Metrics *Metrics
	// RecordDemand is called for each chat request that matches a rule; it may be nil.
	RecordDemand func(model string, tier int)
	// Logger receives one line for each routing decision, decision on an issued key, outcome, interrupted stream, and
	// answer that belongs to another request.
	Logger zerolog.Logger

	keyIssuerMu  sync.Mutex
	keyIssuer    claim.KeyIssuer
	requestCount atomic.Int64
	inFlight     atomic.Int64
	held         heldBytes
}

// InFlight returns the number of chat and service requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Routes returns the routes for callers; it also resets the issuer of idempotency keys and applies defaults.
func (s *Server) Routes() []rest.Route {
	s.keyIssuer = claim.KeyIssuer{
		Node:        s.Name,
		Incarnation: s.Incarnation,
		Lifetime:    s.KeyLifetime,
	}
	if s.MaxHeldBytes == 0 {
		s.MaxHeldBytes = DefaultMaxHeldBytes
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
			Handler: s.countInFlight(s.chat),
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
			Handler: s.countInFlight(s.service),
		})
	}
	return routes
}

// countInFlight includes the requests of a handler in InFlight.
func (s *Server) countInFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next(w, r)
	}
}
