package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var testStart = time.Unix(1_700_000_000, 0)

// cluster is an owner and several nodes that share one team's limit, with a fake clock.
type cluster struct {
	now       time.Time
	owner     *Owner
	nodes     []*Limiter
	ownerDown bool
	limit     Limit
}

func newCluster(nodes int, limit Limit) *cluster {
	c := &cluster{
		now:   testStart,
		owner: NewOwner(),
		limit: limit,
	}
	for range nodes {
		l := NewLimiter()
		l.SetNodes(nodes)
		c.nodes = append(c.nodes, l)
	}
	return c
}

// run makes each node attempt a number of requests per second, and returns the total rate of those allowed.
func (c *cluster) run(attemptsPerSecond []int) float64 {
	const (
		duration = 20 * time.Second
		step     = 100 * time.Millisecond
	)
	allowed := 0
	start := c.now
	lastRequest := c.now
	for c.now.Sub(start) < duration {
		c.now = c.now.Add(step)
		for i, l := range c.nodes {
			for range attemptsPerSecond[i] / 10 {
				if ok, _ := l.Allow("mill", c.limit, c.now); ok {
					allowed++
				}
			}
		}
		if c.now.Sub(lastRequest) >= SliceRequestInterval {
			lastRequest = c.now
			c.requestSlices()
		}
	}
	return float64(allowed) / duration.Seconds()
}

func (c *cluster) requestSlices() {
	for i, l := range c.nodes {
		requests := l.SliceRequests(c.now)
		if c.ownerDown {
			continue
		}
		var slices []wire.Slice
		for _, request := range requests {
			slices = append(slices, c.owner.Grant(fmt.Sprint(i), request, c.limit, len(c.nodes), c.now))
		}
		l.InstallSlices(slices, c.now)
	}
}

func TestUnevenDemandSharesTheWholeLimit(t *testing.T) {
	c := newCluster(9, Limit{RequestsPerSecond: 100})
	attemptsPerSecond := []int{200, 200, 0, 0, 0, 0, 0, 0, 0}
	c.run(attemptsPerSecond)
	got := c.run(attemptsPerSecond)
	t.Logf("%.1f of 100 requests per second allowed", got)
	if got > 100*1.1 || got < 80 {
		t.Errorf("%.1f requests per second allowed, the limit is 100", got)
	}
}

func TestOwnerDownEachNodeHasAnEvenPart(t *testing.T) {
	c := newCluster(9, Limit{RequestsPerSecond: 90})
	attemptsPerSecond := []int{200, 200, 200, 200, 200, 200, 200, 200, 200}
	c.run(attemptsPerSecond)
	c.ownerDown = true
	got := c.run(attemptsPerSecond)
	t.Logf("%.1f of 90 requests per second allowed with the owner down", got)
	if got > 90*1.2 || got < 60 {
		t.Errorf("%.1f requests per second allowed, the limit is 90", got)
	}
}

func TestSlicesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	o := NewOwner()
	limit := Limit{RequestsPerSecond: 50}
	now := testStart
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
		for _, s := range o.teams["mill"] {
			sum += s.granted.RequestsPerSecond
		}
		if sum > limit.RequestsPerSecond+1e-9 {
			t.Fatalf("round %d: valid slices sum to %.2f, the limit is 50", round, sum)
		}
	}
}

func TestTokensAreChargedAfterwards(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limit := Limit{TokensPerSecond: 100}
	ok, _ := l.Allow("mill", limit, testStart)
	is.True(ok)
	l.Charge("mill", 300, testStart)
	ok, wait := l.Allow("mill", limit, testStart)
	is.True(!ok)
	is.True(wait > 2*time.Second)
	ok, _ = l.Allow("mill", limit, testStart.Add(wait))
	is.True(ok)
	ok, _ = l.Allow("other", Limit{}, testStart) // a team without limits has no state
	is.True(ok)
	is.Equal(l.Teams(), 1)
}

// TestEmptySliceKeepsTheDebt guards against a slice of rate 0, granted while other nodes hold the whole limit, that clears
// the debt for generated tokens as soon as the next slice comes.
func TestEmptySliceKeepsTheDebt(t *testing.T) {
	is := is.New(t)
	limit := Limit{TokensPerSecond: 10}
	l := NewLimiter()
	now := time.Unix(1000, 0)
	ok, _ := l.Allow("mill", limit, now)
	is.True(ok)
	l.Charge("mill", 500, now)
	for _, rate := range []float64{0, 10} {
		l.InstallSlices([]wire.Slice{{
			Team:            "mill",
			TokensPerSecond: rate,
			LengthMs:        int(SliceLength.Milliseconds()),
		}}, now)
	}
	ok, wait := l.Allow("mill", limit, now)
	is.True(!ok)
	is.True(wait > 45*time.Second)
	ok, _ = l.Allow("mill", Limit{RequestsPerSecond: 5}, now) // the limit of tokens is gone
	is.True(ok)
	l.Charge("mill", 500, now)
	ok, _ = l.Allow("mill", limit, now) // what was used without a limit does not count
	is.True(ok)
}

// TestEmptySliceIsWaitedOutUntilTheNext guards against telling callers to come back after a minute when their team may get
// another slice within seconds.
func TestEmptySliceIsWaitedOutUntilTheNext(t *testing.T) {
	is := is.New(t)
	limit := Limit{RequestsPerSecond: 1}
	l := NewLimiter()
	ok, _ := l.Allow("mill", limit, testStart)
	is.True(ok)
	l.InstallSlices([]wire.Slice{{
		Team:     "mill",
		LengthMs: int(SliceLength.Milliseconds()),
	}}, testStart)
	ok, wait := l.Allow("mill", limit, testStart)
	is.True(!ok)
	is.Equal(wait, SliceRequestInterval)
}

func TestIdleTeamsAreForgotten(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	o := NewOwner()
	for i := range 100 {
		l.Allow(fmt.Sprint("team-", i), Limit{RequestsPerSecond: 1}, testStart)
	}
	for _, request := range l.SliceRequests(testStart) {
		o.Grant("0", request, Limit{RequestsPerSecond: 1}, 9, testStart)
	}
	is.Equal(o.Teams(), 100)
	later := testStart.Add(2 * idleTimeout)
	is.Equal(len(l.SliceRequests(later)), 0)
	is.Equal(l.Teams(), 0)
	o.RemoveExpired(later)
	is.Equal(o.Teams(), 0)
}

// BenchmarkTeams measures the memory and the time that a node needs to serve, and to own, many teams.
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
					l.Allow(name, limit, testStart)
				}
				for _, request := range l.SliceRequests(testStart) {
					o.Grant("entry-1", request, limit, 410, testStart)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*teams), "ns/team")
		})
	}
}
