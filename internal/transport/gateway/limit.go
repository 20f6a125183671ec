package gateway

import (
	"context"
	"time"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/state/replica"
)

// permitSlack is how much longer than a request its place is kept, if it is not returned.
const permitSlack = time.Second

// AskHolder asks the node that grants the sends to an upstream within its limit for one send.
type AskHolder func(ctx context.Context, permit dispatch.Permit) (ratelimit.Grant, error)

// takePermit returns whether the request may be sent to an upstream within the limit that the upstream may have named, and within
// its room if it is brittle. It is called just before the send, since either may become known while a connection is opened.
func (x *exchange) takePermit(ctx context.Context, upstream *replica.Replica) dispatch.Permit {
	permit := x.server.Dispatcher.TakePermit(upstream, time.Until(x.deadline)+permitSlack, time.Now())
	if permit.Holder != "" && x.server.AskHolder != nil {
		grant, err := x.server.AskHolder(ctx, permit)
		if err != nil {
			if ctx.Err() != nil {
				return permit
			}
			x.server.Dispatcher.HolderSilent(upstream, time.Now())
			x.server.Logger.Warn().Err(err).Str("decision", "limit").Str("request-id", x.call.ID).
				Str("upstream", upstream.Name()).Str("peer", permit.Holder).
				Msg("node that grants the sends to a limited upstream did not answer; sending to others")
		} else {
			x.server.Dispatcher.PermitAnswered(upstream, grant, time.Now())
			permit.Granted, permit.Ticket = grant.Granted, grant.Ticket
		}
	}
	x.server.Metrics.countPermit(permit)
	return permit
}

// releasePermit returns the place that came with a permit; refused reports that the upstream has turned a request away.
func (x *exchange) releasePermit(permit dispatch.Permit, refused bool) {
	switch {
	case permit.Ticket == 0:
	case permit.Holder == "":
		x.server.Dispatcher.ReleasePermit(permit.Place.Upstream, permit.Ticket, refused, time.Now())
	case x.server.TellHolder != nil:
		x.server.TellHolder(permit, refused)
	}
}

// denied counts a permit that was denied, after which another upstream is chosen. It returns the final answer to a request
// for which too many were.
func (x *exchange) denied() *localAnswer {
	x.tries--
	x.denials++
	if x.denials < maxTries {
		return nil
	}
	return x.noUpstream("too many upstreams are at the limits that they have named")
}

// logLimit logs that an upstream has named another limit than before.
func (x *exchange) logLimit(upstream *replica.Replica, limit float64) {
	entry := x.server.Logger.Info().Str("decision", "limit").Str("request-id", x.call.ID).Str("upstream", upstream.Name()).
		Float64("requests-per-second", limit)
	if limit == 0 {
		entry.Msg("upstream names no limit any more; it is sent requests like the others")
		return
	}
	entry.Msg("upstream names a limit for all nodes together; sending it no more than that")
}

// logBrittle logs that an upstream has said that it is brittle, or that it is not any more.
func (x *exchange) logBrittle(upstream *replica.Replica, refusals float64) {
	entry := x.server.Logger.Info().Str("decision", "limit").Str("request-id", x.call.ID).Str("upstream", upstream.Name()).
		Float64("refusals-per-second", refusals)
	if refusals == 0 {
		entry.Msg("upstream is brittle no more; it is sent requests like the others")
		return
	}
	entry.Msg("upstream falls over when it has to refuse more; sending it no more than it has room for")
}
