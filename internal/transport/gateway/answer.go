package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/connection"
)

const (
	// retryAfterStarting is the Retry-After of a node that knows no routes yet; the first read of the store takes less.
	retryAfterStarting = 300 * time.Millisecond
	// retryAfterRefused is the Retry-After where no upstream took the request, or where this node is draining.
	retryAfterRefused = 200 * time.Millisecond
	// retryAfterFull is the Retry-After of a node without memory for the request: about the time of one request.
	retryAfterFull = 500 * time.Millisecond
)

// localAnswer is a final answer that comes from this node and not from an upstream. Status 0 means that an answer that
// was already begun is aborted.
type localAnswer struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// localAnswerFor returns this node's answer for a final action other than Deliver.
func (x *exchange) localAnswerFor(action attempt.Action) localAnswer {
	switch action {
	case attempt.Refuse:
		if x.quarantine != nil {
			return quarantineAnswer(x.quarantine, time.Now())
		}
		return localAnswer{
			status:     http.StatusServiceUnavailable,
			reason:     "no upstream took the request; it has not run",
			retryAfter: retryAfterRefused,
		}
	case attempt.Expire:
		return localAnswer{
			status: http.StatusGatewayTimeout,
			reason: "the time is up; the request may have run",
		}
	case attempt.Abort:
		return localAnswer{reason: "the stream broke off and can't go on elsewhere"}
	}
	return localAnswer{ // attempt.Fail
		status: http.StatusBadGateway,
		reason: "the upstream's answer was lost; the request may have run",
	}
}

// finish carries out a final action: it delivers the upstream's answer, or a local one whose reason includes the cause.
func (x *exchange) finish(action attempt.Action, cause error) {
	if action == attempt.Deliver && x.buffered == nil && !x.progress.headWritten {
		action = attempt.Fail // the upstream's error was not held
	}
	if action != attempt.Deliver {
		answer := x.localAnswerFor(action)
		if cause != nil {
			answer.reason += ": " + cause.Error()
		}
		x.finishWithout(answer)
		return
	}
	x.deliver()
}

// finishWithout ends a request for which no more answers can be had. An upstream's error that was to be replaced by a
// better answer is delivered after all; else the caller is sent the local answer.
func (x *exchange) finishWithout(answer localAnswer) {
	if x.buffered != nil && !x.progress.headWritten {
		x.deliver()
		return
	}
	x.sendLocalAnswer(answer)
}

// deliver sends the buffered answer, if there is one, and records the answer.
func (x *exchange) deliver() {
	status := cmp.Or(x.sentStatus, http.StatusOK)
	if x.buffered != nil {
		status = x.buffered.status
		if err := x.writeBuffered(); err != nil {
			x.recordAnswer(status, "caller left before the answer: "+err.Error())
			return
		}
	}
	x.recordAnswer(status, "upstream's answer passed on")
}

// sendLocalAnswer writes a local answer. If part of an upstream's answer has been sent, it aborts the connection
// instead, so that the caller can't take that part for a complete answer.
func (x *exchange) sendLocalAnswer(answer localAnswer) {
	x.recordAnswer(answer.status, answer.reason)
	if x.progress.headWritten {
		x.abort()
	}
	controller := http.NewResponseController(x.w)
	if x.bodyUnread {
		_ = controller.SetReadDeadline(time.Now().Add(skippedBodyWait))
	}
	if x.ctx == nil { // begin has set no write deadline, and the server's may have passed
		_ = controller.SetWriteDeadline(time.Now().Add(slowReaderWait))
	}
	header := x.w.Header()
	if answer.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := answer.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.status)
	_, _ = x.w.Write([]byte(body))
}

