package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/connection"
)

// defaultBodyBytes bounds a body while no limits are in force.
const defaultBodyBytes = 4 << 20

// Server carries requests; its exported fields are set before it serves.
type Server struct {
	// Codec reads and writes the messages.
	Codec Codec
	// Routes returns the table in force, nil while there is none.
	Routes func() *route.Table
	// Dispatcher chooses upstreams.
	Dispatcher *dispatch.Dispatcher
	// Connections leads to the upstreams.
	Connections *connection.Pool
	// RetryBudget returns the retry budget of a pool.
	RetryBudget func(pool string) *retry.WindowBudget
	// Phase returns how far this node has left service.
	Phase func() drain.Phase
	// Metrics counts requests, sends and answers.
	Metrics *Metrics
	// Logger takes one line for each decision.
	Logger zerolog.Logger

	inFlight atomic.Int64
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ServeHTTP carries one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{
		server:  s,
		w:       w,
		started: time.Now(),
		method:  r.Method,
		target:  target(r),
		host:    r.Host,
		// net/http takes chunks where a length is given as well, and does not tell. What follows such a request may be part
		// of it to another reader (RFC 9112, section 6.3), so that the connection carries no further one.
		last: s.Phase() != drain.Serving || len(r.TransferEncoding) > 0,
	}
	if x.last {
		w.Header().Set("Connection", "close")
	}
	x.path, _, _ = strings.Cut(x.target, "?")
	steps := []func(*http.Request) *ending{
		x.decode,
		x.matchRoute,
		x.identify,
		x.readBody,
		x.refuseLeaving,
	}
	for _, step := range steps {
		if e := step(r); e != nil {
			x.end(*e)
			return
		}
	}
	x.begin(r.Context())
	defer x.cancel()
	x.run()
}

// target returns the path and query as the caller wrote them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (x *exchange) decode(r *http.Request) *ending {
	call, err := x.server.Codec.Decode(r)
	x.call = call
	if err != nil {
		return &ending{
			status: http.StatusBadRequest,
			reason: err.Error(),
		}
	}
	return nil
}

func (x *exchange) matchRoute(*http.Request) *ending {
	table := x.server.Routes()
	if table == nil {
		return &ending{
			status:     http.StatusServiceUnavailable,
			reason:     "no routes known at this node yet",
			retryAfter: retryStarting,
		}
	}
	x.table = table
	x.route = table.Match(x.host, x.path)
	if x.route == nil {
		return &ending{
			status: http.StatusNotFound,
			reason: "no route matches host and path",
		}
	}
	return nil
}

// identify finds the team by the API key, and with it how urgent the request is.
func (x *exchange) identify(*http.Request) *ending {
	team := x.table.TeamByKey(x.call.Key)
	if team == nil {
		if x.table.NeedsKey(x.route) {
			return &ending{
				status: http.StatusUnauthorized,
				reason: "no team holds this API key",
			}
		}
	} else {
		x.team = team.Name
	}
	x.tier = x.table.PriorityLevel(x.route, team)
	return nil
}

func (x *exchange) readBody(r *http.Request) *ending {
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &ending{
			status: http.StatusRequestEntityTooLarge,
			reason: "body longer than allowed",
		}
	case err != nil:
		return &ending{
			status: http.StatusBadRequest,
			reason: "body could not be read whole: " + err.Error(),
		}
	}
	x.body = body
	return nil
}

// refuseLeaving refuses what could not end before this node does; other nodes take it at once.
func (x *exchange) refuseLeaving(*http.Request) *ending {
	if x.server.Phase() < drain.Refusing {
		return nil
	}
	return &ending{
		status:     http.StatusServiceUnavailable,
		reason:     "this entry VM is leaving; ask where to connect",
		retryAfter: retryShortly,
	}
}

// begin fixes the deadline from the caller's patience and the route's timeout.
func (x *exchange) begin(ctx context.Context) {
	timeout := x.route.Timeout()
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	x.deadline = x.started.Add(timeout)
	x.ctx, x.cancel = context.WithDeadline(ctx, x.deadline)
	x.pool = x.route.PoolFor(x.call.ID)
	if pool, known := x.table.Pool(x.pool); known {
		x.engine = pool.Engine != nil
	}
	budget := x.server.RetryBudget(x.pool)
	budget.RecordRequest(x.started)
	x.attempts.Repeatable = x.route.Repeatable()
	x.attempts.MaxAttempts = x.route.MaxAttempts()
	x.attempts.Deadline = x.deadline
	x.attempts.TakeRetryBudget = func() bool { return budget.Take(time.Now()) }
	x.server.Metrics.request(x.route, x.tier)
}
