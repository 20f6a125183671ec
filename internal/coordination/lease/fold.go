package lease

import (
	"time"

	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
)

// Stream is the name of the log stream that carries the leases.
const Stream = "leases"

// MaxLength bounds the length of a lease.
const MaxLength = time.Minute

// Grant is the lease in force on a pool.
type Grant struct {
	holder   string
	number   int
	expiryMS int
	released bool
}

// Holder returns the incarnation of the node that holds the lease.
func (g Grant) Holder() string { return g.holder }

// FencingNumber returns the fencing number, the log offset of the grant.
func (g Grant) FencingNumber() int { return g.number }

// Table is the lease of each pool as a function of the leases stream; it is not safe for concurrent use.
type Table struct {
	// Sealer opens the records.
	Sealer record.Sealer

	grants    map[string]Grant
	next      int
	lastMS    int
	truncated bool
}

// NewTable returns a fold that has seen nothing.
func NewTable(sealer record.Sealer) *Table {
	return &Table{
		Sealer: sealer,
		grants: map[string]Grant{},
	}
}

// Grant returns the lease in force on a pool.
func (f *Table) Grant(pool string) (Grant, bool) {
	grant, ok := f.grants[pool]
	return grant, ok
}

// Restart forgets what was read; reading begins again at the oldest retained offset.
func (f *Table) Restart(oldest int) {
	f.grants = map[string]Grant{}
	f.next = oldest
	f.truncated = oldest > 0
}

// Apply folds one record and reports whether it took effect; times are the log's, so that every node judges alike.
func (f *Table) Apply(entry wire.LogRecord) (r wire.LeaseRecord, applied bool) {
	if entry.Offset < f.next {
		return r, false
	}
	f.next = entry.Offset + 1
	f.lastMS = max(f.lastMS, entry.TimeMs)
	if f.Sealer.Open(Stream, entry.Data, &r) != nil || !valid(r) {
		return r, false
	}
	switch r.Type {
	case wire.LeaseRecordTypeGrant:
		return r, f.grant(entry.Offset, r)
	case wire.LeaseRecordTypeRenew:
		return r, f.renew(r)
	case wire.LeaseRecordTypeRelease:
		return r, f.release(r)
	}
	return r, false
}

func valid(r wire.LeaseRecord) bool {
	return r.Pool != "" && r.Holder != "" && r.LengthMs >= 0 && r.LengthMs <= int(MaxLength.Milliseconds())
}

func (f *Table) grant(offset int, r wire.LeaseRecord) bool {
	current, held := f.grants[r.Pool]
	if held && (r.Previous != current.number || !f.expired(current)) {
		return false
	}
	f.grants[r.Pool] = Grant{
		holder:   r.Holder,
		number:   offset,
		expiryMS: f.lastMS + r.LengthMs,
	}
	return true
}

// renew extends a lease; where the grant itself was truncated from the log, the renewal stands for it.
func (f *Table) renew(r wire.LeaseRecord) bool {
	current, held := f.grants[r.Pool]
	if f.truncated && (!held || r.Previous > current.number) {
		f.grants[r.Pool] = Grant{
			holder:   r.Holder,
			number:   r.Previous,
			expiryMS: f.lastMS + r.LengthMs,
		}
		return true
	}
	if !held || !current.matches(r) || f.expired(current) {
		return false
	}
	current.expiryMS = f.lastMS + r.LengthMs
	f.grants[r.Pool] = current
	return true
}

func (f *Table) release(r wire.LeaseRecord) bool {
	current, held := f.grants[r.Pool]
	if !held || !current.matches(r) {
		return false
	}
	current.released = true
	f.grants[r.Pool] = current
	return true
}

func (g Grant) matches(r wire.LeaseRecord) bool {
	return g.holder == r.Holder && g.number == r.Previous && !g.released
}

func (f *Table) expired(grant Grant) bool {
	return grant.released || f.lastMS >= grant.expiryMS
}
