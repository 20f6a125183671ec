package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lagoongw/internal/model/clock"
	"lagoongw/internal/protocol/wire"
)

const (
	modelLease  = 3 * time.Second
	modelMargin = 500 * time.Millisecond
	// modelDrift is the relative error of the rates of the nodes' clocks, which the margin has to cover.
	modelDrift  = 0.05
	modelThaw   = 400 * time.Millisecond
	modelTick   = 200 * time.Millisecond
	callTick    = 100 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	// gossipDelay is the time after which the others know that a node is gone.
	gossipDelay = 1500 * time.Millisecond
	// faultTime is how long faults begin; all of them have ended then.
	faultTime = 60 * time.Second
	// holderLimit is the time after the last fault in which some node must hold the lease.
	holderLimit = 10 * time.Second
)

// variant is a way to decide that the model check must find wrong.
type variant struct {
	// silent has holders call no peers, as with no usage reports; it is not wrong.
	silent bool
	// noWait has nodes claim as soon as they have read the topic.
	noWait bool
	// unconditional has the store append at any offset.
	unconditional bool
}

// act is one call to the platform API as its sender saw it.
type act struct {
	at     time.Time
	node   string
	number int
}

// model is a site with a store, the platform API and faults.
type model struct {
	clock   *clock.Clock
	random  *rand.Rand
	began   time.Time
	variant variant
	nodes   []*modelNode
	store   modelStore
	// highest is the highest number that the platform API has seen.
	highest int
	acts    []act
	// senders holds the node that used each number.
	senders map[int]string
	faults  []string
	// refused counts the calls that the platform API refused, and restores those of the store from an older copy.
	refused  int
	restores int
}

type modelStore struct {
	view      View
	snapshots []View
	down      bool
	slow      bool
}

// modelNode is one machine with its process. A process that is killed comes back with another boot.
type modelNode struct {
	model    *model
	name     string
	election *Election
	boot     uint64
	alive    bool
	diedAt   time.Time
	frozen   bool
	// unread holds what arrives during a freeze.
	unread []func()
	// stopped is the time that the boot-time clock missed, and step the sum of the steps of the wall clock.
	stopped time.Duration
	step    time.Duration
	// steppedBack is when the wall clock was last set back.
	steppedBack time.Time
	small       bool
	// rate is the rate of the node's clocks.
	rate float64
	busy bool
	// refused is the last number that the platform API refused this node.
	refused int
	// The cuts are those of the ways to the store, from the store, to the platform API, from it, and to and from peers.
	cutTo, cutFrom, cutToAPI, cutFromAPI, cutPeers bool
	apiAnswered                                    time.Time
}

func newModel(seed uint64, nodes int, v variant) *model {
	m := &model{
		clock:   clock.New(time.Unix(1_000_000, 0)),
		random:  rand.New(rand.NewPCG(seed, 41)),
		variant: v,
		senders: map[int]string{},
	}
	m.began = m.clock.Now()
	for i := range nodes {
		n := &modelNode{
			model: m,
			name:  fmt.Sprintf("front-%d", i),
			small: i%3 == 1,
			rate:  1 + modelDrift*(2*m.random.Float64()-1),
		}
		m.nodes = append(m.nodes, n)
		m.clock.After(m.upTo(time.Second), n.start)
	}
	return m
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.random.Int64N(int64(d))) }

func (m *model) chance(p float64) bool { return m.random.Float64() < p }

func (m *model) faulty() bool { return m.clock.Now().Before(m.began.Add(faultTime)) }

// untilQuiet returns a delay of a fault that ends before the last faults do.
func (m *model) untilQuiet(longest time.Duration) time.Duration {
	return m.within(m.upTo(longest))
}

// within shortens a delay so that it ends before the last faults do.
func (m *model) within(d time.Duration) time.Duration {
	return min(d, m.began.Add(faultTime).Sub(m.clock.Now()))
}

func (n *modelNode) start() {
	n.boot++
	n.alive, n.frozen, n.busy = true, false, false
	n.unread = nil
	n.election = &Election{
		Self:   n.name,
		Boot:   n.boot,
		Lease:  modelLease,
		Margin: modelMargin,
		Small:  n.small,
	}
	n.election.Start(n.now())
	n.apiAnswered = n.model.clock.Now()
	boot := n.boot
	n.every(modelTick, boot, n.act)
	n.every(callTick, boot, n.call)
	n.every(renewInterval, boot, n.tellPeers)
}

