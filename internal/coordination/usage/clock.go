package usage

import (
	"slices"
	"time"
)

// maxTold is the number of corrections that Clock considers.
const maxTold = 4

// Clock estimates true time on a node from its boot-time clock and the corrections of the holder. The zero Clock knows
// no time.
type Clock struct {
	// told holds the last corrections, as the time since 1970 less the boot-time clock.
	told []time.Duration
}

// Correct records the true time that the holder told when the boot-time clock showed boot.
func (c *Clock) Correct(trueTime time.Time, boot time.Duration) {
	if len(c.told) == maxTold {
		c.told = slices.Delete(c.told, 0, 1)
	}
	c.told = append(c.told, sinceEpoch(trueTime)-boot)
}

// Now returns the true time when the boot-time clock shows boot, and whether it is known. A correction that was delayed
// on its way, or by a frozen holder, tells an earlier time, so the latest of the last few is used.
func (c *Clock) Now(boot time.Duration) (now time.Time, known bool) {
	if len(c.told) == 0 {
		return time.Time{}, false
	}
	return fromEpoch(slices.Max(c.told) + boot), true
}

// Consensus estimates true time on the holder: its boot-time clock plus the median of the offsets of all nodes' wall
// clocks, so that the wall clocks of less than half of the nodes may be wrong. The zero Consensus knows no time.
type Consensus struct {
	offsets map[string]time.Duration
	median  time.Duration
	known   bool
}

// Observe records what a node's wall clock showed in the answer to a call; sent and received are the boot-time clock.
func (c *Consensus) Observe(node string, wall time.Time, sent, received time.Duration) {
	if c.offsets == nil {
		c.offsets = map[string]time.Duration{}
	}
	c.offsets[node] = sinceEpoch(wall) - (sent+received)/2
}

// Settle computes the median over the live nodes, forgets the others, and reports whether true time is known: it is once
// more than half of the live nodes were observed.
func (c *Consensus) Settle(live []string) (known bool) {
	offsets := make(map[string]time.Duration, len(live))
	sorted := make([]time.Duration, 0, len(live))
	for _, node := range live {
		if offset, observed := c.offsets[node]; observed {
			offsets[node] = offset
			sorted = append(sorted, offset)
		}
	}
	c.offsets = offsets
	if 2*len(sorted) <= len(live) {
		return c.known
	}
	slices.Sort(sorted)
	middle := len(sorted) / 2
	c.median, c.known = sorted[middle], true
	if len(sorted)%2 == 0 {
		c.median = sorted[middle-1] + (sorted[middle]-sorted[middle-1])/2
	}
	return true
}

// Now returns the true time when the boot-time clock shows boot, and whether it is known.
func (c *Consensus) Now(boot time.Duration) (now time.Time, known bool) {
	return fromEpoch(c.median + boot), c.known
}

// WindowAt returns the window of a length that holds a time; window 0 begins with the year 1970.
func WindowAt(at time.Time, length time.Duration) int { return int(sinceEpoch(at) / length) }

// startOf returns the start of a window.
func startOf(window int, length time.Duration) time.Time {
	return fromEpoch(time.Duration(window) * length)
}

func sinceEpoch(at time.Time) time.Duration { return time.Duration(at.UnixNano()) }

func fromEpoch(since time.Duration) time.Time { return time.Unix(0, int64(since)) }
