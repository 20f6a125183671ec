package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/schedule"
)

const (
	// crashCheckDelay is how long after the end of a connection the upstream is checked, so that a process that ends has
	// closed its listener.
	crashCheckDelay = 50 * time.Millisecond
	// maxSuspects is the number of requests that are suspected of one crash.
	maxSuspects = 64
)

// suspect is a request that ended before its answer or just after it had begun; whole reports that it may have come to its
// end.
type suspect struct {
	request dispatch.Request
	whole   bool
}

// crashCheck holds the suspects of a crash until it is known whether the upstream has crashed.
type crashCheck struct {
	suspects []suspect
	// done is closed when it is known.
	done chan struct{}
}

// crashChecks holds the checks that are under way by upstream.
type crashChecks struct {
	mu         sync.Mutex
	byUpstream map[*replica.Replica]*crashCheck
}

// add adds a suspect of a possible crash, and reports whether it is the first.
func (c *crashChecks) add(upstream *replica.Replica, s suspect) (check *crashCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check = c.byUpstream[upstream]
	if check == nil {
		if c.byUpstream == nil {
			c.byUpstream = map[*replica.Replica]*crashCheck{}
		}
		check = &crashCheck{done: make(chan struct{})}
		c.byUpstream[upstream] = check
		first = true
	}
	if len(check.suspects) < maxSuspects {
		check.suspects = append(check.suspects, s)
	}
	return check, first
}

// take removes a check and returns its suspects.
func (c *crashChecks) take(upstream *replica.Replica) []suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer delete(c.byUpstream, upstream)
	return c.byUpstream[upstream].suspects
}

// recordWhole records that an answer has come to its end, which shows that the upstream can run the request. The end of an
// answer that ends with its connection may be that of the upstream.
func (x *exchange) recordWhole(s *upstreamSend) {
	endsWithConnection := s.response.ContentLength < 0 && len(s.response.TransferEncoding) == 0
	if endsWithConnection && s.assignment.MayHaveCrashed(time.Now()) {
		x.checkCrash(s, true)
		return
	}
	s.assignment.Completed(x.answeredRequest(s), time.Now())
}

// answeredRequest returns what a whole answer shows to run well: not the prompt if the answer is an error.
func (x *exchange) answeredRequest(s *upstreamSend) dispatch.Request {
	request := x.dispatchRequest()
	if s.response.StatusCode >= http.StatusMultipleChoices {
		request.Prompt = nil
	}
	return request
}

// suspectCrash has the upstream checked if its connection ended before its answer or just after it had begun, unless it was
// about to leave. A probe waits for the result, and so does a request that might be repeated, if nothing of its answer has
// come or a cause in it was suspected before.
func (x *exchange) suspectCrash(s *upstreamSend, cause error) {
	x.ranWell = x.ranWell || s.assignment.RanWell()
	if connectionEnded(cause) && s.assignment.MayHaveCrashed(time.Now()) && !s.upstream.Leaving() &&
		!x.server.Dispatcher.IsBrittle(s.upstream) { // which falls over by what it refuses, not by what it runs
		x.checkCrash(s, false)
	}
}

// checkCrash has the upstream checked because of an answer that has just ended; whole reports that it may have come to its
// end.
func (x *exchange) checkCrash(s *upstreamSend, whole bool) {
	now := time.Now()
	x.identifyRepeat()
	request := x.dispatchRequest()
	if whole {
		request = x.answeredRequest(s)
	}
	check, first := x.server.crashes.add(s.upstream, suspect{
		request: s.assignment.Suspect(request),
		whole:   whole,
	})
	if first && !x.server.tasks.Go(func(ctx context.Context) {
		defer close(check.done)
		x.server.checkCrash(ctx, s.upstream, now)
	}) {
		close(check.done)
	}
	unanswered := s.response == nil
	if whole || !x.probe && (!x.route.Repeatable() || !unanswered && !x.server.Dispatcher.Suspected(request)) {
		return
	}
	select {
	case <-check.done:
	case <-x.ctx.Done():
	}
}

