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

// Kind is the kind of an Action.
type Kind int

// The kinds of actions.
const (
	// Fix saves the counts of a window; they may be sent only after the store has confirmed them.
	Fix Kind = iota
	// Send reports the counts of a fixed window.
	Send
	// LeaveOut logs that windows are not reported.
	LeaveOut
)

// Action is something that the holder is to do.
type Action struct {
	Kind   Kind
	Window int
	// Windows is the number of windows from Window on that are left out, 1 for other actions.
	Windows int
	// Counts holds the counts by team to save or to send; they must not be modified.
	Counts map[string]int
	// Repeated reports that the counts have been sent before.
	Repeated bool
	// Reason says why windows are left out.
	Reason Reason
}

// Reason is why a window is left out.
type Reason string

// The reasons.
const (
	// ReasonMissing means that nodes which may have had too many of the window's requests were not heard in time.
	ReasonMissing Reason = "nodes-not-heard"
	// ReasonEra means that the store was restored from an older copy, which may have lost the window's fixed counts.
	ReasonEra Reason = "store-restored"
	// ReasonUnfixed means that the store did not confirm the counts in time.
	ReasonUnfixed Reason = "not-saved"
	// ReasonUnsent means that no report was accepted in time; one may have been executed without an answer.
	ReasonUnsent Reason = "not-accepted"
	// ReasonNoHolder means that no node held the duties in time.
	ReasonNoHolder Reason = "no-holder"
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{ReasonMissing, ReasonEra, ReasonUnfixed, ReasonUnsent, ReasonNoHolder}
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

// bootKey identifies a start of a node.
type bootKey struct {
	node string
	boot uint64
}

// bootState is what is known of a start of a node.
type bootState struct {
	// heard is when the node was last heard.
	heard time.Time
	// up is how long the node had been counting when it was last heard.
	up time.Duration
	// current is the current window that the node named; its counts of earlier windows don't change any more.
	current  int
	revision int
	windows  map[int]map[string]int
	// totals holds the sums of windows.
	totals map[int]int
	// omitted holds, by window, the number of requests whose teams did not fit in the checkpoint of an earlier holder.
	omitted map[int]int
	// rate is the requests a second when the node was last heard.
	rate float64
	// ended is when it was noticed that the process had ended, zero if it wasn't.
	ended time.Time
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

// Revision returns the boot of a node and the revision up to which its counts are known, 0 for none.
func (t *Tally) Revision(node string) (boot uint64, revision int) {
	boot = t.latest[node]
	if state := t.boots[bootKey{node: node, boot: boot}]; state != nil {
		return boot, state.revision
	}
	return 0, 0
}

// Receive adds the counts that a node answered to a call, which was sent and whose answer was received at these times.
// The counts of one start of a node only grow, so lost, repeated and reordered answers do no harm.
func (t *Tally) Receive(node string, counts Counts, sent, received time.Time) {
	key := bootKey{
		node: node,
		boot: counts.Boot,
	}
	state := t.stateOf(key)
	delete(t.refused, node)
	if before, known := t.latest[node]; known && before != counts.Boot {
		t.end(bootKey{
			node: node,
			boot: before,
		}, earlier(sent, received.Add(-counts.Up)))
	}
	if state.heard.Before(sent) {
		state.heard = sent
		state.up = counts.Up
		state.ended = time.Time{}
		t.latest[node] = counts.Boot
	}
	state.current = max(state.current, counts.Current)
	state.revision = max(state.revision, counts.Revision)
	oldest := WindowAt(received, t.Window) - t.kept()
	for window, byTeam := range counts.Windows {
		if window > oldest {
			state.merge(window, byTeam)
		}
	}
	clear(state.omitted) // the node has answered with all its counts
	state.setRate(t.Window)
}

// Ended records that a call to a node, sent at a time, showed that its process has ended.
func (t *Tally) Ended(node string, sent time.Time) {
	boot, known := t.latest[node]
	if !known {
		if t.refused == nil {
			t.refused = map[string]bool{}
		}
		t.refused[node] = true
		return
	}
	t.end(bootKey{
		node: node,
		boot: boot,
	}, sent)
}

// end records that a process has ended, unless it was heard later.
func (t *Tally) end(key bootKey, noticed time.Time) {
	if state := t.boots[key]; state != nil && state.ended.IsZero() {
		state.ended = later(noticed, state.heard)
	}
}

// stateOf returns the state of a start of a node, which it adds if there is none.
func (t *Tally) stateOf(key bootKey) *bootState {
	if t.boots == nil {
		t.boots = map[bootKey]*bootState{}
		t.latest = map[string]uint64{}
	}
	state := t.boots[key]
	if state == nil {
		state = &bootState{
			windows: map[int]map[string]int{},
			totals:  map[int]int{},
			omitted: map[int]int{},
		}
		t.boots[key] = state
	}
	return state
}

// merge adds cumulative counts.
func (s *bootState) merge(window int, byTeam map[string]int) {
	held := s.windows[window]
	if held == nil {
		held = make(map[string]int, len(byTeam))
		s.windows[window] = held
	}
	for team, count := range byTeam {
		if before := held[team]; count > before {
			held[team] = count
			s.totals[window] += count - before
		}
	}
}

// setRate sets the requests a second from the current window and the one before.
func (s *bootState) setRate(length time.Duration) {
	requests := s.totals[s.current] + s.totals[s.current-1]
	known := min(s.heard.Sub(startOf(s.current-1, length)), s.up)
	s.rate = float64(requests) / max(known, minRateTime).Seconds()
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

// assess reports whether all nodes that may have counted in a window have been heard after its end or are gone, and
// estimates how many requests of the window are not known.
func (t *Tally) assess(window int, now time.Time) (complete bool, lost float64) {
	complete = true
	rates, heard := 0.0, 0
	for key, state := range t.boots {
		lost += float64(state.omitted[window])
		if state.current > window {
			rates += state.rate
			heard++
			continue
		}
		gone := t.gone(key, state, now)
		complete = complete && gone
		lost += state.rate * t.unheard(state, window, gone).Seconds()
	}
	unknown := 0
	for node := range t.live {
		if _, known := t.latest[node]; !known && !t.refused[node] {
			unknown++
		}
	}
	if unknown > 0 {
		complete = false
		// Nothing is known of these nodes, so they are taken to have as much work as the others.
		lost += float64(unknown) * rates / float64(max(heard, 1)) * t.Window.Seconds()
	}
	return complete, lost
}

// gone reports whether a start of a node counts no more requests.
func (t *Tally) gone(key bootKey, state *bootState, now time.Time) bool {
	if t.latest[key.node] != key.boot || !state.ended.IsZero() {
		return true
	}
	return !t.live[key.node] && now.Sub(state.heard) >= goneAfter
}

// unheard returns the part of a window in which a start of a node may have counted requests that are not known.
func (t *Tally) unheard(state *bootState, window int, gone bool) time.Duration {
	from, until := later(state.heard, startOf(window, t.Window)), startOf(window+1, t.Window)
	switch {
	case !gone:
	case state.ended.IsZero():
		until = earlier(until, state.heard.Add(goneAfter))
	case state.ended.Sub(state.heard) <= shortSilence:
		until = earlier(until, state.heard.Add(goneUnheard))
	default:
		until = earlier(until, state.ended)
	}
	return max(until.Sub(from), 0)
}

// sum returns the counts of a window of all starts of all nodes.
func (t *Tally) sum(window int) map[string]int {
	total := map[string]int{}
	for _, state := range t.boots {
		for team, count := range state.windows[window] {
			total[team] += count
		}
	}
	return total
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
