package usage

import (
	"maps"
	"time"
)

const (
	// fixWait is how long after its end a window is waited for whose nodes have not all been heard.
	fixWait = 6 * time.Second
	// goneAfter is how long a node that is not a live member must not have been heard until it counts as gone, unless its
	// process is known to have ended. A node that is cut off from the others may serve callers meanwhile, so windows are
	// left out if too many are.
	goneAfter = 10 * time.Second
	// goneUnheard is how long a node ran on average after it was last heard, if its process has ended: half the time
	// between two calls. It holds if the end was noticed within shortSilence, which covers the change to another holder
	// that is lost at the same moment.
	goneUnheard  = 500 * time.Millisecond
	shortSilence = 6 * time.Second
	// minRateTime is the shortest time over which the rate of a node's requests is taken.
	minRateTime = 500 * time.Millisecond
	// sendMargin keeps a report from being accepted too late; it covers a call that is answered slowly.
	sendMargin = 500 * time.Millisecond
	// eraMargin is how far the estimates of true time of two holders may lie apart. A window that ended this long before a
	// new era of the store was seen has not been fixed in an earlier one.
	eraMargin = time.Second
)

// Node is a node of the site as the membership protocol sees it.
type Node struct {
	Name string
	// Live reports whether the membership protocol takes the node for alive.
	Live bool
}

// Tally collects the counts of all nodes on the holder and decides what is reported. Its exported fields must be set
// before it is used. All times are estimates of true time. It is kept while the node doesn't hold the duties, since the
// counts that it has fixed stay valid. It is not safe for concurrent use.
type Tally struct {
	// Window is the length of a window.
	Window time.Duration
	// Off is the share by which counts may be off.
	Off float64
	// Late is how long after its end a window may still be reported.
	Late time.Duration

	// live holds the nodes that are live members.
	live  map[string]bool
	boots map[bootKey]*bootState
	// latest is the boot under which each node was last heard.
	latest map[string]uint64
	// refused holds the nodes that were never heard and whose process has ended.
	refused map[string]bool
	// fixed holds the windows whose counts the store has confirmed.
	fixed map[int]*fixedWindow
	// accepted holds the windows whose reports were accepted.
	accepted map[int]bool
	// fixing holds the counts of window next while the store has not confirmed them. They don't change any more, since a
	// save without an answer may have been executed.
	fixing map[string]int
	held   bool
	era    int
	// eraSeen is when a holder first saw the present era of the store.
	eraSeen time.Time
	// next is the window that is fixed or left out next.
	next    int
	backoff backoff
}

// fixedWindow is a window whose counts the store has confirmed.
type fixedWindow struct {
	counts map[string]int
	// loaded reports that an earlier holder fixed the counts, and sent that they have been sent from here.
	loaded bool
	sent   bool
	// late reports that the window was left out after it was fixed.
	late bool
}

// SetNodes sets the nodes that the membership protocol knows.
func (t *Tally) SetNodes(nodes []Node) {
	t.live = make(map[string]bool, len(nodes))
	known := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		known[node.Name] = true
		if node.Live {
			t.live[node.Name] = true
		}
	}
	maps.DeleteFunc(t.refused, func(node string, _ bool) bool { return !known[node] })
}

// Lose ends the holdership.
func (t *Tally) Lose() { t.held = false }

// Due returns what is to be done now. A Fix is returned again until Fixed is called; while a Send is in flight, Due must
// still be called but further sends must be ignored.
func (t *Tally) Due(now time.Time) []Action {
	if !t.held {
		return nil
	}
	t.forget(now)
	actions := t.decide(now)
	return append(actions, t.sends(now)...)
}

// decide fixes the windows that are complete and leaves out those that can't be known, in their order.
func (t *Tally) decide(now time.Time) []Action {
	var actions []Action
	if oldest := WindowAt(now, t.Window) - t.kept() + 1; t.next < oldest {
		actions = append(actions, Action{
			Kind:    LeaveOut,
			Window:  t.next,
			Windows: oldest - t.next,
			Reason:  ReasonNoHolder,
		})
		t.leaveOut(oldest)
	}
	for {
		end := startOf(t.next+1, t.Window)
		if now.Before(end) {
			return actions
		}
		reason := t.unknowable(end, now)
		switch {
		case reason != "":
			actions = append(actions, Action{
				Kind:    LeaveOut,
				Window:  t.next,
				Windows: 1,
				Reason:  reason,
			})
			t.leaveOut(t.next + 1)
		case t.fixing != nil:
			return append(actions, Action{
				Kind:    Fix,
				Window:  t.next,
				Windows: 1,
				Counts:  t.fixing,
			})
		default:
			return actions
		}
	}
}

