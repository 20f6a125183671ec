package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/schedule"
)

// slowReaderWait is how long after the deadline the rest of an answer is still written. A caller that has not read it by
// then is disconnected, so that it doesn't hold memory for longer. The HTTP server must set a write timeout, which
// clears the write deadline of the request before.
const slowReaderWait = 5 * time.Second

// Server forwards callers' requests to upstreams; its exported fields must be set before it serves.
type Server struct {
	// Codec translates between HTTP messages and the types of this package.
	Codec Codec
	// Routes returns the current routing table, nil until one is known.
	Routes func() *route.Table
	// AwaitReady, if set, waits while this node starts, for a bounded time, for its routes and upstreams to be current.
	AwaitReady func(ctx context.Context)
	// Outdated, if set, reports whether newer routes than those of this node may be in force. What these don't allow is then
	// refused for now, since the newer ones may allow it.
	Outdated func() bool
	// Dispatcher chooses upstreams.
	Dispatcher *dispatch.Dispatcher
	// Connections is the pool of connections to the upstreams.
	Connections *connection.Pool
	// ConfirmDown, if set, reports whether an upstream that refuses the connections of this node is down, as opposed to this
	// node's path to it.
	ConfirmDown func(ctx context.Context, address string) bool
	// TellPause, if set, tells another node that an upstream asked to be sent nothing for a while in an answer that came through
	// that node, which the upstream takes for the sender. It must not block.
	TellPause func(node string, upstream *replica.Replica, length time.Duration)
	// RetryBudget returns the retry budget of a pool.
	RetryBudget func(pool string) *retry.WindowBudget
	// Origins keeps where streams began.
	Origins Origins
	// AwaitList, if set, waits for the list of upstreams to be read since a time, and reports whether it was.
	AwaitList func(ctx context.Context, since time.Time) bool
	// ListReadAt, if set, returns when the list of upstreams was last known to be current.
	ListReadAt func() time.Time
	// Usage, if set, counts the requests that began to run.
	Usage Usage
	// AskHolder asks another node for a send to an upstream that has named a limit; it may be nil if there is no other node.
	AskHolder AskHolder
	// TellHolder, if set, returns a place at an upstream to the node that gave it; refused reports that the upstream has turned
	// the request away. It must not block.
	TellHolder func(permit dispatch.Permit, refused bool)
	// Phase returns the phase of this node's drain.
	Phase func() drain.Phase
	// Accepts, if set, reports whether this node accepts a request now whose answer is due by a deadline; by default it
	// accepts none once it refuses requests.
	Accepts func(deadline time.Time) bool
	// Memory limits what is held for callers and upstreams.
	Memory *memory.Budget
	// Crowded, if set, reports whether callers' connections are to be closed after their answer, since too many are open.
	Crowded func() bool
	// Metrics counts requests, sends and answers.
	Metrics *Metrics
	// Logger receives one line for each decision.
	Logger zerolog.Logger

	inFlight atomic.Int64
	crashes  crashChecks
	tasks    schedule.Tasks
	endOnce  sync.Once
	// ending ends when the requests in flight are to be ended.
	ending context.Context
	end    context.CancelFunc
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Stop ends the checks of upstreams that go on in the background. It waits for those in flight, and cancels them once the context
// ends.
func (s *Server) Stop(ctx context.Context) { s.tasks.Stop(ctx) }

// EndRequests ends the requests in flight: each is answered now by what has become of it, or its answer is broken off if a part
// of it was sent.
func (s *Server) EndRequests() {
	s.requestsEnd()
	s.end()
}

// requestsEnd returns a context that ends when the requests in flight are to be ended.
func (s *Server) requestsEnd() context.Context {
	s.endOnce.Do(func() { s.ending, s.end = context.WithCancel(context.Background()) })
	return s.ending
}

// ServeHTTP forwards one request and answers it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{
		server:     s,
		w:          w,
		started:    time.Now(),
		method:     r.Method,
		target:     requestTarget(r),
		host:       r.Host,
		bodyUnread: r.ContentLength != 0,
		// net/http accepts a chunked request that has a Content-Length as well, and doesn't report the length. Another HTTP
		// parser may find the end of such a request at the length (RFC 9112, section 6.3), so the connection is closed
		// after it.
		closeConnection: s.Phase() != drain.Serving || len(r.TransferEncoding) > 0 || s.crowded(),
		oldCaller:       !r.ProtoAtLeast(1, 1),
		requestMemory:   s.Memory.NewReservation(memory.Requests),
	}
	if x.closeConnection {
		w.Header().Set("Connection", "close")
	}
	x.path, _, _ = strings.Cut(x.target, "?")
	defer x.releaseMemory()
	steps := []func(*http.Request) *localAnswer{
		x.reserve,
		x.decode,
		x.awaitReady,
		x.matchRoute,
		x.checkHeaderSize,
		x.identify,
		x.readBody,
		x.refuseWhileDraining,
	}
	for _, step := range steps {
		if answer := step(r); answer != nil {
			x.sendLocalAnswer(*answer)
			return
		}
	}
	x.begin(r.Context())
	defer x.cancel()
	if answer := x.takeUpStream(); answer != nil {
		x.sendLocalAnswer(*answer)
		return
	}
	x.run()
}

