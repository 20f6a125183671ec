package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxCopyAge is the time within which every node has to know that an upstream is leaving.
const maxCopyAge = 3 * time.Second

// cluster simulates nodes that share a store. Every node ticks each 100 ms; a read and the push to peers complete
// within the tick.
type cluster struct {
	schedules []*ReadSchedule
	dead      map[int]bool
	// rejected holds the nodes whose reads the store rejects, partitioned those that are cut off from all peers.
	rejected    map[int]bool
	partitioned map[int]bool
	storeDown   bool
	reads       int
	maxAge      time.Duration
}

func newCluster(nodes int) *cluster {
	c := &cluster{
		dead:        map[int]bool{},
		rejected:    map[int]bool{},
		partitioned: map[int]bool{},
	}
	for range nodes {
		c.schedules = append(c.schedules, &ReadSchedule{Period: 1500 * time.Millisecond})
	}
	return c
}

func (c *cluster) run(from time.Time, length time.Duration) time.Time {
	c.maxAge = 0
	for now := from; now.Before(from.Add(length)); now = now.Add(100 * time.Millisecond) {
		for i, schedule := range c.schedules {
			if c.dead[i] {
				continue
			}
			if schedule.Due(Order{Rank: i, RegionRank: i}, now) {
				c.read(i, now)
			}
			c.maxAge = max(c.maxAge, schedule.Age(now))
		}
	}
	return from.Add(length)
}

func (c *cluster) read(reader int, now time.Time) {
	c.reads++
	if c.storeDown || c.rejected[reader] {
		c.schedules[reader].MarkFailed(now)
		return
	}
	c.schedules[reader].MarkCurrent(now)
	for i, schedule := range c.schedules {
		if !c.partitioned[i] && !c.partitioned[reader] && !c.dead[i] {
			schedule.MarkCurrent(now)
		}
	}
}

func TestCopiesStayYoungThroughFaults(t *testing.T) {
	for name, fault := range map[string]func(c *cluster){
		"none":                          func(*cluster) {},
		"reader killed":                 func(c *cluster) { c.dead[0] = true },
		"reader and fallback killed":    func(c *cluster) { c.dead[0], c.dead[1] = true, true },
		"reader rejected":               func(c *cluster) { c.rejected[0] = true },
		"first three rejected":          func(c *cluster) { c.rejected[0], c.rejected[1], c.rejected[2] = true, true, true },
		"reader partitioned":            func(c *cluster) { c.partitioned[0] = true },
		"last node partitioned":         func(c *cluster) { c.partitioned[7] = true },
		"first and last partitioned":    func(c *cluster) { c.partitioned[0], c.partitioned[7] = true, true },
		"one rejected, one partitioned": func(c *cluster) { c.rejected[0], c.partitioned[7] = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(8)
			now := c.run(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC), 10*time.Second)
			fault(c)
			c.run(now, 20*time.Second)
			is.True(c.maxAge < maxCopyAge)
		})
	}
}

func TestOneNodeReadsForAll(t *testing.T) {
	is := is.New(t)
	c := newCluster(79)
	now := c.run(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC), 2*time.Second) // initial reads
	c.reads = 0
	c.run(now, 60*time.Second)
	is.True(c.reads <= 40) // one per 1.5 s
}

func TestUnavailableStoreIsNotReadMoreOften(t *testing.T) {
	is := is.New(t)
	c := newCluster(8)
	now := c.run(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC), 5*time.Second)
	c.storeDown = true
	c.reads = 0
	now = c.run(now, 30*time.Second)
	is.True(c.reads <= 8*30) // at most one per second by each node
	c.storeDown = false
	c.run(now, 1600*time.Millisecond)
	c.run(now.Add(1600*time.Millisecond), 10*time.Second)
	is.True(c.maxAge < maxCopyAge) // current again after at most one backoff
}
