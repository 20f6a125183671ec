package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/connection"
)

var (
	errOtherRequest    = errors.New("answer to another request")
	errTruncatedStream = errors.New("answer ended before its end")
	errEventTooLong    = errors.New("event longer than this entry VM takes")
	errNoEventMemory   = errors.New("no memory left at this entry VM for a long event")
	errErrorNotHeld    = errors.New("upstream's error was too long to hold")
	errStreamStalled   = errors.New("no event for too long")
	errCallerLeft      = errors.New("caller left")
	errOtherVersion    = errors.New("upstream has another version than the one that began the stream")
	errAtLimit         = errors.New("upstream is at the limit that it has named")
	errStopping        = errors.New("this entry VM is stopping")
)

// exchange is the state of one caller's request until its final answer.
type exchange struct {
	server   *Server
	w        http.ResponseWriter
	ctx      context.Context
	cancel   context.CancelFunc
	started  time.Time
	deadline time.Time
	method   string
	target   string
	path     string
	host     string
	call     Call
	// body holds the blocks of the request body.
	body [][]byte
	// bodyUnread reports whether the request has a body that was not read to its end.
	bodyUnread bool
	// table is nil once the request is identified: a request that lasts would hold all routes of its version.
	table    *route.Table
	settings route.Settings
	route    *route.Route
	// pool is the name of the pool that the route selects for this request.
	pool string
	// toEngine reports whether the upstreams of the pool are model engines.
	toEngine bool
	team     string
	// origin is where the stream that the request goes on with began, nil before the first event of a new one.
	origin *origin.Origin
	// weights is the version of the weights that the last event was made with, empty if unknown.
	weights string
	// beginning is the send that brought the first event, nil before that.
	beginning *upstreamSend
	// priorityLevel is 0 for the most urgent requests.
	priorityLevel int
	attempts      attempt.StateMachine
	// excluded holds the names of the upstreams that were tried.
	excluded []string
	progress relayProgress
	// tries counts the calls of choose, whether or not a send followed, except those for which a permit was denied, which
	// denials counts.
	tries, denials int
	// buffered is the last complete answer of an upstream, nil if there is none or if it was sent as it arrived.
	buffered *bufferedAnswer
	// sentStatus is the status of an answer that was sent as it arrived, 0 for a stream.
	sentStatus int
	// closeConnection reports whether the caller's connection is closed after the answer.
	closeConnection bool
	// oldCaller reports whether the caller speaks HTTP/1.0, which has no chunks.
	oldCaller     bool
	requestMemory memory.Reservation
	// probe reports that the answer decides whether the request or a part of its prompt is still quarantined.
	probe bool
	// next is the send for which the last upstream was given up, nil if none was.
	next *preparedSend
	// quarantine is why the request is not sent again, nil if it is for no quarantine.
	quarantine *quarantine.Quarantine
	// digest identifies the request when it comes again, 0 until identifyRepeat.
	digest uint64
	// ranWell reports that an upstream answered for longer than one that the prompt crashes.
	ranWell bool
	// usageCounted reports that the request was counted as begun.
	usageCounted bool
}

// upstreamSend is one send of the request to an upstream.
type upstreamSend struct {
	upstream *replica.Replica
	started  time.Time
	// connectedAt is when the connection was opened.
	connectedAt time.Time
	// refused reports that the upstream has turned a request away, maybe this one.
	refused bool
	// confirmed reports that a list of upstreams that was read since then shows the upstream as it was chosen.
	confirmed  atomic.Bool
	assignment *dispatch.Assignment
	response   *connection.Response
	reply      Reply
	// succession watches for the silence of the upstream.
	succession *succession
	// cost is the Cost of the choice, which adds other costs to the predicted time; the first event is expected in much
	// less time.
	cost time.Duration
}