// abort ends an answer that was begun by closing the connection. A caller of HTTP/1.0 takes that for the answer's end,
// unless the connection is reset.
func (x *exchange) abort() {
	if x.oldCaller {
		if conn, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
			connection.Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// abandon logs that the caller has disconnected, and aborts the handler.
func (x *exchange) abandon(upstream *replica.Replica, cause error) {
	reason := "caller left"
	if cause != nil {
		reason += ": " + cause.Error()
	}
	x.server.Logger.Info().
		Str("decision", "abandon").
		Str("request-id", x.call.ID).
		Str("upstream", upstream.Name()).
		Int("events", x.progress.events).
		Dur("after-ms", time.Since(x.started)).
		Str("outcome", reason).
		Msg("request abandoned")
	x.server.Metrics.countAnswer(0)
	panic(http.ErrAbortHandler)
}

// timeToFirstEvent returns the time from the start of the request to its first event, 0 if there was none.
func (x *exchange) timeToFirstEvent() time.Duration {
	if x.progress.events == 0 {
		return 0
	}
	return x.progress.firstEventAt.Sub(x.started)
}

func (x *exchange) logChoice(choice dispatch.Choice) {
	x.server.Logger.Info().
		Str("decision", "route").
		Str("request-id", x.call.ID).
		Str("route", x.route.Name()).
		Int("routes-version", x.settings.Version).
		Str("pool", x.pool).
		Int("tier", x.priorityLevel).
		Int("candidates", choice.Candidates).
		Dur("cost-ms", choice.Cost).
		Dur("predicted-ms", choice.Predicted).
		Bool("interactive", choice.Interactive).
		Int("uncached-tokens", choice.Uncached).
		Str("reason", choice.Reason).
		Str("upstream", choice.Replica.Name()).
		Str("version", choice.Replica.Version()).
		Str("resumes", x.call.Resumes).
		Str("resume-after", x.resumeAfter()).
		Msg("upstream chosen")
}

// recordSend counts a send by its result, and logs it unless it was answered.
func (x *exchange) recordSend(upstream *replica.Replica, result attempt.Result, action attempt.Action, err error) {
	x.server.Metrics.countSend(result)
	if result == attempt.Answered {
		return
	}
	givenUp := isGivenUp(err)
	if givenUp {
		x.server.Metrics.countGivenUp(action)
	}
	x.server.Logger.Warn().
		Err(err).
		Str("decision", "send-again").
		Str("request-id", x.call.ID).
		Str("step", "send").
		Str("peer", upstream.Name()).
		Str("result", result.String()).
		Bool("given-up", givenUp).
		Dur("limit-ms", x.deadline.Sub(x.started)).
		Int("sends", x.attempts.Sends()).
		Int("events", x.progress.events).
		Dur("left-ms", time.Until(x.deadline)).
		Str("outcome", action.String()).
		Msg("send failed")
}

// isGivenUp reports whether a send ended because of the upstream's silence, while its connection was open.
func isGivenUp(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errStreamStalled) || errors.Is(err, errUpstreamSilent)
}

// recordAnswer counts and logs a final answer; status 0 is an aborted one.
func (x *exchange) recordAnswer(status int, reason string) {
	x.server.Metrics.countAnswer(status)
	entry := x.server.Logger.Info()
	if status >= http.StatusBadRequest || status == 0 {
		entry = x.server.Logger.Warn()
	}
	if x.route != nil {
		x.server.Metrics.observeAnswer(x.route, x.priorityLevel, time.Since(x.started))
		entry = entry.Str("route", x.route.Name()).Dur("limit-ms", x.timeout())
	}
	entry.
		Str("decision", "answer").
		Str("request-id", x.call.ID).
		Int("status", status).
		Int("sends", x.attempts.Sends()).
		Int("events", x.progress.events).
		Dur("longest-gap-ms", x.progress.maxGap).
		Dur("first-event-ms", x.timeToFirstEvent()).
		Dur("after-ms", time.Since(x.started)).
		Bool("leaving", x.server.Phase() != drain.Serving).
		Str("outcome", reason).
		Msg("request answered")
}