// leaveOut gives up the windows before next.
func (t *Tally) leaveOut(next int) {
	t.next = next
	t.fixing = nil
}

// unknowable returns why window next can't be reported, empty if it can or if that is not decided yet. If the counts are
// complete, it sets fixing.
func (t *Tally) unknowable(end, now time.Time) Reason {
	waited := now.Sub(end)
	switch {
	case end.Before(t.eraSeen.Add(eraMargin)):
		return ReasonEra
	case t.fixing != nil && waited >= t.Late:
		return ReasonUnfixed
	case t.fixing != nil:
		return ""
	}
	complete, lost := t.assess(t.next, now)
	if !complete && waited < min(fixWait, t.Late*6/10) {
		return ""
	}
	total := 0
	counts := t.sum(t.next)
	for _, count := range counts {
		total += count
	}
	if lost > 0 && lost >= t.Off*(float64(total)+lost) {
		return ReasonMissing
	}
	if waited >= t.Late {
		return ReasonNoHolder
	}
	t.fixing = counts
	return ""
}

// Fixed records that the store has confirmed the counts of a window, which are then sent, and always exactly these.
func (t *Tally) Fixed(window int) {
	if !t.held || window != t.next || t.fixing == nil {
		return
	}
	t.setFixed(window, t.fixing, false)
	t.leaveOut(window + 1)
}

func (t *Tally) setFixed(window int, counts map[string]int, loaded bool) {
	if t.fixed == nil {
		t.fixed = map[int]*fixedWindow{}
	}
	if t.fixed[window] == nil {
		t.fixed[window] = &fixedWindow{
			counts: maps.Clone(counts),
			loaded: loaded,
		}
	}
}

// sends returns the report to send now, if there is one, and gives up the ones that are too late.
func (t *Tally) sends(now time.Time) []Action {
	var actions []Action
	oldest := 0
	for window, fixed := range t.fixed {
		switch {
		case t.accepted[window] || fixed.late:
		case now.Sub(startOf(window+1, t.Window)) >= t.Late-sendMargin:
			fixed.late = true
			if fixed.loaded && !fixed.sent {
				continue // an earlier holder has reported it, or logged that it could not
			}
			actions = append(actions, Action{
				Kind:    LeaveOut,
				Window:  window,
				Windows: 1,
				Reason:  ReasonUnsent,
			})
		case oldest == 0 || window < oldest:
			oldest = window
		}
	}
	if oldest == 0 || !t.backoff.passed(now) {
		return actions
	}
	return append(actions, Action{
		Kind:     Send,
		Window:   oldest,
		Windows:  1,
		Counts:   t.fixed[oldest].counts,
		Repeated: t.fixed[oldest].sent || t.fixed[oldest].loaded,
	})
}

// Sending records that the counts of a window are being sent.
func (t *Tally) Sending(window int) {
	if fixed := t.fixed[window]; fixed != nil {
		fixed.sent = true
	}
}

// Accepted records that a report was accepted.
func (t *Tally) Accepted(window int) {
	t.backoff.succeed()
	t.accept(window)
}

func (t *Tally) accept(window int) {
	if t.accepted == nil {
		t.accepted = map[int]bool{}
	}
	t.accepted[window] = true
}

// Failed records that a report was not accepted, or not answered; reports wait longer after each failure.
func (t *Tally) Failed(now time.Time) { t.backoff.fail(now) }

// forget drops what is too old to be reported.
func (t *Tally) forget(now time.Time) {
	oldest := WindowAt(now, t.Window) - t.kept()
	maps.DeleteFunc(t.fixed, func(window int, _ *fixedWindow) bool { return window < oldest })
	maps.DeleteFunc(t.accepted, func(window int, _ bool) bool { return window < oldest })
	for key, state := range t.boots {
		maps.DeleteFunc(state.windows, func(window int, _ map[string]int) bool { return window < oldest })
		maps.DeleteFunc(state.totals, func(window int, _ int) bool { return window < oldest })
		maps.DeleteFunc(state.omitted, func(window int, _ int) bool { return window < oldest })
		if len(state.windows) == 0 && t.gone(key, state, now) && state.heard.Before(startOf(oldest, t.Window)) {
			delete(t.boots, key)
			if t.latest[key.node] == key.boot {
				delete(t.latest, key.node)
			}
		}
	}
}

func (t *Tally) kept() int { return KeptWindows(t.Window, t.Late) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
