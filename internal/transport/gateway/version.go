package gateway

import (
	"context"
	"time"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/schedule"
)

// listAge is the age up to which the list of upstreams may have been read when it was last known to be current: a peer's read
// arrives later than it was sent.
const listAge = time.Second

// confirmVersion reports whether a request that goes on with a stream may be sent on a connection to an upstream, which may have
// started again under its name with another version. The list of upstreams must have been read since the connection was
// opened, and still show the upstream with the version; a connection outlives no restart. If the list can't be read, what is
// known of the upstream decides.
func (x *exchange) confirmVersion(ctx context.Context, upstream *replica.Replica, connectedAt time.Time) bool {
	if x.origin == nil || x.server.AwaitList == nil {
		return true
	}
	if !x.server.AwaitList(ctx, connectedAt) {
		x.server.Logger.Warn().Str("decision", "versions").Str("request-id", x.call.ID).Str("upstream", upstream.Name()).
			Msg("list of upstreams not read in time; the stream goes on by the former one")
		return true
	}
	if x.beginning != nil && !x.server.sameBoot(x.beginning) {
		return false
	}
	listed := x.server.Dispatcher.Lookup(upstream.Name())
	return listed != nil && listed.Version() == x.origin.Version
}

// listReadSince reports whether the list of upstreams was read since a time.
func (s *Server) listReadSince(t time.Time) bool {
	return s.ListReadAt != nil && s.ListReadAt().Add(-listAge).After(t)
}

// sameBoot reports whether the upstream that brought the first event was the one that was listed: a list that was read since its
// connection was opened shows it unchanged, or shows it no more.
func (s *Server) sameBoot(first *upstreamSend) bool {
	if first.confirmed.Load() {
		return true
	}
	listed := s.Dispatcher.Lookup(first.upstream.Name())
	return listed == nil || listed.Boot() == first.upstream.Boot() && listed.Version() == first.upstream.Version()
}

const (
	// originCheckTime is the longest time until the list of upstreams has been read after a stream began, while the store
	// serves, and originCheckInterval the time between two looks at it.
	originCheckTime     = 5 * time.Second
	originCheckInterval = 250 * time.Millisecond
)

// checkOrigin checks the origin of a stream once the list of upstreams has been read since the connection was opened that brought
// its first event. If its upstream had started again by then, the stream began at another version than the one that was
// recorded; a second record makes the origin ambiguous, so that nobody goes on with the stream.
func (s *Server) checkOrigin(requestID string, recorded origin.Origin, first *upstreamSend) {
	if first == nil || first.confirmed.Load() || s.ListReadAt == nil {
		return
	}
	s.tasks.Go(func(ctx context.Context) {
		for end := time.Now().Add(originCheckTime); time.Now().Before(end) && ctx.Err() == nil; {
			schedule.Pause(ctx, originCheckInterval)
			if s.listReadSince(first.connectedAt) {
				break
			}
		}
		if s.sameBoot(first) {
			first.confirmed.Store(true)
			return
		}
		recorded.Version = ""
		if listed := s.Dispatcher.Lookup(first.upstream.Name()); listed != nil {
			recorded.Version = listed.Version()
		}
		s.Logger.Warn().Str("decision", "versions").Str("request-id", requestID).Str("upstream", first.upstream.Name()).
			Msg("upstream had started again when the stream began there; the stream can't be taken up")
		s.Origins.Began(requestID, recorded)
	})
}

// otherWeights reports whether the answer goes on with a stream that began with other weights.
func (x *exchange) otherWeights(s *upstreamSend) bool {
	return !s.reply.NotRun && x.weights != "" && s.reply.Weights != "" && s.reply.Weights != x.weights
}

// noteWeights notes the version of the weights that events were made with.
func (x *exchange) noteWeights(s *upstreamSend, events []byte) {
	if x.progress.events == 0 && s.reply.Weights != "" {
		x.weights = s.reply.Weights
	}
	if changed := x.server.Codec.DecodeWeights(events); changed != "" {
		x.weights = changed
	}
}
