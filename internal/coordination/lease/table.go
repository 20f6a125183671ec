package lease

import (
	"time"

	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
)

// Stream is the name of the log stream that carries the leases.
const Stream = "leases"

// MaxLength is the maximum length of a lease.
const MaxLength = time.Minute

// Grant is the most recent lease granted on a pool; it may have expired or been released.
type Grant struct {
	holder        string
	fencingNumber int
	expiryMS      int
	released      bool
}

// Holder returns the incarnation of the node that holds the lease.
func (g Grant) Holder() string { return g.holder }

// FencingNumber returns the fencing number, which is the log offset of the grant record.
func (g Grant) FencingNumber() int { return g.fencingNumber }

// Table holds the most recent lease of each pool; it is not safe for concurrent use.
//
// It depends only on the records of the leases stream, so all nodes that read the stream agree.
type Table struct {
	// Sealer authenticates and decodes the records.
	Sealer record.Sealer

	// grants holds the most recent lease by pool.
	grants map[string]Grant
	// next is the offset of the next record to read.
	next int
	// lastMS is the latest timestamp of the log, in milliseconds.
	lastMS int
	// logTruncated is set if the log no longer held its first record at the last Restart.
	logTruncated bool
}

// NewTable returns an empty table.
func NewTable(sealer record.Sealer) *Table {
	return &Table{
		Sealer: sealer,
		grants: map[string]Grant{},
	}
}

// Grant returns the most recent lease granted on a pool, and whether there is one.
func (t *Table) Grant(pool string) (Grant, bool) {
	grant, ok := t.grants[pool]
	return grant, ok
}

// Restart empties the table; the next record to read is at oldest, the oldest offset that the log retains.
func (t *Table) Restart(oldest int) {
	t.grants = map[string]Grant{}
	t.next = oldest
	t.logTruncated = oldest > 0
}

// Apply applies one record and reports whether it took effect. Expiry is based on the log's timestamps, so that all
// nodes agree.
func (t *Table) Apply(entry wire.LogRecord) (r wire.LeaseRecord, applied bool) {
	if entry.Offset < t.next {
		return r, false
	}
	t.next = entry.Offset + 1
	t.lastMS = max(t.lastMS, entry.TimeMs)
	if t.Sealer.Open(Stream, entry.Data, &r) != nil || !valid(r) {
		return r, false
	}
	switch r.Type {
	case wire.LeaseRecordTypeGrant:
		return r, t.applyGrant(entry.Offset, r)
	case wire.LeaseRecordTypeRenew:
		return r, t.applyRenew(r)
	case wire.LeaseRecordTypeRelease:
		return r, t.applyRelease(r)
	}
	return r, false
}

// valid reports whether the fields of a record are set and in range.
func valid(r wire.LeaseRecord) bool {
	return r.Pool != "" && r.Holder != "" && r.LengthMs >= 0 && r.LengthMs <= int(MaxLength.Milliseconds())
}

// applyGrant grants a lease if the pool has had none, or if the record names the current one and that is over.
func (t *Table) applyGrant(offset int, r wire.LeaseRecord) bool {
	current, granted := t.grants[r.Pool]
	if granted && (r.Previous != current.fencingNumber || !t.expired(current)) {
		return false
	}
	t.grants[r.Pool] = Grant{
		holder:        r.Holder,
		fencingNumber: offset,
		expiryMS:      t.lastMS + r.LengthMs,
	}
	return true
}

// applyRenew extends a lease. If the grant itself was truncated from the log, the renewal replaces it.
func (t *Table) applyRenew(r wire.LeaseRecord) bool {
	current, granted := t.grants[r.Pool]
	if t.logTruncated && (!granted || r.Previous > current.fencingNumber) {
		t.grants[r.Pool] = Grant{
			holder:        r.Holder,
			fencingNumber: r.Previous,
			expiryMS:      t.lastMS + r.LengthMs,
		}
		return true
	}
	if !granted || !current.matches(r) || t.expired(current) {
		return false
	}
	current.expiryMS = t.lastMS + r.LengthMs
	t.grants[r.Pool] = current
	return true
}

// applyRelease ends a lease before its expiry.
func (t *Table) applyRelease(r wire.LeaseRecord) bool {
	current, granted := t.grants[r.Pool]
	if !granted || !current.matches(r) {
		return false
	}
	current.released = true
	t.grants[r.Pool] = current
	return true
}

// matches reports whether a record comes from the holder of this lease, which has not been released.
func (g Grant) matches(r wire.LeaseRecord) bool {
	return g.holder == r.Holder && g.fencingNumber == r.Previous && !g.released
}

// expired reports whether a lease was released or has expired by the log's timestamps.
func (t *Table) expired(grant Grant) bool {
	return grant.released || t.lastMS >= grant.expiryMS
}
