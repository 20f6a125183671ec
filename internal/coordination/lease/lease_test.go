package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
)

var sealer = record.Sealer{Secret: []byte("secret of the tests")}

const (
	pool      = "engines"
	length    = 10 * time.Second
	margin    = 2 * time.Second
	orderTime = 5 * time.Second
	// drift is the part by which a node's clock may run wrong; the margin has to cover it.
	drift = 0.05
)

// node is a holder with its own clock, which may stop (a pause) and run a little wrong.
type node struct {
	holder *Holder
	rate   float64
	clock  time.Time
	paused bool
	inbox  []wire.LogRecord
	asked  []wire.LeaseRecord
	// wakes and releases are when a pause ends and when what was held back takes effect.
	wakes    time.Duration
	releases time.Duration
	held     []wire.LeaseRecord
}

func newNode(name string, rate float64) *node {
	return &node{
		holder: &Holder{
			Table:         NewTable(sealer),
			Pool:          pool,
			Incarnation:   name,
			Length:        length,
			Margin:        margin,
			MaxOrderDelay: orderTime,
		},
		rate:  rate,
		clock: time.Unix(1000, 0),
	}
}

// world is a log with true time, and nodes that seek the lease.
type world struct {
	now   time.Duration
	log   []wire.LogRecord
	nodes []*node
}

func (w *world) advance(d time.Duration) {
	w.now += d
	for _, n := range w.nodes {
		n.clock = n.clock.Add(time.Duration(float64(d) * n.rate))
	}
}

func (w *world) ask(n *node) {
	if n.paused {
		return
	}
	if r, due := n.holder.DueRecord(n.clock); due {
		n.asked = append(n.asked, r)
	}
}

// effect lets the oldest asked record of a node take effect in the log.
func (w *world) effect(n *node) {
	if len(n.asked) == 0 {
		return
	}
	data, err := sealer.Seal(Stream, n.asked[0])
	if err != nil {
		panic(err)
	}
	n.asked = n.asked[1:]
	entry := wire.LogRecord{
		Offset: len(w.log),
		TimeMs: int(w.now.Milliseconds()),
		Data:   data,
	}
	w.log = append(w.log, entry)
	for _, other := range w.nodes {
		other.inbox = append(other.inbox, entry)
	}
}

func (w *world) read(n *node) {
	if n.paused || len(n.inbox) == 0 {
		return
	}
	entry := n.inbox[0]
	n.inbox = n.inbox[1:]
	if r, applied := n.holder.Table.Apply(entry); applied {
		n.holder.Observe(r, n.clock)
	}
}

// holders returns the nodes that would send an order at this moment; a paused node sends nothing.
func (w *world) holders(checked bool) []string {
	var names []string
	for _, n := range w.nodes {
		if _, valid := n.holder.FencingNumber(n.clock, checked); valid && !n.paused {
			names = append(names, n.holder.Incarnation)
		}
	}
	return names
}

func TestNoTwoNodesHoldTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{nodes: []*node{newNode("a", 1+drift), newNode("b", 1-drift), newNode("c", 1)}}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			n := w.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			switch rapid.IntRange(0, 6).Draw(t, "move") {
			case 0, 1:
				w.ask(n)
			case 2:
				w.effect(n)
			case 3, 4:
				w.read(n)
			case 5:
				w.advance(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
			case 6:
				n.paused = rapid.Bool().Draw(t, "paused")
			}
			if names := w.holders(true); len(names) > 1 {
				t.Fatalf("held at once by %v", names)
			}
		}
	})
}

// settle lets every node ask, take effect and read, with time passing, until the lease is where it will be.
func (w *world) settle(d time.Duration) {
	for range int(d / time.Second) {
		w.advance(time.Second)
		for _, n := range w.nodes {
			w.ask(n)
			for len(n.asked) > 0 {
				w.effect(n)
			}
		}
		for _, n := range w.nodes {
			for len(n.inbox) > 0 && !n.paused {
				w.read(n)
			}
		}
	}
}

func TestLeaseIsGainedKeptAndPassedOn(t *testing.T) {
	is := is.New(t)
	w := &world{nodes: []*node{newNode("a", 1), newNode("b", 1)}}
	w.settle(20 * time.Second)
	holders := w.holders(true)
	is.Equal(len(holders), 1)
	first, _ := w.nodes[0].holder.Table.Grant(pool)
	w.settle(60 * time.Second)
	kept, _ := w.nodes[0].holder.Table.Grant(pool)
	is.Equal(kept.FencingNumber(), first.FencingNumber()) // renewed, not granted anew
	for _, n := range w.nodes {
		n.paused = n.holder.Incarnation == holders[0]
	}
	w.settle(40 * time.Second)
	is.Equal(len(w.holders(true)), 1)
	is.True(w.holders(true)[0] != holders[0])
}

func TestPausedHolderWakesWithoutLease(t *testing.T) {
	is := is.New(t)
	w := &world{nodes: []*node{newNode("a", 1)}}
	w.settle(20 * time.Second)
	is.Equal(w.holders(true), []string{"a"})
	w.nodes[0].paused = true
	w.advance(length)
	w.nodes[0].paused = false
	is.Equal(len(w.holders(true)), 0)
}

func TestLateRenewalDoesNotCountFromALaterAsk(t *testing.T) {
	is := is.New(t)
	w := &world{nodes: []*node{newNode("a", 1)}}
	a := w.nodes[0]
	w.settle(15 * time.Second)
	is.Equal(w.holders(true), []string{"a"})
	w.advance(a.holder.validTo.Sub(a.clock) - 3500*time.Millisecond)
	w.ask(a) // a renewal that takes effect, but is read late
	w.effect(a)
	w.advance(3400 * time.Millisecond)
	w.ask(a) // a second one, which never takes effect
	is.Equal(len(a.asked), 1)
	w.read(a)
	is.Equal(w.holders(true), []string{"a"})
	w.advance(5 * time.Second)
	is.Equal(len(w.holders(true)), 0)
}

func TestEnginesThatIgnoreNumbersAreOrderedLater(t *testing.T) {
	is := is.New(t)
	w := &world{nodes: []*node{newNode("a", 1)}}
	for len(w.holders(true)) == 0 {
		w.settle(time.Second)
	}
	is.Equal(len(w.holders(false)), 0)
	w.settle(orderTime)
	is.Equal(w.holders(false), []string{"a"})
}

func TestRenewalStandsForATruncatedGrant(t *testing.T) {
	is := is.New(t)
	f := NewTable(sealer)
	f.Restart(50)
	for offset, r := range []wire.LeaseRecord{
		{
			Type:     wire.LeaseRecordTypeRenew,
			Pool:     pool,
			Holder:   "old",
			Previous: 3,
			LengthMs: 10_000,
		},
		{
			Type:     wire.LeaseRecordTypeRenew,
			Pool:     pool,
			Holder:   "new",
			Previous: 40,
			LengthMs: 10_000,
		},
		{
			Type:     wire.LeaseRecordTypeGrant,
			Pool:     pool,
			Holder:   "thief",
			Previous: 40,
			LengthMs: 10_000,
		},
	} {
		data, err := sealer.Seal(Stream, r)
		is.NoErr(err)
		f.Apply(wire.LogRecord{
			Offset: 50 + offset,
			TimeMs: 1000,
			Data:   data,
		})
	}
	grant, held := f.Grant(pool)
	is.True(held)
	is.Equal(fmt.Sprintf("%s %d", grant.Holder(), grant.FencingNumber()), "new 40")
}
