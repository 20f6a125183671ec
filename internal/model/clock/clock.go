package clock

import (
	"container/heap"
	"time"
)

// Clock holds the simulated time and the scheduled calls. Calls run in the order of their times, and calls for the same
// time in the order in which they were scheduled. It is not safe for concurrent use.
type Clock struct {
	now      time.Time
	queue    timers
	sequence uint64
}

type timer struct {
	at       time.Time
	sequence uint64
	f        func()
}

// timers is a min-heap of scheduled calls.
type timers []timer

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}

// New returns a clock set to the given time.
func New(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// At schedules a call of f at time t, which must not be before Now.
func (c *Clock) At(t time.Time, f func()) {
	c.sequence++
	heap.Push(&c.queue, timer{
		at:       t,
		sequence: c.sequence,
		f:        f,
	})
}

// After schedules a call of f after the duration d.
func (c *Clock) After(d time.Duration, f func()) { c.At(c.now.Add(d), f) }

// Run runs all calls scheduled up to and including end, also those that are scheduled meanwhile. Afterwards the clock
// shows the time of the last call, which may be before end.
func (c *Clock) Run(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.f()
	}
}