// every runs a function periodically while this start of the node runs.
func (n *modelNode) every(period time.Duration, boot uint64, run func()) {
	n.model.clock.After(period, func() {
		if !n.alive || n.boot != boot {
			return
		}
		if !n.frozen {
			run()
		}
		n.every(period, boot, run)
	})
}

// now reads the clocks of the node.
func (n *modelNode) now() Reading {
	passed := time.Duration(float64(n.model.clock.Now().Sub(n.model.began)) * n.rate)
	return Reading{
		Boot: passed + time.Hour - n.stopped,
		Wall: n.model.began.Add(passed + n.step),
	}
}

// later runs a function at this start of the node after a delay, or when a freeze ends.
func (n *modelNode) later(delay time.Duration, run func()) { n.laterAt(n.boot, delay, run) }

// laterAt is later for a start of the node, which may have ended.
func (n *modelNode) laterAt(boot uint64, delay time.Duration, run func()) {
	n.model.clock.After(delay, func() {
		switch {
		case !n.alive || n.boot != boot:
		case n.frozen:
			n.unread = append(n.unread, run)
		default:
			run()
		}
	})
}

func (n *modelNode) live() []string {
	var names []string
	for _, other := range n.model.nodes {
		seen := other.alive && !other.cutPeers && !n.cutPeers || n.model.clock.Now().Sub(other.diedAt) < gossipDelay
		if other == n || seen {
			names = append(names, other.name)
		}
	}
	return names
}

func (n *modelNode) act() {
	if n.busy {
		return
	}
	if n.model.variant.noWait {
		n.election.seenAt -= time.Minute
		n.election.heardAt = 0
		n.election.blockedUntil = 0
	}
	action := n.election.Due(n.now(), n.live)
	switch action.Kind {
	case Read:
		n.exchange(false, func() func() {
			view := n.model.store.view
			return func() { n.election.ReadDone(view, n.now()) }
		}, func() {})
	case Append:
		n.exchange(true, func() func() {
			result, era := n.model.append(action.At, action.Record)
			return func() { n.election.Appended(action, result, era, n.now()) }
		}, func() { n.election.Appended(action, Unknown, 0, n.now()) })
	}
}

// append executes a conditional append at the store.
func (m *model) append(at int, record wire.DutyLease) (Result, int) {
	if at != m.store.view.End && !m.variant.unconditional {
		return Conflict, 0
	}
	m.store.view.Found = true
	m.store.view.Offset = m.store.view.End
	m.store.view.Lease = record
	m.store.view.End++
	if record.Released {
		m.store.snapshots = append(m.store.snapshots, m.store.view)
	}
	return Done, m.store.view.Era
}

// exchange sends a call to the store. The call returns what the node does with the answer, failed what it does without one.
func (n *modelNode) exchange(appends bool, call func() func(), failed func()) {
	m, boot := n.model, n.boot
	n.busy = true
	answered := false
	finish := func(run func()) {
		if !answered {
			answered, n.busy = true, false
			run()
		}
	}
	n.later(callTimeout, func() { finish(failed) })
	if n.cutTo || m.store.down {
		return
	}
	delay := m.upTo(20 * time.Millisecond)
	if m.store.slow {
		delay = m.upTo(1500 * time.Millisecond)
	}
	if appends && m.faulty() && m.chance(0.05) {
		delay = m.untilQuiet(9 * time.Second)
	}
	lost := m.faulty() && m.chance(0.03)
	m.clock.After(delay, func() {
		answer := call()
		if !lost && !n.cutFrom {
			n.laterAt(boot, m.upTo(20*time.Millisecond), func() { finish(answer) })
		}
	})
}

// call calls the platform API as the holder. The process may freeze between the check of the lease and the call.
func (n *modelNode) call() {
	m := n.model
	number, held := n.election.Held(n.now())
	if !held {
		return
	}
	if m.faulty() && m.chance(0.003) {
		n.freeze(m.untilQuiet(8*time.Second), false)
		n.later(0, func() { m.clock.After(m.upTo(modelThaw), func() { n.send(number, false) }) })
		return
	}
	n.send(number, true)
}

