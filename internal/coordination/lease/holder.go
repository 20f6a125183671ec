package lease

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// Holder runs one node's side of one pool's lease; it is not safe for concurrent use.
type Holder struct {
	// Table is the shared view of the leases.
	Table *Table
	// Pool is the pool whose lease is sought.
	Pool string
	// Incarnation names this start of this node.
	Incarnation string
	// Length is the length of the lease.
	Length time.Duration
	// Margin is kept back for clock drift and short pauses.
	Margin time.Duration
	// MaxOrderDelay is the longest that an order can be on its way, waited out where engines ignore fencing numbers.
	MaxOrderDelay time.Duration

	started   time.Time
	asked     time.Time
	validFrom time.Time
	validTo   time.Time
	asks      map[int]time.Time
	lastAsk   int
	asking    bool
	number    int
	seen      int
	seenAt    time.Time
}

// DueRecord returns the record to append to gain or keep the lease, if one is due.
//
// A node that has just started first waits for a whole length, since a lease may be in force that it has not seen.
func (h *Holder) DueRecord(now time.Time) (wire.LeaseRecord, bool) {
	if h.started.IsZero() {
		h.started = now
	}
	if now.Sub(h.started) < h.Length+h.Margin {
		return wire.LeaseRecord{}, false
	}
	if h.asking && now.Sub(h.asked) < h.Length/3 {
		return wire.LeaseRecord{}, false
	}
	grant, held := h.Table.Grant(h.Pool)
	r := wire.LeaseRecord{
		Type:     wire.LeaseRecordTypeGrant,
		Pool:     h.Pool,
		Holder:   h.Incarnation,
		Previous: -1,
		LengthMs: int(h.Length.Milliseconds()),
	}
	if held {
		r.Previous = grant.number
	}
	switch {
	case held && grant.holder == h.Incarnation && !grant.released && now.Before(h.validTo):
		if h.validTo.Sub(now) > h.Length/2 {
			return wire.LeaseRecord{}, false
		}
		r.Type = wire.LeaseRecordTypeRenew
	case held && !grant.released && !h.waitedOut(grant, now):
		return wire.LeaseRecord{}, false
	}
	h.ask(&r, now)
	return r, true
}

// ask numbers the record, since only the record that is read back tells from when the lease counts.
func (h *Holder) ask(r *wire.LeaseRecord, now time.Time) {
	if h.asks == nil {
		h.asks = map[int]time.Time{}
	}
	for number, validTo := range h.asks {
		if !now.Before(validTo) {
			delete(h.asks, number)
		}
	}
	h.lastAsk++
	r.Ask = h.lastAsk
	h.asks[h.lastAsk] = now.Add(h.Length - h.Margin)
	h.asking = true
	h.asked = now
}

// waitedOut reports whether this node has seen the same grant, unrenewed, for a whole length and a margin.
func (h *Holder) waitedOut(grant Grant, now time.Time) bool {
	state := grant.number + grant.expiryMS
	if h.seen != state || h.seenAt.IsZero() {
		h.seen = state
		h.seenAt = now
	}
	return now.Sub(h.seenAt) >= h.Length+h.Margin
}

// Observe takes in a record that the fold has applied, which may grant or renew this holder's lease.
func (h *Holder) Observe(r wire.LeaseRecord, now time.Time) {
	if r.Pool != h.Pool || r.Holder != h.Incarnation {
		return
	}
	validTo, known := h.asks[r.Ask]
	grant, held := h.Table.Grant(h.Pool)
	if !known || !held || grant.holder != h.Incarnation || grant.released {
		return
	}
	delete(h.asks, r.Ask)
	h.asking = false
	if h.number != grant.number || h.validFrom.IsZero() {
		h.number = grant.number
		h.validFrom = now
		h.validTo = time.Time{}
	}
	if validTo.After(h.validTo) {
		h.validTo = validTo
	}
}

// FencingNumber returns the fencing number and whether an order may be sent now to engines that do or do not check it.
func (h *Holder) FencingNumber(now time.Time, checked bool) (int, bool) {
	grant, held := h.Table.Grant(h.Pool)
	if !held || grant.number != h.number || grant.holder != h.Incarnation || !now.Before(h.validTo) {
		return 0, false
	}
	if !checked && now.Before(h.validFrom.Add(h.MaxOrderDelay)) {
		return 0, false
	}
	return h.number, true
}
