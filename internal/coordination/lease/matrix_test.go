package lease

import (
	"testing"
	"time"

	"lagoongw/internal/protocol/wire"
)

const step = 100 * time.Millisecond

// struck is a node to which something happens at one step of its sequence: ask, effect, read, order.
type struck struct {
	name string
	// after is the step after which the fault strikes.
	after string
	fault func(w *world, n *node)
}

func kill(_ *world, n *node) { n.paused = true }

// pauseFor stops a node for several lengths of the lease; what it asked for before still takes effect.
func pauseFor(w *world, n *node) {
	n.paused = true
	n.wakes = w.now + 3*length
}

// delay holds back what a node has asked for until long after it would have counted.
func delay(w *world, n *node) {
	n.held = append(n.held, n.asked...)
	n.asked = nil
	n.releases = w.now + 2*length
}

func duplicate(_ *world, n *node) { n.asked = append(n.asked, n.asked...) }

// reorder lets a later ask take effect before the earlier one.
func reorder(_ *world, n *node) {
	if r, due := n.holder.DueRecord(n.clock.Add(length / 2)); due {
		n.asked = append([]wire.LeaseRecord{r}, n.asked...)
	}
}

func nothing(*world, *node) {}

// Every fault at every step: never two nodes that would order, and one in the end.
func TestLeaseMatrix(t *testing.T) {
	for _, s := range []struck{
		{
			name:  "no fault",
			after: "ask",
			fault: nothing,
		},
		{
			name:  "killed before the ask takes effect, which comes",
			after: "ask",
			fault: kill,
		},
		{
			name:  "killed after the effect, before reading it",
			after: "effect",
			fault: kill,
		},
		{
			name:  "killed as the holder",
			after: "read",
			fault: kill,
		},
		{
			name:  "paused between ask and effect",
			after: "ask",
			fault: pauseFor,
		},
		{
			name:  "paused between effect and reading",
			after: "effect",
			fault: pauseFor,
		},
		{
			name:  "paused as the holder, between check and order",
			after: "read",
			fault: pauseFor,
		},
		{
			name:  "ask takes effect two lengths late",
			after: "ask",
			fault: delay,
		},
		{
			name:  "ask takes effect twice",
			after: "ask",
			fault: duplicate,
		},
		{
			name:  "two asks take effect in the wrong order",
			after: "ask",
			fault: reorder,
		},
	} {
		t.Run(s.name, func(t *testing.T) {
			w := &world{nodes: []*node{newNode("a", 1), newNode("b", 1)}}
			w.nodes[1].clock = w.nodes[1].clock.Add(-time.Second) // b comes second
			fired := false
			for w.now < 20*length {
				w.advance(step)
				w.wake()
				for i, n := range w.nodes {
					w.walk(n, func(at string) {
						if i == 0 && at == s.after && !fired {
							fired = true
							s.fault(w, n)
						}
					})
				}
				for _, checked := range []bool{true, false} {
					if names := w.holders(checked); len(names) > 1 {
						t.Fatalf("after %s: %v would order at once (checked: %t)", w.now, names, checked)
					}
				}
			}
			if !fired {
				t.Fatal("the fault did not strike")
			}
			if names := w.holders(true); len(names) != 1 {
				t.Fatalf("held by %v in the end", names)
			}
		})
	}
}

// walk takes one node through the steps that are due, and tells after each of them.
func (w *world) walk(n *node, after func(step string)) {
	before := len(n.asked)
	w.ask(n)
	if len(n.asked) > before {
		after("ask")
	}
	for len(n.asked) > 0 {
		w.effect(n)
		after("effect")
	}
	for len(n.inbox) > 0 && !n.paused {
		_, held := n.holder.FencingNumber(n.clock, true)
		w.read(n)
		if _, holds := n.holder.FencingNumber(n.clock, true); holds && !held {
			after("read")
		}
	}
}

// wake ends the pauses and delays whose time has come.
func (w *world) wake() {
	for _, n := range w.nodes {
		if n.wakes > 0 && w.now >= n.wakes {
			n.wakes = 0
			n.paused = false
		}
		if n.releases > 0 && w.now >= n.releases {
			n.releases = 0
			n.asked = append(n.held, n.asked...)
			n.held = nil
		}
	}
}
