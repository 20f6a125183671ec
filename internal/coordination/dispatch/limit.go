package dispatch

import (
	"maps"
	"time"

	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/state/replica"
)

const (
	// maxDenial is how long an upstream is not chosen after a send was denied, at most.
	maxDenial = 30 * time.Second
	// maxReturn is the longest time that a caller is told to wait because upstreams are at their limits.
	maxReturn = 30 * time.Second
	// unknownWait is how long a node waits that could not ask the holder, or asked one that does not know the upstream.
	unknownWait = 500 * time.Millisecond
)

// Permit says whether a request may be sent to an upstream that may have named a limit or be brittle.
type Permit struct {
	// Limited reports whether the upstream has named a limit or is brittle.
	Limited bool
	// Granted reports whether the request may be sent.
	Granted bool
	// Holder is the name of the node that has to be asked, empty for none.
	Holder string
	// Report is what the holder has to know of a limit, and Place of a place at a brittle upstream; Place.Refusals is 0 if the
	// upstream is not brittle.
	Report ratelimit.Report
	Place  ratelimit.Place
	// Ticket returns the place, 0 if there is none.
	Ticket uint64
}

func limitKey(r *replica.Replica) ratelimit.Upstream {
	return ratelimit.Upstream{
		Name: r.Name(),
		Boot: r.Boot(),
	}
}

// lookup returns a listed upstream, nil if it is not listed or has restarted since.
func lookup(snapshot *replica.Snapshot, u ratelimit.Upstream) *replica.Replica {
	if r, known := snapshot.Replica(u.Name); known && r.Boot() == u.Boot {
		return r
	}
	return nil
}

// Limited records the limit in an answer of an upstream, in requests a second and 0 for none, and reports whether it has
// changed. The request was sent at the given time.
func (d *Dispatcher) Limited(r *replica.Replica, limit float64, sent, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Answered(limitKey(r), limit, sent, now)
}

// LimitedUpstreams returns the number of upstreams that have named a limit.
func (d *Dispatcher) LimitedUpstreams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Count()
}

// Tick updates the names of the live nodes, and the number of all nodes that may send requests, including those that are
// believed dead. It is to be called several times a second.
func (d *Dispatcher) Tick(live []string, known int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants.Self = d.Name
	d.grants.Tick(live, known, now)
}

// Brittle records how many requests a second an upstream may turn away without falling over, by an answer of it and 0 if it does
// not say so, and the load that it tells. It reports whether the former has changed. The request was sent at the given time.
func (d *Dispatcher) Brittle(r *replica.Replica, refusals float64, load ratelimit.ServerLoad, sent, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if load.Slots > 0 {
		d.state(r).serverLoad = load
	}
	return d.brittle.Answered(limitKey(r), refusals, sent, now)
}

// IsBrittle reports whether an upstream falls over when it has to turn away too many requests.
func (d *Dispatcher) IsBrittle(r *replica.Replica) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.brittle.Limit(limitKey(r)) > 0
}

// TakePermit takes a permit to send one request to an upstream, or names the node to ask for it. The request takes no longer
// than its lease.
func (d *Dispatcher) TakePermit(r *replica.Replica, lease time.Duration, now time.Time) Permit {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := limitKey(r)
	report, limited := d.limits.Report(key, now)
	refusals := d.brittle.Limit(key)
	if !limited && refusals == 0 {
		return Permit{Granted: true}
	}
	upstream := d.state(r)
	if now.Before(upstream.deniedUntil) {
		return Permit{Limited: true}
	}
	permit := Permit{
		Limited: true,
		Report:  report,
		Place: ratelimit.Place{
			Upstream: key,
			Slots:    r.Slots(),
			Refusals: refusals,
			Lease:    lease,
			Load:     upstream.serverLoad,
		},
	}
	if holder := d.grants.Holder(key); holder != d.Name {
		permit.Holder = holder
		return permit
	}
	grant := d.grant(report.Limit, permit.Place, now)
	upstream.deny(grant, now)
	permit.Granted, permit.Ticket = grant.Granted, grant.Ticket
	return permit
}

// grant grants one send, as the holder, within the limit of an upstream, 0 for none, and within its room if it is brittle; the
// lock must be held.
func (d *Dispatcher) grant(limit float64, place ratelimit.Place, now time.Time) ratelimit.Grant {
	grant := ratelimit.Grant{Granted: true}
	if place.Refusals > 0 {
		if grant = d.grants.TakePlace(place, now); !grant.Granted {
			return grant
		}
	}
	if limit == 0 {
		return grant
	}
	sends := d.grants.Take(place.Upstream, limit, now)
	if !sends.Granted {
		d.grants.Release(place.Upstream, grant.Ticket, false, now)
		return sends
	}
	return grant
}

// GrantPermit decides, as the holder, whether another node may send one request to an upstream.
func (d *Dispatcher) GrantPermit(report ratelimit.Report, place ratelimit.Place, now time.Time) ratelimit.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lookup(d.Table.Load(), place.Upstream) == nil {
		return ratelimit.Grant{Wait: unknownWait}
	}
	if report.Limit > 0 {
		d.limits.Merge(report, now)
	}
	return d.grant(d.limits.Limit(place.Upstream), place, now)
}

// ReleasePermit returns the place that came with a permit, if this node holds the upstream's room; refused reports that the
// upstream has turned the request away.
func (d *Dispatcher) ReleasePermit(u ratelimit.Upstream, ticket uint64, refused bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants.Release(u, ticket, refused, now)
}

// PermitAnswered records the answer of a holder.
func (d *Dispatcher) PermitAnswered(r *replica.Replica, grant ratelimit.Grant, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(r).deny(grant, now)
}

// HolderSilent records that the holder did not answer.
func (d *Dispatcher) HolderSilent(r *replica.Replica, now time.Time) {
	d.PermitAnswered(r, ratelimit.Grant{Wait: unknownWait}, now)
}

// deny keeps an upstream from being chosen until the next send may be granted.
func (s *upstreamState) deny(grant ratelimit.Grant, now time.Time) {
	if !grant.Granted {
		s.deniedUntil = later(s.deniedUntil, now.Add(min(grant.Wait, maxDenial)))
	}
}

// nextReturn returns when a caller that is refused may come back: not before the earliest time, and later than those told
// before by this node's part of the pool's limits, so that the callers don't all return for the same send.
func (d *Dispatcher) nextReturn(pool string, earliest time.Time, limits float64) time.Time {
	interval := time.Duration(float64(max(d.Nodes(), 1)) / limits * float64(time.Second))
	at := earliest
	if last := d.lastReturn[pool]; !last.IsZero() {
		at = later(at, last.Add(interval))
	}
	if longest := earliest.Add(maxReturn); at.After(longest) {
		return longest
	}
	if d.lastReturn == nil {
		d.lastReturn = map[string]time.Time{}
	}
	maps.DeleteFunc(d.lastReturn, func(_ string, last time.Time) bool { return last.Add(maxReturn).Before(earliest) })
	d.lastReturn[pool] = at
	return at
}
