package quota

import (
	"sort"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Slices are valid for SliceLength and are requested anew every SliceRequestInterval. A team's slice is removed when
// the team has not used the node for idleTimeout.
const (
	SliceLength          = 5 * time.Second
	SliceRequestInterval = SliceLength / 2
	idleTimeout          = time.Minute
)

// Limit is a team's rate limit over all nodes; a zero rate means no limit.
type Limit struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// teamSlice is this node's slice of a team's limit. The counts are those of the requests attempted and the tokens
// generated since the last slice request.
type teamSlice struct {
	limit        Limit
	requests     bucket
	tokens       bucket
	expiresAt    time.Time
	granted      bool
	requestCount float64
	tokenCount   float64
	lastUsed     time.Time
}

// Limiter enforces one node's slices of the limits of the teams that use the node; it is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	teams map[string]*teamSlice
	nodes int
}

// NewLimiter returns a limiter without slices.
func NewLimiter() *Limiter {
	return &Limiter{
		teams: map[string]*teamSlice{},
		nodes: 1,
	}
}

// SetNodes sets the number of live nodes, by which limits are divided while a team's owner is unreachable.
func (l *Limiter) SetNodes(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(nodes, 1)
}

// Teams returns the number of teams that have used this node recently.
func (l *Limiter) Teams() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.teams)
}

// Allow reports whether a team may run one request now and, if not, after which time to retry.
func (l *Limiter) Allow(team string, limit Limit, now time.Time) (ok bool, retryAfter time.Duration) {
	if limit.RequestsPerSecond <= 0 && limit.TokensPerSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.currentSlice(team, limit, now)
	s.requestCount++
	s.lastUsed = now
	wait := time.Duration(0)
	if limit.RequestsPerSecond > 0 {
		wait = max(wait, s.requests.wait(1))
	}
	if limit.TokensPerSecond > 0 && s.tokens.level <= 0 {
		wait = max(wait, s.tokens.wait(1))
	}
	if wait > 0 {
		return false, wait
	}
	s.requests.level--
	return true, 0
}

// Charge deducts generated tokens from a team's slice.
func (l *Limiter) Charge(team string, tokens int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.teams[team]
	if s == nil {
		return
	}
	s.tokens.refill(now)
	s.tokens.level -= float64(tokens)
	s.tokenCount += float64(tokens)
}

func (l *Limiter) currentSlice(team string, limit Limit, now time.Time) *teamSlice {
	s := l.teams[team]
	if s == nil {
		s = &teamSlice{}
		l.teams[team] = s
	}
	if s.limit != limit {
		s.changeLimit(limit)
	}
	if !s.granted {
		l.setFallback(s, now)
	}
	s.requests.refill(now)
	s.tokens.refill(now)
	return s
}

// changeLimit replaces the limit. What was used while there was no limit does not count against it.
func (s *teamSlice) changeLimit(limit Limit) {
	if s.limit.RequestsPerSecond <= 0 {
		s.requests = bucket{}
	}
	if s.limit.TokensPerSecond <= 0 {
		s.tokens = bucket{}
	}
	s.limit = limit
	s.granted = false
}

// setFallback sets the rates to an even part of the limit, for use while no slice is granted.
func (l *Limiter) setFallback(s *teamSlice, now time.Time) {
	nodes := float64(l.nodes)
	s.requests.setRate(s.limit.RequestsPerSecond/nodes, now)
	s.tokens.setRate(s.limit.TokensPerSecond/nodes, now)
}

// SliceRequests returns a request for a new slice of each active team, with its demand since the last call, and
// removes idle teams. It is to be called every SliceRequestInterval.
func (l *Limiter) SliceRequests(now time.Time) []wire.SliceRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []wire.SliceRequest
	for team, s := range l.teams {
		if now.Sub(s.lastUsed) > idleTimeout {
			delete(l.teams, team)
			continue
		}
		if s.granted && !now.Before(s.expiresAt) {
			s.granted = false
			l.setFallback(s, now)
		}
		requests = append(requests, wire.SliceRequest{
			Team:           team,
			DemandRequests: s.requestCount / SliceRequestInterval.Seconds(),
			DemandTokens:   s.tokenCount / SliceRequestInterval.Seconds(),
		})
		s.requestCount = 0
		s.tokenCount = 0
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].Team < requests[j].Team })
	return requests
}

// InstallSlices puts the slices that an owner granted into effect.
func (l *Limiter) InstallSlices(slices []wire.Slice, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, slice := range slices {
		s := l.teams[slice.Team]
		if s == nil || slice.RequestsPerSecond < 0 || slice.TokensPerSecond < 0 {
			continue
		}
		s.granted = true
		s.expiresAt = now.Add(time.Duration(slice.LengthMs) * time.Millisecond)
		s.requests.setRate(slice.RequestsPerSecond, now)
		s.tokens.setRate(slice.TokensPerSecond, now)
	}
}
