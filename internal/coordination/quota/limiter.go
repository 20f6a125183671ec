package quota

import (
	"sort"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Settings of the slices.
const (
	SliceLength          = 5 * time.Second
	SliceRequestInterval = SliceLength / 2
	idleAfter            = time.Minute
)

// Limit is a team's limit over all nodes; zero means none.
type Limit struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

type share struct {
	limit    Limit
	requests bucket
	tokens   bucket
	until    time.Time
	granted  bool
	asked    float64
	produced float64
	lastUsed time.Time
}

// Limiter holds one node's slices of the teams that use it; it is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	teams map[string]*share
	nodes int
}

// NewLimiter returns a limiter without slices.
func NewLimiter() *Limiter {
	return &Limiter{
		teams: map[string]*share{},
		nodes: 1,
	}
}

// SetNodes tells the limiter how many nodes are seen, for teams whose owner is away.
func (l *Limiter) SetNodes(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(nodes, 1)
}

// Teams returns the number of teams that have used this node lately.
func (l *Limiter) Teams() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.teams)
}

// Allow asks to run one request of a team; a refusal comes with the time until it is worth asking again.
func (l *Limiter) Allow(team string, limit Limit, now time.Time) (ok bool, retryAfter time.Duration) {
	if limit.RequestsPerSecond <= 0 && limit.TokensPerSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.share(team, limit, now)
	s.asked++
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

// Charge takes generated tokens from a team's slice.
func (l *Limiter) Charge(team string, tokens int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.teams[team]
	if s == nil {
		return
	}
	s.tokens.fill(now)
	s.tokens.level -= float64(tokens)
	s.produced += float64(tokens)
}

func (l *Limiter) share(team string, limit Limit, now time.Time) *share {
	s := l.teams[team]
	if s == nil {
		s = &share{}
		l.teams[team] = s
	}
	if s.limit != limit {
		s.limit = limit
		s.granted = false
	}
	if !s.granted {
		l.fallback(s, now)
	}
	s.requests.fill(now)
	s.tokens.fill(now)
	return s
}

// fallback is the limit divided by the nodes seen, while no owner has granted a slice.
func (l *Limiter) fallback(s *share, now time.Time) {
	nodes := float64(l.nodes)
	s.requests.setRate(s.limit.RequestsPerSecond/nodes, now)
	s.tokens.setRate(s.limit.TokensPerSecond/nodes, now)
}

// SliceRequests returns the slice requests that are due, and forgets teams that are idle.
func (l *Limiter) SliceRequests(now time.Time) []wire.SliceRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []wire.SliceRequest
	for team, s := range l.teams {
		if now.Sub(s.lastUsed) > idleAfter {
			delete(l.teams, team)
			continue
		}
		if s.granted && !now.Before(s.until) {
			s.granted = false
			l.fallback(s, now)
		}
		due = append(due, wire.SliceRequest{
			Team:           team,
			DemandRequests: s.asked / SliceRequestInterval.Seconds(),
			DemandTokens:   s.produced / SliceRequestInterval.Seconds(),
		})
		s.asked = 0
		s.produced = 0
	}
	sort.Slice(due, func(i, j int) bool { return due[i].Team < due[j].Team })
	return due
}

// InstallSlices installs slices from an owner.
func (l *Limiter) InstallSlices(slices []wire.Slice, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, slice := range slices {
		s := l.teams[slice.Team]
		if s == nil || slice.RequestsPerSecond < 0 || slice.TokensPerSecond < 0 {
			continue
		}
		s.granted = true
		s.until = now.Add(time.Duration(slice.LengthMs) * time.Millisecond)
		s.requests.setRate(slice.RequestsPerSecond, now)
		s.tokens.setRate(slice.TokensPerSecond, now)
	}
}
