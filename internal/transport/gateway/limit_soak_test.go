package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var soakSeeds = flag.Int("soak-seeds", 4, "number of seeds of the soaks")

// limitPeriod is a time in which an engine named the same limit.
type limitPeriod struct {
	engine      string
	limit       float64
	from, until time.Time
}

// TestLimitsHoldThroughSeriesOfTroubles guards against an upstream getting more than its limit while limits change and end,
// nodes restart or are cut off, and upstreams crash, in series that overlap.
func TestLimitsHoldThroughSeriesOfTroubles(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soakLimits(t, rand.New(rand.NewPCG(seed, 29))) })
		})
	}
}

func soakLimits(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	site := newLimitedSite(t)
	begin := time.Now()
	end := begin.Add(60 * time.Second)
	served := make(chan int)
	go func() { served <- site.serveChecked(t, begin, end) }()
	limits := []float64{0, 0, 0.4, 1, 3, 12}
	current := map[string]limitPeriod{}
	var periods []limitPeriod
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		engine := fmt.Sprint("e", random.IntN(siteEngines))
		switch random.IntN(6) {
		case 0, 1, 2:
			limit := limits[random.IntN(len(limits))]
			before := current[engine]
			before.until = time.Now()
			periods = append(periods, before)
			current[engine] = limitPeriod{
				engine: engine,
				limit:  limit,
				from:   time.Now(),
				until:  end,
			}
			site.setLimit(engine, map[bool]string{true: fmt.Sprint(limit)}[limit > 0])
		case 3:
			site.restart(t, random.IntN(siteNodes))
		case 4:
			site.cut(random.IntN(siteNodes), time.Duration(random.Int64N(int64(8*time.Second))))
		case 5:
			site.crash(engine)
		}
	}
	count := <-served
	for _, last := range current {
		periods = append(periods, last)
	}
	checked := 0
	for _, p := range periods {
		from := p.from.Add(contactTime)
		if p.limit == 0 || p.until.Sub(from) < limitWindow {
			continue
		}
		checked++
		most, allowed := site.busiestWindow(p.engine, from, p.until), 1.5*p.limit*limitWindow.Seconds()+limitSlack
		if float64(most) > allowed {
			t.Errorf("%s: %d requests in 4 s from %v to %v at a limit of %g, %.0f allowed", p.engine, most, from.Sub(begin),
				p.until.Sub(begin), p.limit, allowed)
		}
	}
	t.Logf("%d periods checked, %d of 3000 served", checked, count)
	is.True(checked > 0)
}

// serveChecked sends requests to the nodes in turn, and reports those that a node refused although it could have learned that
// an engine was free. It returns the number of those that were served.
func (s *limitedSite) serveChecked(t *testing.T, begin, end time.Time) (served int) {
	var group sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		group.Go(func() {
			status := s.call(t.Context(), i, soundPrompt).status
			inTouch := s.reaches(i%siteNodes, (i+1)%siteNodes, time.Second) || s.reaches(i%siteNodes, (i+2)%siteNodes, time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			switch free := s.freeEngine(); {
			case status == http.StatusOK:
				served++
			case status == http.StatusServiceUnavailable && inTouch && free != "":
				t.Errorf("node %d refused at %v although %s has no limit", i%siteNodes, time.Since(begin), free)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return served
}

// settleTime is the time in which nodes notice that a limit has ended, by the answer to the next request within it, or that
// an engine is up again. At the lowest limit a request comes each 2.5 s, or 4.2 s with two of five nodes cut off, and a new
// holder waits for 3 s before the first.
const settleTime = 12 * time.Second

// freeEngine returns an engine that has been up and without a limit for settleTime, empty for none; mu is held.
func (s *limitedSite) freeEngine() string {
	for i := range siteEngines {
		engine := fmt.Sprint("e", i)
		now := time.Now()
		if s.limits[engine] == "" && now.Sub(s.limitSetAt[engine]) >= settleTime && now.Sub(s.downTill[engine]) >= settleTime {
			return engine
		}
	}
	return ""
}
