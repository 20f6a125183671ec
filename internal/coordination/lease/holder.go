package lease

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// Holder acquires and renews the lease of one pool for one node; it is not safe for concurrent use.
type Holder struct {
	// Table holds the leases read from the log.
	Table *Table
	// Pool is the pool whose lease to acquire.
	Pool string
	// Incarnation identifies this start of this node.
	Incarnation string
	// Length is how long a lease lasts.
	Length time.Duration
	// Margin allows for clock drift and short pauses. The holder stops that much before the lease ends, and other nodes
	// wait that much longer.
	Margin time.Duration
	// MaxOrderDelay is the longest time that an order can take to arrive. A new holder waits for it before it sends orders
	// to engines that ignore fencing numbers.
	MaxOrderDelay time.Duration

	// startedAt is the time of the first DueRecord call.
	startedAt time.Time
	// lastRequestAt is the time of the most recent request.
	lastRequestAt time.Time
	// validFrom is the time at which the grant of the current lease was read back.
	validFrom time.Time
	// validUntil is the time after which this node no longer uses the lease.
	validUntil time.Time
	// validUntilByRequest maps the numbers of open requests to the time until which each makes the lease valid.
	validUntilByRequest map[int]time.Time
	// lastRequest is the number of the most recent request, which its record carries as Ask.
	lastRequest int
	// requestPending is set until a request has been read back from the log.
	requestPending bool
	// fencingNumber is the fencing number of the lease that this node gained last.
	fencingNumber int
	// observed is the most recent grant, or its renewal, that expiredByLocalClock saw.
	observed Grant
	// observedAt is the time at which expiredByLocalClock first saw observed.
	observedAt time.Time
}

// DueRecord returns the record to append to acquire or renew the lease, if one is due.
//
// A node that has just started first waits for Length and Margin, since a lease that it has not read may be in force.
func (h *Holder) DueRecord(now time.Time) (wire.LeaseRecord, bool) {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	if now.Sub(h.startedAt) < h.Length+h.Margin {
		return wire.LeaseRecord{}, false
	}
	if h.requestPending && now.Sub(h.lastRequestAt) < h.Length/3 {
		return wire.LeaseRecord{}, false
	}
	grant, granted := h.Table.Grant(h.Pool)
	r := wire.LeaseRecord{
		Type:     wire.LeaseRecordTypeGrant,
		Pool:     h.Pool,
		Holder:   h.Incarnation,
		Previous: -1,
		LengthMs: int(h.Length.Milliseconds()),
	}
	if granted {
		r.Previous = grant.fencingNumber
	}
	switch {
	case granted && grant.holder == h.Incarnation && !grant.released && now.Before(h.validUntil):
		if h.validUntil.Sub(now) > h.Length/2 {
			return wire.LeaseRecord{}, false
		}
		r.Type = wire.LeaseRecordTypeRenew
	case granted && !grant.released && !h.expiredByLocalClock(grant, now):
		return wire.LeaseRecord{}, false
	}
	h.prepareRequest(&r, now)
	return r, true
}

// prepareRequest numbers the record and stores, by that number, the time until which it makes the lease valid. Observe
// thus counts the lease from the request whose record was read back, not from a later one.
func (h *Holder) prepareRequest(r *wire.LeaseRecord, now time.Time) {
	if h.validUntilByRequest == nil {
		h.validUntilByRequest = map[int]time.Time{}
	}
	for request, validUntil := range h.validUntilByRequest {
		if !now.Before(validUntil) {
			delete(h.validUntilByRequest, request)
		}
	}
	h.lastRequest++
	r.Ask = h.lastRequest
	h.validUntilByRequest[h.lastRequest] = now.Add(h.Length - h.Margin)
	h.requestPending = true
	h.lastRequestAt = now
}

// expiredByLocalClock reports whether the grant has stayed unrenewed for Length and Margin on this node's clock.
func (h *Holder) expiredByLocalClock(grant Grant, now time.Time) bool {
	if h.observed != grant || h.observedAt.IsZero() {
		h.observed = grant
		h.observedAt = now
	}
	return now.Sub(h.observedAt) >= h.Length+h.Margin
}

// Observe processes a record that Table has applied; it starts or extends the validity of this node's own lease.
func (h *Holder) Observe(r wire.LeaseRecord, now time.Time) {
	if r.Pool != h.Pool || r.Holder != h.Incarnation {
		return
	}
	validUntil, known := h.validUntilByRequest[r.Ask]
	grant, granted := h.Table.Grant(h.Pool)
	if !known || !granted || grant.holder != h.Incarnation || grant.released {
		return
	}
	delete(h.validUntilByRequest, r.Ask)
	h.requestPending = false
	if h.fencingNumber != grant.fencingNumber || h.validFrom.IsZero() {
		h.fencingNumber = grant.fencingNumber
		h.validFrom = now
		h.validUntil = time.Time{}
	}
	if validUntil.After(h.validUntil) {
		h.validUntil = validUntil
	}
}

// FencingNumber returns the fencing number of this node's lease, and whether an order may be sent now.
//
// The parameter fencingChecked tells whether the engines that get the order refuse old fencing numbers.
func (h *Holder) FencingNumber(now time.Time, fencingChecked bool) (int, bool) {
	grant, granted := h.Table.Grant(h.Pool)
	if !granted || grant.fencingNumber != h.fencingNumber || grant.holder != h.Incarnation || !now.Before(h.validUntil) {
		return 0, false
	}
	if !fencingChecked && now.Before(h.validFrom.Add(h.MaxOrderDelay)) {
		return 0, false
	}
	return h.fencingNumber, true
}
