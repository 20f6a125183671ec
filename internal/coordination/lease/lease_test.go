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
	pool          = "engines"
	length        = 10 * time.Second
	margin        = 2 * time.Second
	maxOrderDelay = 5 * time.Second
	// drift is the relative error of a node's clock rate, which the margin has to cover.
	drift = 0.05
)

// node is a holder with a clock that may drift. A paused node sends and reads nothing, while its clock runs on.
type node struct {
	holder     *Holder
	clockRate  float64
	clock      time.Time
	paused     bool
	unread     []wire.LogRecord
	unappended []wire.LeaseRecord
	// resumeAt is when a pause ends.
	resumeAt time.Duration
	// releaseAt is when the delayed records can be appended.
	releaseAt time.Duration
	// delayed holds the records that are held back until releaseAt.
	delayed []wire.LeaseRecord
}

func newNode(name string, clockRate float64) *node {
	return &node{
		holder: &Holder{
			Table:         NewTable(sealer),
			Pool:          pool,
			Incarnation:   name,
			Length:        length,
			Margin:        margin,
			MaxOrderDelay: maxOrderDelay,
		},
		clockRate: clockRate,
		clock:     time.Unix(1000, 0),
	}
}

// simulation is a log with an exact clock, and nodes that compete for the lease.
type simulation struct {
	now   time.Duration
	log   []wire.LogRecord
	nodes []*node
}

func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	for _, n := range sim.nodes {
		n.clock = n.clock.Add(time.Duration(float64(d) * n.clockRate))
	}
}

// ask makes a node request the lease, if a record is due; the record is not appended yet.
func (sim *simulation) ask(n *node) {
	if n.paused {
		return
	}
	if r, due := n.holder.DueRecord(n.clock); due {
		n.unappended = append(n.unappended, r)
	}
}

// appendOldest adds the oldest unappended record of a node to the log.
func (sim *simulation) appendOldest(n *node) {
	if len(n.unappended) == 0 {
		return
	}
	data, err := sealer.Seal(Stream, n.unappended[0])
	if err != nil {
		panic(err)
	}
	n.unappended = n.unappended[1:]
	entry := wire.LogRecord{
		Offset: len(sim.log),
		TimeMs: int(sim.now.Milliseconds()),
		Data:   data,
	}
	sim.log = append(sim.log, entry)
	for _, other := range sim.nodes {
		other.unread = append(other.unread, entry)
	}
}

func (sim *simulation) readOldest(n *node) {
	if n.paused || len(n.unread) == 0 {
		return
	}
	entry := n.unread[0]
	n.unread = n.unread[1:]
	if r, applied := n.holder.Table.Apply(entry); applied {
		n.holder.Observe(r, n.clock)
	}
}

// holders returns the nodes that may send an order now; a paused node sends nothing.
func (sim *simulation) holders(checked bool) []string {
	var names []string
	for _, n := range sim.nodes {
		if _, valid := n.holder.FencingNumber(n.clock, checked); valid && !n.paused {
			names = append(names, n.holder.Incarnation)
		}
	}
	return names
}

func TestNoTwoNodesHoldTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{nodes: []*node{newNode("a", 1+drift), newNode("b", 1-drift), newNode("c", 1)}}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			n := sim.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			switch rapid.IntRange(0, 6).Draw(t, "transition") {
			case 0, 1:
				sim.ask(n)
			case 2:
				sim.appendOldest(n)
			case 3, 4:
				sim.readOldest(n)
			case 5:
				sim.advance(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
			case 6:
				n.paused = rapid.Bool().Draw(t, "paused")
			}
			if names := sim.holders(true); len(names) > 1 {
				t.Fatalf("lease held by several nodes at once: %v", names)
			}
		}
	})
}

// runFor advances time in steps of a second; in each, all nodes append their due records and read the log.
func (sim *simulation) runFor(d time.Duration) {
	for range int(d / time.Second) {
		sim.advance(time.Second)
		for _, n := range sim.nodes {
			sim.ask(n)
			for len(n.unappended) > 0 {
				sim.appendOldest(n)
			}
		}
		for _, n := range sim.nodes {
			for len(n.unread) > 0 && !n.paused {
				sim.readOldest(n)
			}
		}
	}
}