// run sends the request to one upstream after another until an answer is final.
func (x *exchange) run() {
	defer x.endProbe()
	defer func() { x.release(x.next) }()
	for {
		if x.stopped() {
			x.finishWithout(*x.noUpstream(errStopping.Error()))
			return
		}
		send, refusal := x.takeNext()
		if refusal != nil {
			x.finishWithout(*refusal)
			return
		}
		upstream := send.choice.Replica
		result, err := x.sendOnce(send)
		if errors.Is(err, errAtLimit) && !x.callerLeft() {
			if refusal = x.denied(); refusal == nil {
				continue
			}
			x.finishWithout(*refusal)
			return
		}
		if x.callerLeft() && result != attempt.Answered {
			x.abandon(upstream, err)
			return
		}
		action := x.attempts.Next(result, time.Now())
		x.recordSend(upstream, result, action, err)
		if action != attempt.Again {
			x.finish(action, err)
			return
		}
		x.excluded = append(x.excluded, upstream.Name())
	}
}

// takeNext returns the send for which the last upstream was given up, or else one to an upstream that it chooses. It returns the
// final answer if there is none.
func (x *exchange) takeNext() (*preparedSend, *localAnswer) {
	if next := x.next; next != nil {
		x.next = nil
		return next, nil
	}
	choice, refusal := x.choose()
	return &preparedSend{choice: choice}, refusal
}

// callerLeft reports whether the caller disconnected, as opposed to the deadline passing.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.ctx.Err(), context.Canceled) && !x.stopped()
}

// stopped reports whether the request is to end because this node stops.
func (x *exchange) stopped() bool { return errors.Is(context.Cause(x.ctx), errStopping) }

// maxTries limits the upstreams that are chosen for one request. Unlike the limits of attempt.StateMachine it includes
// those that refuse the connection. It is high, since a quarter of the largest pools may be down at once and a refused
// connection takes only one round trip.
const maxTries = 24

// choose picks an upstream, or returns the final answer if none is left.
func (x *exchange) choose() (dispatch.Choice, *localAnswer) {
	if refused := x.quarantined(); refused != nil {
		return dispatch.Choice{}, refused
	}
	x.tries++
	if x.tries > maxTries {
		return dispatch.Choice{}, x.noUpstream("too many upstreams failed")
	}
	choice := x.server.Dispatcher.Choose(x.dispatchRequest(), rand.Uint64(), time.Now())
	if choice.Replica == nil {
		answer := x.noUpstream(choice.Reason)
		if answer.retryAfter > 0 && !choice.RetryAt.IsZero() {
			answer.retryAfter = time.Until(choice.RetryAt)
		}
		return dispatch.Choice{}, answer
	}
	x.logChoice(choice)
	return choice, nil
}

func (x *exchange) dispatchRequest() dispatch.Request {
	if x.server.Dispatcher.KnowsRepeats() {
		x.identifyRepeat()
	}
	var version string
	if x.origin != nil {
		version = x.origin.Version
	}
	return dispatch.Request{
		Pool:    x.pool,
		Prompt:  x.call.Prompt,
		Tier:    x.priorityLevel,
		Gap:     x.route.TargetGap(),
		Digest:  x.digest,
		Exclude: x.excluded,
		Bound:   x.origin != nil,
		Version: version,
		// Each denial may have taken a round trip to the holder of a limit.
		AvoidLimited: x.denials > 0,
	}
}

// noUpstream returns the final answer to a request for which no other upstream can be chosen. Its status still depends
// on whether the request may have run.
func (x *exchange) noUpstream(reason string) *localAnswer {
	answer := x.localAnswerFor(x.attempts.Final(time.Now()))
	answer.reason = reason
	return &answer
}

// prepare connects to the upstream of a send and takes what its limits require. On an error nothing was sent and nothing is held.
func (x *exchange) prepare(ctx context.Context, p *preparedSend) error {
	upstream := p.choice.Replica
	conn, err := x.server.Connections.Get(ctx, upstream.Address(), x.call.ID)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			x.recordUnreachable(upstream, err)
		}
		return err
	}
	if !x.confirmVersion(ctx, upstream, conn.OpenedAt()) {
		x.server.Connections.Put(conn, 0)
		return errOtherVersion
	}
	permit := x.takePermit(ctx, upstream)
	if !permit.Granted {
		x.server.Connections.Put(conn, 0)
		return errAtLimit
	}
	p.conn, p.permit = conn, permit
	return nil
}

