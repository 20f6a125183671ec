package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
)

const (
	// crashCheckDelay is how long after the end of a connection the upstream is checked, so that a process that ends has
	// closed its listener.
	crashCheckDelay = 50 * time.Millisecond
	// maxSuspects is the number of requests that are suspected of one crash.
	maxSuspects = 16
)

// suspect is a prompt whose answer ended just after it had begun; whole reports that it may have come to its end.
type suspect struct {
	prompt prompt.Prompt
	whole  bool
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

// recordWhole records that an answer has come to its end, which shows that the upstream can run the prompt. The end of an
// answer that ends with its connection may be that of the upstream.
func (x *exchange) recordWhole(s *upstreamSend) {
	if s.response.StatusCode >= http.StatusMultipleChoices {
		return
	}
	endsWithConnection := s.response.ContentLength < 0 && len(s.response.TransferEncoding) == 0
	if endsWithConnection && s.assignment.MayHaveCrashed(time.Now()) {
		x.checkCrash(s, true)
		return
	}
	s.assignment.Completed(time.Now())
}

// suspectCrash has the upstream checked if its connection ended just after the answer had begun, unless it was about to
// leave. A probe waits for the result, and so does a request that might be repeated although a part of its prompt was
// suspected before.
func (x *exchange) suspectCrash(s *upstreamSend, cause error) {
	x.ranWell = x.ranWell || s.assignment.RanWell()
	if connectionEnded(cause) && s.assignment.MayHaveCrashed(time.Now()) && !s.upstream.Leaving() {
		x.checkCrash(s, false)
	}
}

// checkCrash has the upstream checked because of an answer that has just ended; whole reports that it may have come to its
// end.
func (x *exchange) checkCrash(s *upstreamSend, whole bool) {
	now := time.Now()
	check, first := x.server.crashes.add(s.upstream, suspect{
		prompt: x.call.Prompt,
		whole:  whole,
	})
	if first {
		go func() {
			defer close(check.done)
			x.server.checkCrash(s.upstream, now)
		}()
	}
	if whole || !x.probe && (!x.route.Repeatable() || !x.server.Dispatcher.Suspected(x.dispatchRequest())) {
		return
	}
	select {
	case <-check.done:
	case <-x.ctx.Done():
	}
}

// connectionEnded reports whether an answer broke off because the upstream's connection ended.
func connectionEnded(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedStream, syscall.ECONNRESET} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// checkCrash tells the dispatcher of a crash if the upstream refuses connections. If it accepts one, answers that may have
// come to their end did.
func (s *Server) checkCrash(upstream *replica.Replica, at time.Time) {
	time.Sleep(crashCheckDelay)
	suspects := s.crashes.take(upstream)
	err := s.Connections.Probe(context.Background(), upstream.Address())
	var crashed []prompt.Prompt
	for _, suspect := range suspects {
		crashed = append(crashed, suspect.prompt)
		if err == nil && suspect.whole {
			s.Dispatcher.RanWell(upstream, suspect.prompt, time.Now())
		}
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || upstream.Leaving() {
		return
	}
	s.Dispatcher.Crashed(upstream, crashed, at, time.Now())
	s.Logger.Warn().
		Str("decision", "quarantine").
		Str("upstream", upstream.Name()).
		Strs("parts", partIDs(crashed)).
		Msg("upstream crashed just after it had begun to answer; the parts of those prompts are suspected")
}

// partIDs returns the IDs of the shared parts of prompts.
func partIDs(prompts []prompt.Prompt) (ids []string) {
	seen := map[uint64]bool{}
	for _, p := range prompts {
		for _, part := range p[:max(len(p)-1, 0)] {
			if !seen[part.ID] {
				seen[part.ID] = true
				ids = append(ids, formatPart(part.ID))
			}
		}
	}
	return ids
}

func formatPart(id uint64) string { return strconv.FormatUint(id, 16) }

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

// quarantined returns the final answer to a request that may not be sent because a part of its prompt crashes upstreams,
// else nil.
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

// quarantineAnswer returns the refusal of a request that has not run because a part of its prompt crashes upstreams.
func quarantineAnswer(refused *quarantine.Quarantine, now time.Time) localAnswer {
	return localAnswer{
		status:     http.StatusServiceUnavailable,
		reason:     "part " + formatPart(refused.Part.ID) + " of the prompt crashes upstreams; the request has not run",
		retryAfter: max(refused.Until.Sub(now), retryAfterRefused),
	}
}

// repeatQuarantined reports whether the request may not be sent again because a part of its prompt crashes upstreams.
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
		Str("pool", refused.Part.Pool).
		Str("part", formatPart(refused.Part.ID)).
		Int("crashes", refused.Crashes).
		Str("upstreams", strings.Join(refused.Upstreams, " ")).
		Dur("until-ms", refused.Until.Sub(now)).
		Int("sends", x.attempts.Sends()).
		Msg("upstreams crashed as they began to answer prompts with this part; not sent until then, ask the caller to leave it out")
}