func TestLeaseIsGrantedRenewedAndTakenOver(t *testing.T) {
	is := is.New(t)
	sim := &simulation{nodes: []*node{newNode("a", 1), newNode("b", 1)}}
	sim.runFor(20 * time.Second)
	holders := sim.holders(true)
	is.Equal(len(holders), 1)
	first, _ := sim.nodes[0].holder.Table.Grant(pool)
	sim.runFor(60 * time.Second)
	kept, _ := sim.nodes[0].holder.Table.Grant(pool)
	is.Equal(kept.FencingNumber(), first.FencingNumber()) // Renewed, not granted again.
	for _, n := range sim.nodes {
		n.paused = n.holder.Incarnation == holders[0]
	}
	sim.runFor(40 * time.Second)
	is.Equal(len(sim.holders(true)), 1)
	is.True(sim.holders(true)[0] != holders[0])
}

func TestPausedHolderResumesWithoutLease(t *testing.T) {
	is := is.New(t)
	sim := &simulation{nodes: []*node{newNode("a", 1)}}
	sim.runFor(20 * time.Second)
	is.Equal(sim.holders(true), []string{"a"})
	sim.nodes[0].paused = true
	sim.advance(length)
	sim.nodes[0].paused = false
	is.Equal(len(sim.holders(true)), 0)
}

// A renewal that is read late must count from the time of its own request. Counted from that of a later request, the
// lease would seem valid after it has expired.
func TestLateRenewalCountsFromItsOwnAsk(t *testing.T) {
	is := is.New(t)
	sim := &simulation{nodes: []*node{newNode("a", 1)}}
	a := sim.nodes[0]
	sim.runFor(15 * time.Second)
	is.Equal(sim.holders(true), []string{"a"})
	sim.advance(a.holder.validUntil.Sub(a.clock) - 3500*time.Millisecond)
	sim.ask(a) // A renewal that is appended, but read late.
	sim.appendOldest(a)
	sim.advance(3400 * time.Millisecond)
	sim.ask(a) // A second renewal, which is never appended.
	is.Equal(len(a.unappended), 1)
	sim.readOldest(a)
	is.Equal(sim.holders(true), []string{"a"})
	sim.advance(5 * time.Second)
	is.Equal(len(sim.holders(true)), 0)
}

// Engines that ignore fencing numbers get orders only once an order of the previous holder can no longer arrive.
func TestUncheckedEnginesAreOrderedAfterMaxOrderDelay(t *testing.T) {
	is := is.New(t)
	sim := &simulation{nodes: []*node{newNode("a", 1)}}
	for len(sim.holders(true)) == 0 {
		sim.runFor(time.Second)
	}
	is.Equal(len(sim.holders(false)), 0)
	sim.runFor(maxOrderDelay)
	is.Equal(sim.holders(false), []string{"a"})
}

// In a log that starts at offset 50, the grants at offsets 3 and 40 are known only from their renewals. The later grant
// replaces the earlier one, and holds against a new grant until it expires.
func TestRenewalReplacesATruncatedGrant(t *testing.T) {
	is := is.New(t)
	table := NewTable(sealer)
	table.Restart(50)
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
			Holder:   "intruder",
			Previous: 40,
			LengthMs: 10_000,
		},
	} {
		data, err := sealer.Seal(Stream, r)
		is.NoErr(err)
		table.Apply(wire.LogRecord{
			Offset: 50 + offset,
			TimeMs: 1000,
			Data:   data,
		})
	}
	grant, granted := table.Grant(pool)
	is.True(granted)
	is.Equal(fmt.Sprintf("%s %d", grant.Holder(), grant.FencingNumber()), "new 40")
}

// TestGrantsWithTheSameSumAreTwo guards against telling grants apart by the sum of fencing number and expiry: a node then
// took a new holder's lease for the one that it had watched, and asked for it as soon as that would have run out.
func TestGrantsWithTheSameSumAreTwo(t *testing.T) {
	is := is.New(t)
	h := newNode("entry-1", 1).holder
	now := time.Unix(1000, 0)
	first := Grant{
		holder:        "entry-2",
		fencingNumber: 5,
		expiryMS:      1000,
	}
	second := Grant{
		holder:        "entry-3",
		fencingNumber: 6,
		expiryMS:      999,
	}
	is.True(!h.expiredByLocalClock(first, now))
	now = now.Add(length)
	is.True(!h.expiredByLocalClock(second, now))
	is.True(!h.expiredByLocalClock(second, now.Add(margin)))
	is.True(h.expiredByLocalClock(second, now.Add(length+margin)))
}
