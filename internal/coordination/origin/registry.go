package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// lifetime is how long after its first event a stream can be taken up: longer than callers wait for the end of one.
	lifetime = 2 * time.Minute
	// maxStreams limits the streams of a Registry; beyond it those that began first are forgotten.
	maxStreams = 1 << 14
	// DefaultWindow is how far back the versions of a pool are known that no resumable route leads to.
	DefaultWindow = lifetime
)

// Origin is where a stream began.
type Origin struct {
	// Pool is the pool of the upstream that brought the first event, and Version the version of its software, empty if
	// unknown.
	Pool    string
	Version string
}

// ID identifies a stream: the digest of the ID of the request that brought its first event.
type ID [16]byte

// NewID returns the ID of the stream that a request began.
func NewID(requestID string) ID {
	sum := sha256.Sum256([]byte(requestID))
	return ID(sum[:len(ID{})])
}

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID parses an ID in hexadecimal.
func ParseID(text string) (id ID, valid bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(id) {
		return id, false
	}
	return ID(data), true
}

// Report is what nodes tell each other of a stream.
type Report struct {
	Stream ID
	Origin Origin
	// Age is the time since the first event.
	Age time.Duration
}

// Answer is what a node knows of a stream.
type Answer struct {
	// Known reports whether the node knows the origin of the stream.
	Known bool
	// Ambiguous reports that the node was told several origins, so that none can be relied on.
	Ambiguous bool
	Origin    Origin
}

// Registry holds the origins of streams, for a limited time and number. It is not safe for concurrent use.
type Registry struct {
	entries map[ID]entry
	// order holds the streams in the order in which they were recorded; those from first on are still in entries.
	order []ID
	first int
}

type entry struct {
	origin    Origin
	ambiguous bool
	// expires is when the entry is forgotten.
	expires time.Time
}

// Len returns the number of streams.
func (r *Registry) Len() int { return len(r.entries) }

// Record records the origin of a stream. If another one is known already, the stream becomes ambiguous.
func (r *Registry) Record(report Report, now time.Time) {
	r.forget(now)
	expires := now.Add(lifetime - max(report.Age, 0))
	if !expires.After(now) {
		return
	}
	known, found := r.entries[report.Stream]
	if found {
		known.ambiguous = known.ambiguous || known.origin != report.Origin
		r.entries[report.Stream] = known
		return
	}
	if r.entries == nil {
		r.entries = map[ID]entry{}
	}
	r.entries[report.Stream] = entry{
		origin:  report.Origin,
		expires: expires,
	}
	r.order = append(r.order, report.Stream)
}

// Find returns what is known of a stream.
func (r *Registry) Find(stream ID, now time.Time) Answer {
	e, found := r.entries[stream]
	if !found || !now.Before(e.expires) {
		return Answer{}
	}
	return Answer{
		Known:     !e.ambiguous,
		Ambiguous: e.ambiguous,
		Origin:    e.origin,
	}
}

// Recent returns the streams of a pool that began within a time and whose origins are known.
func (r *Registry) Recent(pool string, within time.Duration, now time.Time) (reports []Report) {
	for id, e := range r.entries {
		age := lifetime - e.expires.Sub(now)
		if e.origin.Pool == pool && !e.ambiguous && age < within {
			reports = append(reports, Report{
				Stream: id,
				Origin: e.origin,
				Age:    age,
			})
		}
	}
	return reports
}

// forget removes the streams that have expired, and the oldest if there are too many.
func (r *Registry) forget(now time.Time) {
	for r.first < len(r.order) {
		oldest := r.order[r.first]
		if now.Before(r.entries[oldest].expires) && len(r.entries) < maxStreams {
			break
		}
		delete(r.entries, oldest)
		r.first++
	}
	if r.first > len(r.order)/2 {
		r.order = append([]ID(nil), r.order[r.first:]...)
		r.first = 0
	}
}