// send sends a call. One that was held back by a freeze does not count for the order of the holders.
func (n *modelNode) send(number int, ordered bool) {
	m, boot := n.model, n.boot
	if sender, used := m.senders[number]; used && sender != n.name {
		m.fail("number %d was sent by %s and %s", number, sender, n.name)
	}
	m.senders[number] = n.name
	if number == n.refused && ordered {
		m.fail("%s sent %d again after it was refused", n.name, number)
	}
	if ordered {
		m.checkOrder(act{
			at:     m.clock.Now(),
			node:   n.name,
			number: number,
		})
	}
	n.later(callTimeout, func() { n.election.Unreachable(m.clock.Now().Sub(n.apiAnswered), n.now()) })
	if n.cutToAPI {
		return
	}
	delay := m.upTo(20 * time.Millisecond)
	if m.faulty() && m.chance(0.02) {
		delay = m.untilQuiet(6 * time.Second)
	}
	m.clock.After(delay, func() {
		refused := number < m.highest
		m.highest = max(m.highest, number)
		if refused {
			m.refused++
		}
		if n.cutFromAPI {
			return
		}
		n.laterAt(boot, m.upTo(20*time.Millisecond), func() {
			n.apiAnswered = m.clock.Now()
			if refused {
				n.refused = number
				n.election.Refused(number, n.now())
			}
		})
	})
}

// checkOrder checks that the number rises with each change of the holder, and that no node acts again within the lease
// after another one did.
func (m *model) checkOrder(next act) {
	defer func() { m.acts = append(m.acts, next) }()
	if len(m.acts) == 0 {
		return
	}
	last := m.acts[len(m.acts)-1]
	if next.number < last.number {
		m.fail("%s sent %d after %s had sent %d", next.node, next.number, last.node, last.number)
	}
	if last.node == next.node {
		return
	}
	for _, earlier := range slices.Backward(m.acts) {
		if next.at.Sub(earlier.at) >= modelLease {
			return
		}
		if earlier.node == next.node {
			m.fail("%s acted, then %s, then %s within %v", next.node, last.node, next.node, next.at.Sub(earlier.at))
			return
		}
	}
}

func (m *model) fail(format string, args ...any) {
	m.faults = append(m.faults, fmt.Sprintf("after %v: ", m.clock.Now().Sub(m.began))+fmt.Sprintf(format, args...))
}

func (n *modelNode) tellPeers() {
	number, held := n.election.Held(n.now())
	if !held || n.cutPeers || n.model.variant.silent {
		return
	}
	for _, other := range n.model.nodes {
		if other != n && other.alive && !other.cutPeers {
			other.later(n.model.upTo(10*time.Millisecond), func() { other.election.Heard(n.name, number, other.now()) })
		}
	}
}

// stepClock sets the wall clock by a fault, back or forth. It is not set back during a stop by the host or a lease before it:
// that would hide the stop from both clocks, and the design does not cover it.
func (n *modelNode) stepClock() {
	step := n.model.upTo(20*time.Second) - 5*time.Second
	if n.frozen {
		step = max(step, 0)
	}
	if step < 0 {
		n.steppedBack = n.model.clock.Now()
	}
	n.step += step
}

// freeze stops the process for a while. In a stop by the host the boot-time clock stands still too.
func (n *modelNode) freeze(d time.Duration, byHost bool) {
	if n.frozen || !n.alive {
		return
	}
	n.frozen = true
	boot := n.boot
	n.model.clock.After(d, func() {
		if byHost {
			n.stopped += d
		}
		if n.boot != boot {
			return
		}
		n.frozen = false
		unread := n.unread
		n.unread = nil
		for _, run := range unread {
			run()
		}
	})
}

func (n *modelNode) kill() { n.killFor(n.model.upTo(6 * time.Second)) }

// killFor kills the process, which starts again after a while.
func (n *modelNode) killFor(d time.Duration) {
	m := n.model
	if !n.alive {
		return
	}
	n.alive, n.frozen = false, false
	n.diedAt = m.clock.Now()
	m.clock.After(m.within(d), n.start)
}