// connectionEnded reports whether an answer broke off because the upstream's connection ended.
func connectionEnded(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedStream, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// checkCrash tells the dispatcher of a crash if the upstream refuses connections, of another node as well. If it accepts one, answers that may have
// come to their end did.
func (s *Server) checkCrash(ctx context.Context, upstream *replica.Replica, at time.Time) {
	schedule.Pause(ctx, crashCheckDelay)
	suspects := s.crashes.take(upstream)
	err := s.Connections.Probe(ctx, upstream.Address())
	var crashed []dispatch.Request
	for _, suspect := range suspects {
		crashed = append(crashed, suspect.request)
		if err == nil && suspect.whole {
			s.Dispatcher.RanWell(suspect.request, time.Now())
		}
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || upstream.Leaving() {
		return
	}
	if s.ConfirmDown != nil && !s.ConfirmDown(ctx, upstream.Address()) {
		return
	}
	s.Dispatcher.Crashed(upstream, crashed, at, time.Now())
	s.Logger.Warn().
		Str("decision", "quarantine").
		Str("upstream", upstream.Name()).
		Strs("parts", partIDs(crashed)).
		Strs("requests", digests(crashed)).
		Msg("upstream crashed; the requests that it had not answered are suspected, and the parts of those prompts that it " +
			"had just begun to answer")
}

// partIDs returns the IDs of the shared parts of the prompts of requests.
func partIDs(requests []dispatch.Request) (ids []string) {
	seen := map[uint64]bool{}
	for _, request := range requests {
		p := request.Prompt
		for _, part := range p[:max(len(p)-1, 0)] {
			if !seen[part.ID] {
				seen[part.ID] = true
				ids = append(ids, formatID(part.ID))
			}
		}
	}
	return ids
}

// digests returns the digests of requests.
func digests(requests []dispatch.Request) (ids []string) {
	for _, request := range requests {
		ids = append(ids, formatID(request.Digest))
	}
	return ids
}

func formatID(id uint64) string { return strconv.FormatUint(id, 16) }

// identifyRepeat computes the digest of the request, by which it is recognized when it comes again: of its method, target,
// caller and body.
func (x *exchange) identifyRepeat() {
	if x.digest != 0 {
		return
	}
	hash := sha256.New()
	caller := cmp.Or(x.team, x.call.Key)
	for _, text := range []string{x.method, x.host, x.target, caller} {
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = io.WriteString(hash, text)
	}
	for _, block := range x.body {
		_, _ = hash.Write(block)
	}
	x.digest = max(binary.BigEndian.Uint64(hash.Sum(nil)), 1)
}

// exempt reports whether a quarantine does not concern the request: a probe until it has reached an upstream, and one that
// is known to have run well.
func (x *exchange) exempt() bool { return x.ranWell || x.probe && x.attempts.Sends() == 0 }

// endProbe tells the dispatcher that the request is a probe no more, if it was one.
func (x *exchange) endProbe() {
	if x.probe {
		x.probe = false
		x.server.Dispatcher.ProbeEnded(x.dispatchRequest())
	}
}

// quarantined returns the final answer to a request that may not be sent because it or a part of its prompt crashes
// upstreams, else nil.
func (x *exchange) quarantined() *localAnswer {
	if x.exempt() {
		return nil
	}
	x.endProbe()
	now := time.Now()
	refused, probe := x.server.Dispatcher.Admit(x.dispatchRequest(), now)
	x.probe = probe
	if refused == nil {
		return nil
	}
	x.logQuarantine(refused, now)
	x.quarantine = refused
	answer := x.localAnswerFor(x.attempts.Final(now))
	return &answer
}

// quarantineAnswer returns the refusal of a request that has not run because it or a part of its prompt crashes upstreams.
func quarantineAnswer(refused *quarantine.Quarantine, now time.Time) localAnswer {
	return localAnswer{
		status:     http.StatusServiceUnavailable,
		reason:     causeText(refused.Cause) + " crashes upstreams; the request has not run",
		retryAfter: max(refused.Until.Sub(now), retryAfterRefused),
	}
}

// causeText names a cause.
func causeText(cause quarantine.Cause) string {
	if cause.Kind == quarantine.Repeat {
		return "a request with the same path, caller and body"
	}
	return "part " + formatID(cause.ID) + " of the prompt"
}

// repeatQuarantined reports whether the request may not be sent again because it or a part of its prompt crashes upstreams.
func (x *exchange) repeatQuarantined() bool {
	if x.exempt() {
		return false
	}
	x.endProbe()
	now := time.Now()
	refused := x.server.Dispatcher.Quarantined(x.dispatchRequest(), now)
	if refused == nil {
		return false
	}
	x.quarantine = refused
	x.logQuarantine(refused, now)
	return true
}

// logQuarantine counts and logs that a request is not sent.
func (x *exchange) logQuarantine(refused *quarantine.Quarantine, now time.Time) {
	x.server.Metrics.quarantined.WithLabelValues(strconv.FormatBool(x.attempts.Sends() > 0)).Inc()
	x.server.Logger.Warn().
		Str("decision", "quarantine").
		Str("request-id", x.call.ID).
		Str("pool", refused.Cause.Pool).
		Str("cause", causeText(refused.Cause)).
		Str("id", formatID(refused.Cause.ID)).
		Int("crashes", refused.Crashes).
		Str("upstreams", strings.Join(refused.Upstreams, " ")).
		Dur("until-ms", refused.Until.Sub(now)).
		Int("sends", x.attempts.Sends()).
		Msg("upstreams crash when they run this; not sent until then, ask the caller to change the request")
}
