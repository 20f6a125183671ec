package usage

import (
	"sync"
	"time"
)

const (
	// minKeptWindows is the least number of windows that are kept.
	minKeptWindows = 4
	// earlySlice is the resolution at which requests are kept until true time is known.
	earlySlice = 100 * time.Millisecond
	// maxEarlySlices limits the slices kept: 20 s, as long as four windows of 5 s.
	maxEarlySlices = 200
)

// KeptWindows returns the number of windows of a length whose counts are kept, the current one included, so that a window
// can be collected until it is too late to report it.
func KeptWindows(length, late time.Duration) int {
	return min(max(int((late+length-1)/length)+2, minKeptWindows), ringSize)
}

// Counts is what one start of a node counted.
type Counts struct {
	// Boot identifies the start of the node.
	Boot uint64
	// Current is the current window of the node, 0 if it doesn't know true time yet. The counts of earlier windows don't
	// change any more.
	Current int
	// Revision is to be given to Counter.Counts to get only what has changed after these counts.
	Revision int
	// Up is how long the node has been counting.
	Up time.Duration
	// Windows holds the cumulative counts by window and team of the teams whose count has changed.
	Windows map[int]map[string]int
}

// Counter counts the requests of each team that began to run at this node by windows of true time. Its exported fields
// must be set before it is used; it is safe for concurrent use.
type Counter struct {
	// Boot identifies this start of the node.
	Boot uint64
	// Window is the length of a window.
	Window time.Duration
	// Kept is the number of windows whose counts are kept.
	Kept int
	// BootTime returns the boot-time clock.
	BootTime func() time.Duration
	// Started is what the boot-time clock showed when the node began to count.
	Started time.Duration

	mu    sync.Mutex
	clock Clock
	// current is the newest window, 0 until true time is known.
	current  int
	revision int
	windows  map[int]*windowCounts
	// early holds the requests that began before true time was known, by boot-time slice and team.
	early map[int]map[string]int
}

// windowCounts holds the counts of a window.
type windowCounts struct {
	byTeam map[string]*teamCount
	// changed is the revision of the last change.
	changed int
}

// teamCount is the count of a team, and the revision of its last change.
type teamCount struct {
	count   int
	changed int
}

// Began counts a request of a team whose first event has just arrived.
func (c *Counter) Began(team string) {
	boot := c.BootTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.advance(boot) {
		c.addEarly(team, boot)
		return
	}
	c.add(c.current, team, 1)
}

// Correct records the true time that the holder told.
func (c *Counter) Correct(trueTime time.Time) {
	boot := c.BootTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Correct(trueTime, boot)
	c.advance(boot)
	for slice, byTeam := range c.early {
		at, _ := c.clock.Now(time.Duration(slice)*earlySlice + earlySlice/2)
		window := min(WindowAt(at, c.Window), c.current)
		for team, count := range byTeam {
			c.add(window, team, count)
		}
	}
	c.early = nil
}

// Counts returns the counts of the last windows, of those teams whose count has changed after a revision; revision 0
// stands for all.
func (c *Counter) Counts(since int) Counts {
	boot := c.BootTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(boot)
	c.revision++
	counts := Counts{
		Boot:     c.Boot,
		Current:  c.current,
		Revision: c.revision,
		Up:       boot - c.Started,
		Windows:  map[int]map[string]int{},
	}
	for window, held := range c.windows {
		if held.changed <= since {
			continue
		}
		byTeam := map[string]int{}
		for team, entry := range held.byTeam {
			if entry.changed > since {
				byTeam[team] = entry.count
			}
		}
		counts.Windows[window] = byTeam
	}
	return counts
}

// advance sets the current window and drops old ones; it reports whether true time is known. A window never follows a
// later one, since the holder takes the counts of windows before the current one for final.
func (c *Counter) advance(boot time.Duration) bool {
	now, known := c.clock.Now(boot)
	if !known {
		return false
	}
	window := WindowAt(now, c.Window)
	if window <= c.current {
		return true
	}
	c.current = window
	for old := range c.windows {
		if old <= window-c.Kept {
			delete(c.windows, old)
		}
	}
	return true
}

// add adds to the count of a team; the change belongs to the next revision.
func (c *Counter) add(window int, team string, count int) {
	if window <= c.current-c.Kept {
		return
	}
	if c.windows == nil {
		c.windows = map[int]*windowCounts{}
	}
	held := c.windows[window]
	if held == nil {
		held = &windowCounts{byTeam: map[string]*teamCount{}}
		c.windows[window] = held
	}
	entry := held.byTeam[team]
	if entry == nil {
		entry = &teamCount{}
		held.byTeam[team] = entry
	}
	entry.count += count
	entry.changed = c.revision + 1
	held.changed = entry.changed
}

// addEarly keeps a request until true time is known, and drops the oldest slices beyond maxEarlySlices.
func (c *Counter) addEarly(team string, boot time.Duration) {
	slice := int(boot / earlySlice)
	if c.early == nil {
		c.early = map[int]map[string]int{}
	}
	if c.early[slice] == nil {
		c.early[slice] = map[string]int{}
		for old := range c.early {
			if old <= slice-maxEarlySlices {
				delete(c.early, old)
			}
		}
	}
	c.early[slice][team]++
}
