package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/state/route"
)

// retryAfterOtherPool is the Retry-After of a stream whose route leads elsewhere now.
const retryAfterOtherPool = time.Second

// Origins keeps where streams began, for callers who take them up at any node.
type Origins interface {
	// Began records that a request brought the first event of its stream; it must not block.
	Began(requestID string, o origin.Origin)
	// Find returns where the stream of a request began, and whether that is known. The pool is the one where it can only have
	// begun, empty if there are several.
	Find(ctx context.Context, requestID, pool string) (o origin.Origin, known bool)
	// FindOnly returns where a stream of a pool began that is no older than a time, if that can be only one version.
	FindOnly(ctx context.Context, pool string, ago time.Duration) (o origin.Origin, known bool)
	// RetryAfter returns when the origin of a stream may be known that is not known now.
	RetryAfter() time.Duration
}

// takesUpStream reports whether the caller has received the beginning of the stream from an earlier request.
func (x *exchange) takesUpStream() bool {
	return x.route.Kind() == route.Stream && (x.call.ResumeAfter != "" || x.call.Resumes != "")
}

// takeUpStream finds where the stream began that the caller takes up, and returns the final answer if it can't go on.
func (x *exchange) takeUpStream() *localAnswer {
	if !x.takesUpStream() {
		return nil
	}
	found, known := x.findOrigin()
	served := slices.ContainsFunc(x.route.Pools(), func(p route.WeightedPool) bool { return p.Pool == found.Pool })
	x.server.Metrics.countTakenUp(known, served)
	switch {
	case !known:
		return x.refuseTakeUp(found, "the software version that began the stream is not known here",
			x.server.Origins.RetryAfter())
	case !served:
		return x.refuseTakeUp(found, "the route no longer leads to the pool that began the stream", retryAfterOtherPool)
	}
	x.logTakeUp(x.server.Logger.Info(), found, "")
	x.origin = &found
	x.setPool(found.Pool)
	return nil
}

// refuseTakeUp returns the answer to a caller whose stream can't go on.
func (x *exchange) refuseTakeUp(found origin.Origin, reason string, retryAfter time.Duration) *localAnswer {
	x.logTakeUp(x.server.Logger.Warn(), found, reason)
	return &localAnswer{
		status:     http.StatusServiceUnavailable,
		reason:     reason + "; the request has not run, come back or begin anew",
		retryAfter: retryAfter,
	}
}

// logTakeUp logs what is known of a stream that the caller takes up; outcome says why it can't go on.
func (x *exchange) logTakeUp(entry *zerolog.Event, found origin.Origin, outcome string) {
	entry.
		Str("decision", "take-up").
		Str("request-id", x.call.ID).
		Str("resumes", x.call.Resumes).
		Str("resume-after", x.call.ResumeAfter).
		Str("pool", found.Pool).
		Str("version", found.Version).
		Dur("after-ms", time.Since(x.started)).
		Str("outcome", outcome).
		Msg("caller takes up a stream")
}

// findOrigin returns where the stream began that the caller takes up. Where the caller doesn't name the request that began
// it, the origin is known only if no other version has served meanwhile.
func (x *exchange) findOrigin() (found origin.Origin, known bool) {
	pool := ""
	if len(x.route.Pools()) == 1 {
		pool = x.pool
	}
	switch {
	case x.call.Resumes != "":
		return x.server.Origins.Find(x.ctx, x.call.Resumes, pool)
	case pool != "":
		return x.server.Origins.FindOnly(x.ctx, pool, x.route.Timeout())
	}
	return origin.Origin{}, false
}

// recordOrigin records that the first event of the stream has come from an upstream, at whose version it goes on.
func (x *exchange) recordOrigin(s *upstreamSend) {
	if x.progress.events > 0 {
		return
	}
	if x.origin == nil {
		s.confirmed.Store(x.server.listReadSince(s.connectedAt))
		x.beginning = s
		x.origin = &origin.Origin{
			Pool:    x.pool,
			Version: s.upstream.Version(),
		}
	}
	if x.route.Resumable() {
		x.server.Origins.Began(x.call.ID, *x.origin)
		x.server.checkOrigin(x.call.ID, *x.origin, x.beginning)
	}
}
