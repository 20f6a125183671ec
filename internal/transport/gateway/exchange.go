package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/connection"
)

var (
	errOtherRequest = errors.New("answer to another request")
	errShortAnswer  = errors.New("answer ended before its end")
	errSilent       = errors.New("no event for too long")
	errCallerLeft   = errors.New("caller left")
)

// exchange is one caller's request on its way through the node.
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
	body     []byte
	table    *route.Table
	route    *route.Route
	pool     string
	engine   bool
	team     string
	tier     int
	attempts attempt.StateMachine
	excluded []string
	relayed  relayed
	tries    int
	held     *held
	// last tells that the caller's connection is closed after the answer.
	last bool
}

// sending is one send of a request to an upstream.
type sending struct {
	upstream *replica.Replica
	began    time.Time
	place    *dispatch.Assignment
	response *connection.Response
	reply    Reply
	// cost is what the choice reckoned with; the first event is expected well before it.
	cost time.Duration
}

// run sends the request until one answer is final.
func (x *exchange) run() {
	for {
		chosen, e := x.choose()
		if e != nil {
			x.end(*e)
			return
		}
		x.held = nil
		result, err := x.once(chosen)
		if x.callerLeft() && result != attempt.Answered {
			x.abandon(chosen.Replica, err)
			return
		}
		action := x.attempts.Next(result, time.Now())
		x.logSend(chosen.Replica, result, action, err)
		if action != attempt.Again {
			x.finish(action, err)
			return
		}
		x.excluded = append(x.excluded, chosen.Replica.Name())
	}
}

// callerLeft reports whether the caller's connection ended, as opposed to the time being up.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.ctx.Err(), context.Canceled)
}

// maxTries bounds the upstreams that are tried for one request, counting those that could not even be connected to: a
// quarter of the largest pools may be gone at once, and a refused connection takes one round trip.
const maxTries = 24

// choose picks an upstream, and reports the final answer when there is none left.
func (x *exchange) choose() (dispatch.Choice, *ending) {
	x.tries++
	if x.tries > maxTries {
		return dispatch.Choice{}, x.noUpstream("too many upstreams failed")
	}
	choice := x.server.Dispatcher.Choose(dispatch.Request{
		Pool:    x.pool,
		Prompt:  x.call.Prompt,
		Tier:    x.tier,
		Gap:     x.route.TargetGap(),
		Exclude: x.excluded,
	}, rand.Uint64(), time.Now())
	if choice.Replica == nil {
		return dispatch.Choice{}, x.noUpstream(choice.Reason)
	}
	x.logChoice(choice)
	return choice, nil
}

func (x *exchange) noUpstream(reason string) *ending {
	e := x.ending(x.attempts.Final(time.Now()))
	e.reason = reason
	return &e
}

// once sends the request to one upstream and passes its answer on, if it is one to pass on.
func (x *exchange) once(choice dispatch.Choice) (attempt.Result, error) {
	upstream := choice.Replica
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	conn, err := x.server.Connections.Get(ctx, upstream.Address())
	if err != nil {
		x.server.Dispatcher.Unreachable(upstream, time.Now())
		return attempt.Unsent, err
	}
	left := time.Until(x.deadline)
	if left <= 0 {
		conn.Close()
		return attempt.Unsent, context.DeadlineExceeded
	}
	s := &sending{
		upstream: upstream,
		began:    time.Now(),
		cost:     choice.Cost,
	}
	s.place = x.server.Dispatcher.Begin(upstream, x.call.Prompt, choice, x.tier, s.began)
	defer func() { s.place.End(time.Now()) }()
	response, sent, err := conn.Send(ctx, connection.Request{
		Method: x.method,
		Target: x.target,
		Host:   x.host,
		Header: x.server.Codec.Encode(&x.call, SendParams{
			Upstream:      upstream.Name(),
			Team:          x.team,
			TimeLeft:      left,
			PriorityLevel: x.tier,
			Engine:        x.engine,
			ResumeAfter:   x.resumeAfter(),
		}),
		Body:           x.body,
		HeaderDeadline: x.headBy(s.cost),
	})
	if err != nil {
		x.server.Dispatcher.Failed(upstream, time.Now())
		if sent {
			return attempt.Lost, err
		}
		return attempt.Unsent, err
	}
	s.response = response
	return x.receive(s)
}

// headBy is when an upstream that has not even begun its answer is given up.
func (x *exchange) headBy(cost time.Duration) time.Time {
	switch {
	case x.route.Kind() == route.Stream:
		return x.silentAt(cost)
	case x.route.Kind() == route.Safe && !x.attempts.MayHaveRun() && x.route.MaxAttempts() > 1:
		return x.within(max(minPlainSilence, x.route.TargetLatency()))
	}
	return x.deadline
}

// within returns the time after a wait, or the deadline when that is sooner.
func (x *exchange) within(wait time.Duration) time.Time {
	at := time.Now().Add(wait)
	if at.After(x.deadline) {
		return x.deadline
	}
	return at
}

// receive judges the head of an answer and reads on as the kind of the request asks.
func (x *exchange) receive(s *sending) (attempt.Result, error) {
	s.reply = x.server.Codec.DecodeReply(s.response.Response)
	if s.reply.ID != x.call.ID && (s.reply.ID != "" || !s.reply.NotRun) {
		s.response.Discard()
		x.server.Dispatcher.Failed(s.upstream, time.Now())
		return attempt.Lost, errOtherRequest
	}
	if s.reply.NotRun {
		return attempt.NotRun, x.refusedBy(s)
	}
	if x.route.Kind() == route.Stream && s.response.StatusCode == http.StatusOK {
		return x.relay(s)
	}
	return x.hold(s)
}

// refusedBy takes in that the upstream did not run the request; the rest of the answer is read for the connection's sake.
func (x *exchange) refusedBy(s *sending) error {
	if s.response.StatusCode == http.StatusMisdirectedRequest {
		x.server.Dispatcher.Unreachable(s.upstream, time.Now())
	} else {
		x.server.Dispatcher.Refused(s.upstream, time.Now())
	}
	_, _, err := x.readWhole(s)
	return err
}
