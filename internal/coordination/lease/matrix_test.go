package lease

import (
	"testing"
	"time"

	"lagoongw/internal/protocol/wire"
)

const tick = 100 * time.Millisecond

// faultCase is a fault that is injected into one node after one step.
type faultCase struct {
	name string
	// after is the step that precedes the fault: ask, append or read.
	after string
	fault func(sim *simulation, n *node)
}

// kill stops a node for the rest of the test.
func kill(_ *simulation, n *node) { n.paused = true }

// pause stops a node for three lease lengths; records that it sent before are still appended.
func pause(sim *simulation, n *node) {
	n.paused = true
	n.resumeAt = sim.now + 3*length
}

// delayRecords holds back the unappended records of a node for two lease lengths, until they are no longer valid.
func delayRecords(sim *simulation, n *node) {
	n.delayed = append(n.delayed, n.unappended...)
	n.unappended = nil
	n.releaseAt = sim.now + 2*length
}

// duplicateRecords makes the unappended records of a node be appended twice.
func duplicateRecords(_ *simulation, n *node) { n.unappended = append(n.unappended, n.unappended...) }

// reorderRecords makes a later record of a node be appended before an earlier one.
func reorderRecords(_ *simulation, n *node) {
	if r, due := n.holder.DueRecord(n.clock.Add(length / 2)); due {
		n.unappended = append([]wire.LeaseRecord{r}, n.unappended...)
	}
}

func noFault(*simulation, *node) {}

// Injects each fault after each step that it can follow. At no time may two nodes send orders, and in the end exactly
// one node holds the lease.
func TestLeaseMatrix(t *testing.T) {
	for _, s := range []faultCase{
		{
			name:  "no fault",
			after: "ask",
			fault: noFault,
		},
		{
			name:  "killed after the request was sent, before it is appended",
			after: "ask",
			fault: kill,
		},
		{
			name:  "killed after the append, before reading it",
			after: "append",
			fault: kill,
		},
		{
			name:  "killed as the holder",
			after: "read",
			fault: kill,
		},
		{
			name:  "paused between request and append",
			after: "ask",
			fault: pause,
		},
		{
			name:  "paused between append and read",
			after: "append",
			fault: pause,
		},
		{
			name:  "paused as the holder, before the next order",
			after: "read",
			fault: pause,
		},
		{
			name:  "request appended two lease lengths late",
			after: "ask",
			fault: delayRecords,
		},
		{
			name:  "request appended twice",
			after: "ask",
			fault: duplicateRecords,
		},
		{
			name:  "two requests appended in the wrong order",
			after: "ask",
			fault: reorderRecords,
		},
	} {
		t.Run(s.name, func(t *testing.T) {
			sim := &simulation{nodes: []*node{newNode("a", 1), newNode("b", 1)}}
			sim.nodes[1].clock = sim.nodes[1].clock.Add(-time.Second) // b asks after a.
			injected := false
			for sim.now < 20*length {
				sim.advance(tick)
				sim.endFaults()
				for i, n := range sim.nodes {
					sim.runSteps(n, func(at string) {
						if i == 0 && at == s.after && !injected {
							injected = true
							s.fault(sim, n)
						}
					})
				}
				for _, checked := range []bool{true, false} {
					if names := sim.holders(checked); len(names) > 1 {
						t.Fatalf("after %s: %v may send orders at once (checked: %t)", sim.now, names, checked)
					}
				}
			}
			if !injected {
				t.Fatal("the fault was not injected")
			}
			if names := sim.holders(true); len(names) != 1 {
				t.Fatalf("lease held by %v in the end, expected one node", names)
			}
		})
	}
}

// runSteps takes the steps that are due on one node, and calls after with the name of each.
func (sim *simulation) runSteps(n *node, after func(step string)) {
	before := len(n.unappended)
	sim.ask(n)
	if len(n.unappended) > before {
		after("ask")
	}
	for len(n.unappended) > 0 {
		sim.appendOldest(n)
		after("append")
	}
	for len(n.unread) > 0 && !n.paused {
		_, held := n.holder.FencingNumber(n.clock, true)
		sim.readOldest(n)
		if _, holds := n.holder.FencingNumber(n.clock, true); holds && !held {
			after("read")
		}
	}
}

// endFaults ends the pauses and delays that are over.
func (sim *simulation) endFaults() {
	for _, n := range sim.nodes {
		if n.resumeAt > 0 && sim.now >= n.resumeAt {
			n.resumeAt = 0
			n.paused = false
		}
		if n.releaseAt > 0 && sim.now >= n.releaseAt {
			n.releaseAt = 0
			n.unappended = append(n.delayed, n.unappended...)
			n.delayed = nil
		}
	}
}