// sendOnce sends the request to one upstream and reads its answer. If the upstream was given up, the next send is kept.
func (x *exchange) sendOnce(p *preparedSend) (result attempt.Result, err error) {
	upstream := p.choice.Replica
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	if p.conn == nil {
		if err := x.prepare(ctx, p); err != nil {
			return attempt.Unsent, err
		}
	}
	s := &upstreamSend{
		upstream:    upstream,
		started:     time.Now(),
		connectedAt: p.conn.OpenedAt(),
		cost:        p.choice.Cost,
		succession: &succession{
			exchange: x,
			upstream: upstream,
			conn:     p.conn,
		},
	}
	defer func() { x.releasePermit(p.permit, s.refused) }()
	left := time.Until(x.deadline)
	if left <= 0 {
		p.conn.Close()
		return attempt.Unsent, context.DeadlineExceeded
	}
	s.assignment = x.server.Dispatcher.Begin(upstream, x.dispatchRequest(), p.choice, s.started)
	defer func() { s.assignment.End(time.Now()) }()
	s.succession.expect(x.headerDeadline(s.cost))
	response, sent, err := p.conn.Send(ctx, connection.Request{
		Method: x.method,
		Target: x.target,
		Host:   x.host,
		Header: x.server.Codec.Encode(&x.call, SendParams{
			Upstream:      upstream.Name(),
			Team:          x.team,
			TimeLeft:      left,
			PriorityLevel: x.priorityLevel,
			Engine:        x.toEngine,
			ResumeAfter:   x.resumeAfter(),
			Weights:       x.weights,
		}),
		Body:           x.body,
		HeaderDeadline: x.deadline,
	})
	if !s.succession.heard() {
		if response != nil {
			response.Discard()
		}
		return x.giveUp(s)
	}
	if err != nil {
		x.server.Dispatcher.Failed(upstream, time.Now())
		if sent {
			x.suspectCrash(s, err)
			return attempt.Lost, err
		}
		return attempt.Unsent, err
	}
	s.response = response
	return x.receive(s)
}

// giveUp ends a send whose upstream was silent for too long, and keeps the next one.
func (x *exchange) giveUp(s *upstreamSend) (attempt.Result, error) {
	x.next = s.succession.next
	return attempt.Lost, errUpstreamSilent
}

// recordUnreachable tells the dispatcher that no connection to an upstream could be opened, unless the caller has left.
func (x *exchange) recordUnreachable(upstream *replica.Replica, err error) {
	var unreachable *connection.UnreachableError
	switch {
	case x.callerLeft(), x.stopped():
	case errors.As(err, &unreachable) && !unreachable.Confirmed:
		x.server.Dispatcher.UnreachableFromHere(upstream, time.Now())
	default:
		x.server.Dispatcher.Unreachable(upstream, time.Now())
	}
}

// headerDeadline returns when an upstream that has not sent the header of its answer has been silent for too long: early for a safe
// request, which may run at another upstream as well.
func (x *exchange) headerDeadline(cost time.Duration) time.Time {
	switch {
	case x.route.Kind() == route.Stream:
		return x.silenceDeadline(time.Now(), cost)
	case x.route.Kind() == route.Safe:
		return x.deadlineAfter(max(minPlainAnswerWait, x.route.TargetLatency()))
	}
	return x.deadline
}

// deadlineAfter returns the time after a wait, or the request's deadline if that is sooner.
func (x *exchange) deadlineAfter(wait time.Duration) time.Time {
	at := time.Now().Add(wait)
	if at.After(x.deadline) {
		return x.deadline
	}
	return at
}

// belongsToRequest reports whether an answer is that to the request. It must name the ID of the request; only a refusal may omit
// it, as the first answer on its connection: a later one may be a copy of the refusal of another request.
func (x *exchange) belongsToRequest(s *upstreamSend) bool {
	return s.reply.ID == x.call.ID || s.reply.ID == "" && s.reply.NotRun && s.response.First()
}

