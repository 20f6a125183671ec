package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var begin = time.Unix(1_700_000_000, 0)

// site is an owner and some nodes that share one team's limit, with a fake clock.
type site struct {
	now   time.Time
	owner *Owner
	nodes []*Limiter
	away  bool
	limit Limit
}

func newSite(nodes int, limit Limit) *site {
	s := &site{
		now:   begin,
		owner: NewOwner(),
		limit: limit,
	}
	for range nodes {
		l := NewLimiter()
		l.SetNodes(nodes)
		s.nodes = append(s.nodes, l)
	}
	return s
}

// run lets each node try a number of requests a second, and returns how many a second were let through in all.
func (s *site) run(tries []int) float64 {
	const (
		d    = 20 * time.Second
		step = 100 * time.Millisecond
	)
	taken := 0
	start := s.now
	lastAsk := s.now
	for s.now.Sub(start) < d {
		s.now = s.now.Add(step)
		for i, l := range s.nodes {
			for range tries[i] / 10 {
				if ok, _ := l.Allow("mill", s.limit, s.now); ok {
					taken++
				}
			}
		}
		if s.now.Sub(lastAsk) >= SliceRequestInterval {
			lastAsk = s.now
			s.ask()
		}
	}
	return float64(taken) / d.Seconds()
}

func (s *site) ask() {
	for i, l := range s.nodes {
		due := l.SliceRequests(s.now)
		if s.away {
			continue
		}
		var slices []wire.Slice
		for _, request := range due {
			slices = append(slices, s.owner.Grant(fmt.Sprint(i), request, s.limit, len(s.nodes), s.now))
		}
		l.InstallSlices(slices, s.now)
	}
}

func TestUnevenDemandSharesTheWholeLimit(t *testing.T) {
	s := newSite(9, Limit{RequestsPerSecond: 100})
	tries := []int{200, 200, 0, 0, 0, 0, 0, 0, 0}
	s.run(tries)
	got := s.run(tries)
	t.Logf("%.1f of 100 requests a second", got)
	if got > 100*1.1 || got < 80 {
		t.Errorf("%.1f requests a second, the limit is 100", got)
	}
}

func TestOwnerAwayEachNodeHasItsPart(t *testing.T) {
	s := newSite(9, Limit{RequestsPerSecond: 90})
	tries := []int{200, 200, 200, 200, 200, 200, 200, 200, 200}
	s.run(tries)
	s.away = true
	got := s.run(tries)
	t.Logf("%.1f of 90 requests a second with the owner away", got)
	if got > 90*1.2 || got < 60 {
		t.Errorf("%.1f requests a second, the limit is 90", got)
	}
}

func TestSlicesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	o := NewOwner()
	limit := Limit{RequestsPerSecond: 50}
	now := begin
	for round := range 200 {
		now = now.Add(time.Second)
		sum := 0.0
		for node := range 9 {
			demand := float64((round*7 + node*13) % 40)
			o.Grant(fmt.Sprint(node), wire.SliceRequest{
				Team:           "mill",
				DemandRequests: demand,
			}, limit, 9, now)
		}
		for _, a := range o.teams["mill"] {
			sum += a.granted.RequestsPerSecond
		}
		if sum > limit.RequestsPerSecond+1e-9 {
			t.Fatalf("round %d: slices of %.2f in force, the limit is 50", round, sum)
		}
	}
}

func TestTokensAreChargedAfterwards(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limit := Limit{TokensPerSecond: 100}
	ok, _ := l.Allow("mill", limit, begin)
	is.True(ok)
	l.Charge("mill", 300, begin)
	ok, wait := l.Allow("mill", limit, begin)
	is.True(!ok)
	is.True(wait > 2*time.Second)
	ok, _ = l.Allow("mill", limit, begin.Add(wait))
	is.True(ok)
	ok, _ = l.Allow("other", Limit{}, begin) // no limit, no state
	is.True(ok)
	is.Equal(l.Teams(), 1)
}

func TestIdleTeamsAreForgotten(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	o := NewOwner()
	for i := range 100 {
		l.Allow(fmt.Sprint("team-", i), Limit{RequestsPerSecond: 1}, begin)
	}
	for _, request := range l.SliceRequests(begin) {
		o.Grant("0", request, Limit{RequestsPerSecond: 1}, 9, begin)
	}
	is.Equal(o.Teams(), 100)
	later := begin.Add(2 * idleAfter)
	is.Equal(len(l.SliceRequests(later)), 0)
	is.Equal(l.Teams(), 0)
	o.RemoveExpired(later)
	is.Equal(o.Teams(), 0)
}

// BenchmarkTeams gives the memory and the time of a node that is used by, and owner of, many teams.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{10, 750, 7500} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			limit := Limit{
				RequestsPerSecond: 10,
				TokensPerSecond:   1000,
			}
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprintf("team-%05d", i)
			}
			b.ReportAllocs()
			for b.Loop() {
				l := NewLimiter()
				o := NewOwner()
				for _, name := range names {
					l.Allow(name, limit, begin)
				}
				for _, request := range l.SliceRequests(begin) {
					o.Grant("entry-1", request, limit, 410, begin)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*teams), "ns/team")
		})
	}
}