func (s *Server) accepts(deadline time.Time) bool {
	if s.Accepts == nil {
		return s.Phase() < drain.Refusing
	}
	return s.Accepts(deadline)
}

func (s *Server) crowded() bool { return s.Crowded != nil && s.Crowded() }

// requestTarget returns the path and query as the caller wrote them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (x *exchange) decode(r *http.Request) *localAnswer {
	call, err := x.server.Codec.Decode(r)
	x.call = call
	if err != nil {
		return &localAnswer{
			status: http.StatusBadRequest,
			reason: err.Error(),
		}
	}
	return nil
}

// awaitReady waits for a node that is starting, which is soon able to serve the request.
func (x *exchange) awaitReady(r *http.Request) *localAnswer {
	if x.server.AwaitReady != nil {
		x.server.AwaitReady(r.Context())
	}
	return nil
}

func (x *exchange) matchRoute(*http.Request) *localAnswer {
	table := x.server.Routes()
	if table == nil {
		return &localAnswer{
			status:     http.StatusServiceUnavailable,
			reason:     "no routes known at this node yet",
			retryAfter: retryAfterStarting,
		}
	}
	x.table = table
	x.settings = table.Settings()
	x.route = table.Match(x.host, x.path)
	if x.route == nil {
		return x.server.deny(http.StatusNotFound, "no route matches host and path")
	}
	return nil
}

// deny returns the answer to a request that the routes don't allow.
func (s *Server) deny(status int, reason string) *localAnswer {
	if s.Outdated != nil && s.Outdated() {
		return &localAnswer{
			status:     http.StatusServiceUnavailable,
			reason:     reason + " in the routes of this node, which may be outdated",
			retryAfter: retryAfterStarting,
		}
	}
	return &localAnswer{
		status: status,
		reason: reason,
	}
}

// checkHeaderSize enforces the operator's limit on the size of a request's header.
func (x *exchange) checkHeaderSize(r *http.Request) *localAnswer {
	limit := x.settings.Limits.HeaderBytes
	if limit <= 0 || headerBytes(r) <= limit {
		return nil
	}
	return &localAnswer{
		status: http.StatusRequestHeaderFieldsTooLarge,
		reason: fmt.Sprintf("header longer than the %d bytes that are allowed", limit),
	}
}

// headerBytes returns the size of a request's header on the wire, apart from optional white space.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": \r\n") + len(value)
		}
	}
	return size
}

// identify finds the team by the API key and sets the request's priority level.
func (x *exchange) identify(*http.Request) *localAnswer {
	team := x.table.TeamByKey(x.call.Key)
	if team == nil {
		if x.table.NeedsKey(x.route) {
			return x.server.deny(http.StatusUnauthorized, "no team holds this API key")
		}
	} else {
		x.team = team.Name
	}
	x.priorityLevel = x.table.PriorityLevel(x.route, team)
	x.table = nil
	return nil
}

// refuseWhileDraining refuses a request that may not end before this node stops; other nodes can serve it at once.
func (x *exchange) refuseWhileDraining(*http.Request) *localAnswer {
	if x.server.accepts(x.started.Add(x.timeout())) {
		return nil
	}
	return &localAnswer{
		status:     http.StatusServiceUnavailable,
		reason:     "this entry VM is leaving; ask where to connect",
		retryAfter: retryAfterRefused,
	}
}

// begin sets the deadline from the caller's timeout and the route's, and prepares the attempts.
func (x *exchange) begin(ctx context.Context) {
	x.deadline = x.started.Add(x.timeout())
	ctx, cancelCause := context.WithCancelCause(ctx)
	stopWatching := context.AfterFunc(x.server.requestsEnd(), func() { cancelCause(errStopping) })
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	x.ctx, x.cancel = ctx, func() {
		stopWatching()
		cancel()
		cancelCause(nil)
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(slowReaderWait))
	x.setPool(x.route.PoolFor(x.call.ID))
	if x.call.ResumeAfter != "" {
		x.progress.sequence.Resume(x.call.ResumeAfter)
	}
	x.attempts.Repeatable = x.route.Repeatable()
	x.attempts.MaxAttempts = x.route.MaxAttempts()
	x.attempts.Deadline = x.deadline
	x.attempts.TakeRetryBudget = func() bool {
		return !x.repeatQuarantined() && x.server.RetryBudget(x.pool).Take(time.Now())
	}
	x.server.Metrics.countRequest(x.route, x.priorityLevel)
	x.server.RetryBudget(x.pool).RecordRequest(x.started)
}

// setPool sets the pool whose upstreams the request is sent to.
func (x *exchange) setPool(name string) {
	x.pool = name
	pool, known := x.settings.Pool(name)
	x.toEngine = known && pool.Engine != nil
}

// timeout returns the caller's timeout or the route's, whichever is shorter.
func (x *exchange) timeout() time.Duration {
	if x.call.Timeout > 0 {
		return min(x.route.Timeout(), x.call.Timeout)
	}
	return x.route.Timeout()
}