// receive checks the header of an answer and reads the body as the route's kind requires.
func (x *exchange) receive(s *upstreamSend) (attempt.Result, error) {
	s.reply = x.server.Codec.DecodeReply(s.response.Response)
	if !x.belongsToRequest(s) {
		s.response.Discard()
		x.recordForeign(s)
		return attempt.Lost, errOtherRequest
	}
	x.heedUpstream(s)
	if x.otherWeights(s) {
		s.response.Discard()
		return attempt.Lost, errOtherVersion
	}
	if s.reply.NotRun {
		s.refused = true
		s.response.RecordRefusal(x.call.ID)
		return attempt.NotRun, x.recordRefusal(s)
	}
	s.assignment.Answering(time.Now())
	if x.progress.headWritten {
		if result, err := x.refuseContinuation(s); err != nil {
			return result, err
		}
	}
	if x.route.Kind() == route.Stream && s.response.StatusCode == http.StatusOK {
		x.setBuffered(nil)
		return x.relayStream(s)
	}
	x.countPlainUsage()
	return x.bufferAnswer(s)
}

// recordForeign tells the dispatcher of an answer that may not be that to the request. A refusal without an ID says nothing certain
// of the request, but the upstream is full or asks for less.
func (x *exchange) recordForeign(s *upstreamSend) {
	if s.reply.ID != "" || !s.reply.NotRun {
		x.server.Dispatcher.Failed(s.upstream, time.Now())
		return
	}
	s.refused = true
	x.heedUpstream(s)
	x.server.Dispatcher.Refused(s.upstream, time.Now())
}

// heedUpstream passes on to the dispatcher what an upstream asks for in the header of an answer. Status 421 comes from
// another upstream than the one that was meant.
func (x *exchange) heedUpstream(s *upstreamSend) {
	now := time.Now()
	from := s.upstream
	if s.response.StatusCode == http.StatusMisdirectedRequest {
		if from = x.server.Dispatcher.Lookup(s.reply.Instance); from == nil {
			return
		}
	}
	if s.reply.Leaving && x.server.Dispatcher.SaidLeaving(from) {
		x.server.Logger.Info().Str("decision", "upstreams").Str("request-id", x.call.ID).Str("upstream", from.Name()).
			Msg("upstream says that it is leaving; it is sent no new requests")
	}
	if x.server.Dispatcher.Limited(from, s.reply.Limit, s.started, now) {
		x.logLimit(from, s.reply.Limit)
	}
	load := s.reply.Load
	load.At = now
	if x.server.Dispatcher.Brittle(from, s.reply.Brittle, load, s.started, now) {
		x.logBrittle(from, s.reply.Brittle)
	}
	if s.reply.RetryAfter > 0 {
		x.server.Dispatcher.Pause(from, s.reply.RetryAfter, now)
		if between, ok := s.response.Net().(interface{ Via() string }); ok && x.server.TellPause != nil {
			x.server.TellPause(between.Via(), from, s.reply.RetryAfter)
		}
		x.server.Logger.Info().Str("decision", "upstreams").Str("request-id", x.call.ID).Str("upstream", from.Name()).
			Dur("pause-ms", s.reply.RetryAfter).Msg("upstream asked to be sent nothing for a while")
	}
}

// recordRefusal tells the dispatcher that the upstream did not run the request, and ends the answer. Status 421 means
// that another upstream has taken over the address, or that this one has other weights than those that the request needs.
func (x *exchange) recordRefusal(s *upstreamSend) error {
	switch {
	case s.response.StatusCode != http.StatusMisdirectedRequest:
		x.server.Dispatcher.Refused(s.upstream, time.Now())
	case x.weights == "" || s.reply.Instance != s.upstream.Name():
		x.server.Dispatcher.Unreachable(s.upstream, time.Now())
	}
	return x.skipBody(s)
}

const (
	// maxRefusalBytes and refusalBodyWait limit how much of a refusal's body is read, and for how long it is waited for,
	// so that its connection can be reused; beyond them the connection is closed.
	maxRefusalBytes = 4 << 10
	refusalBodyWait = 100 * time.Millisecond
)

// skipBody reads the body of a refusal, and releases or closes the connection.
func (x *exchange) skipBody(s *upstreamSend) error {
	s.response.SetReadDeadline(x.deadlineAfter(refusalBodyWait))
	n, err := io.Copy(io.Discard, io.LimitReader(s.response.Body, maxRefusalBytes))
	if err != nil || n == maxRefusalBytes {
		s.response.Discard()
		return err
	}
	s.response.Release(x.server.Connections, s.reply.IdleTimeout)
	return nil
}
