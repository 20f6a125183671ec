package catalog

import (
	"context"
	"time"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/transport/schedule"
)

const (
	// regionRetryInterval is the time between two requests to nodes of this region that are out of date themselves.
	regionRetryInterval = 200 * time.Millisecond
	// regionTries is the number of nodes of this region that are asked before the store is read, if none of them answers, and
	// regionTimeout how long each may take.
	regionTries   = 2
	regionTimeout = 300 * time.Millisecond
)

// askRegion brings both topics up to date from a node of this region, if this node asks these first. It returns false if the store
// has to be read now.
func (s *Service) askRegion(ctx context.Context, order feed.Order) bool {
	if !order.AsksRegion() || !s.routes.loaded() || !s.upstreams.loaded() || !s.fetchFromRegion(ctx) {
		return false
	}
	switch now := time.Now(); {
	case !s.upstreams.due(order, now):
		return true
	case s.upstreams.readDue(order, now):
		return false
	}
	schedule.Pause(ctx, regionRetryInterval)
	return true
}

// fetchFromRegion loads what a node of this region knows of both topics, and reports whether one has answered.
func (s *Service) fetchFromRegion(ctx context.Context) bool {
	for range regionTries {
		s.regionRounds++
		if s.fetchNews(ctx, s.upstreams) {
			return s.fetchNews(ctx, s.routes)
		}
	}
	return false
}

// fetchNews loads what the node of this region whose turn it is knows of a topic, and reports whether it has answered.
func (s *Service) fetchNews(ctx context.Context, f *follower) bool {
	ctx, cancel := context.WithTimeout(ctx, regionTimeout)
	defer cancel()
	askedAt := time.Now()
	update, err := s.Peers.FetchFromRegion(ctx, f.topic.Name, f.position(), s.regionRounds)
	if err != nil {
		s.Logger.Debug().Err(err).Str("step", "fetch "+f.topic.Name).Msg("peer call failed; another node of the region is asked")
		return false
	}
	f.handleSnapshot(update, askedAt)
	return true
}
