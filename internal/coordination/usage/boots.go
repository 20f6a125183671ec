package usage

import "time"

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
