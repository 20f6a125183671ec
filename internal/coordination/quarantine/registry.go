package quarantine

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"lagoongw/internal/state/prompt"
)

const (
	// maxCauses is the number of causes of each kind about which there is evidence at the same time, maxRows the number of
	// them that are told to other nodes.
	maxCauses = 256
	maxRows   = 32
	// maxPassed is the number of causes of which it is known when a request last went well; twice as many are kept for a
	// while.
	maxPassed = 2048
	// probeWindow is the shortest time between two probes. The number of nodes that may send one doubles with each window
	// that passes without any, since requests with the cause need not come to the first ones.
	probeWindow = 4 * time.Second
	// maxProbeTime is how long all nodes wait for the end of a probe.
	maxProbeTime = probeTime / 2
)

// Registry holds the evidence about what crashes upstreams. It is not safe for concurrent use.
type Registry struct {
	causes map[Cause]*evidence
	// counts is the number of causes by kind.
	counts [kinds]int
	// passed and passedBefore hold when requests last went well; the latter is the former of the time before.
	passed, passedBefore map[Cause]time.Time
}

// Request is what may be a cause in a request.
type Request struct {
	Pool   string
	Prompt prompt.Prompt
	// Digest identifies a request that comes again; 0 means that it is not known.
	Digest uint64
}

// all returns the causes in a request: the parts of its prompt, but for the last one, which belongs to one request, and the
// request itself.
func (q Request) all() []Cause {
	causes := make([]Cause, 0, len(q.Prompt))
	for _, part := range q.Prompt[:max(len(q.Prompt)-1, 0)] {
		causes = append(causes, Cause{
			Pool: q.Pool,
			Kind: Part,
			ID:   part.ID,
		})
	}
	if q.Digest != 0 {
		causes = append(causes, Cause{
			Pool: q.Pool,
			Kind: Repeat,
			ID:   q.Digest,
		})
	}
	return causes
}

// Quarantine says why a request may not be sent now.
type Quarantine struct {
	Cause Cause
	// Crashes is the number of crashes that count, Upstreams the names of the upstreams.
	Crashes   int
	Upstreams []string
	// Until is when the next request with the cause may be sent.
	Until time.Time
}

// Crashed records that an upstream crashed at a time while requests were at work.
func (r *Registry) Crashed(upstream string, at time.Time, requests ...Request) {
	for _, q := range requests {
		for _, cause := range q.all() {
			r.recordCrash(cause, upstream, at)
		}
	}
	r.restrictAll()
}

func (r *Registry) recordCrash(key Cause, upstream string, at time.Time) {
	e := r.evidenceOf(key, at)
	passedAt, passed := r.passedAt(key)
	e.passed = e.passed || passed
	e.add(crash{
		upstream: upstream,
		at:       at,
		cleared:  passed && !passedAt.Before(at),
	})
}

// Passed records that a request has gone on for longer than one that crashes its upstream ever does.
func (r *Registry) Passed(q Request, now time.Time) {
	changed := false
	for _, key := range q.all() {
		e := r.causes[key]
		if key.Kind == Part || e != nil {
			r.remember(key, now)
		}
		if e != nil && e.clear(now) {
			changed = true
		}
	}
	if changed {
		r.restrictAll()
	}
}

// KnowsRepeats reports whether there is evidence about requests that come again, so that the digest of a request matters.
func (r *Registry) KnowsRepeats() bool { return r.counts[Repeat] > 0 }

// Merge adds the evidence of another node.
func (r *Registry) Merge(rows []Row, now time.Time) {
	changed := false
	for _, row := range rows[:min(len(rows), int(kinds)*maxRows)] {
		if row.Cause.Kind >= 0 && row.Cause.Kind < kinds && r.mergeRow(row, now) {
			changed = true
		}
	}
	if changed {
		r.restrictAll()
	}
}

func (r *Registry) mergeRow(row Row, now time.Time) (changed bool) {
	passedAt, passed := r.passedAt(row.Cause)
	e := r.causes[row.Cause]
	for _, c := range row.Crashes[:min(len(row.Crashes), maxCrashes)] {
		if c.Age < 0 || c.Age >= maxLength+probeTime {
			continue
		}
		if e == nil {
			e = r.evidenceOf(row.Cause, now)
		}
		at := now.Add(-c.Age)
		if e.add(crash{
			upstream: c.Upstream,
			at:       at,
			cleared:  c.Cleared || passed && !passedAt.Before(at),
		}) {
			changed = true
		}
	}
	if probe := row.Probe; e != nil && probe != nil && probe.Age >= 0 && probe.Age < probeTime {
		e.probe = e.probe.merge(lastProbe{
			at:    now.Add(-probe.Age),
			ended: probe.Ended,
		})
	}
	if e != nil && !e.passed && (passed || row.Passed) {
		e.passed = true
		return true
	}
	return changed
}

// Rows returns the evidence to tell other nodes, the most important of each kind first.
func (r *Registry) Rows(now time.Time) []Row {
	r.forget(now)
	rows := make([]Row, 0, len(r.causes))
	var told [kinds]int
	for _, key := range r.ranked(now) {
		if told[key.Kind]++; told[key.Kind] <= maxRows {
			rows = append(rows, r.causes[key].row(key, now))
		}
	}
	return rows
}

func (e *evidence) row(key Cause, now time.Time) Row {
	row := Row{
		Cause:   key,
		Passed:  e.passed,
		Crashes: make([]Crash, len(e.crashes)),
	}
	for i, c := range e.crashes {
		row.Crashes[i] = Crash{
			Upstream: c.upstream,
			Age:      now.Sub(c.at),
			Cleared:  c.cleared,
		}
	}
	if !e.probe.at.IsZero() {
		row.Probe = &Probe{
			Age:   now.Sub(e.probe.at),
			Ended: e.probe.ended,
		}
	}
	return row
}

// Check returns nil if a request may be sent now. Rank returns this node's rank for a key among the live nodes, 0 for the
// first.
func (r *Registry) Check(q Request, rank func(key string) int, now time.Time) *Quarantine {
	if len(r.causes) == 0 {
		return nil
	}
	var longest *Quarantine
	for _, key := range q.all() {
		e := r.causes[key]
		if e == nil || !e.quarantined(now) {
			continue
		}
		until := e.nextSend(strconv.FormatUint(key.ID, 16), rank, now)
		if until.After(now) && (longest == nil || until.After(longest.Until)) {
			longest = e.describe(key, until)
		}
	}
	return longest
}

// Suspected reports whether a cause in a request has seen a crash and is not known to have ever gone well.
func (r *Registry) Suspected(q Request) bool {
	if len(r.causes) == 0 {
		return false
	}
	return slices.ContainsFunc(q.all(), func(key Cause) bool {
		e := r.causes[key]
		return e != nil && !e.passed
	})
}

// Sent records that a request is sent that Check allowed, and reports whether it is a probe of a quarantined cause.
func (r *Registry) Sent(q Request, now time.Time) (probe bool) {
	if len(r.causes) == 0 {
		return false
	}
	for _, key := range q.all() {
		if e := r.causes[key]; e != nil && e.quarantined(now) {
			e.probe = lastProbe{at: now}
			probe = true
		}
	}
	return probe
}

// ProbeEnded records that a request that was a probe runs no more.
func (r *Registry) ProbeEnded(q Request) {
	for _, key := range q.all() {
		if e := r.causes[key]; e != nil {
			e.probe.ended = true
		}
	}
}

// nextSend returns the earliest time at which this node may send the next request with the cause.
func (e *evidence) nextSend(key string, rank func(key string) int, now time.Time) time.Time {
	from := e.restriction.until
	if now.Before(from) {
		return from
	}
	if e.probe.at.After(from.Add(-sameCrashTime)) {
		from = e.probe.at.Add(probeWindow)
		if !e.probe.ended {
			from = e.probe.at.Add(maxProbeTime)
			if now.Before(from) {
				return e.probe.at.Add((now.Sub(e.probe.at)/probeWindow + 1) * probeWindow)
			}
		}
	}
	return from.Add(time.Duration(bits.Len(uint(rank(key)))) * probeWindow)
}

// quarantined reports whether requests with the cause are restricted.
func (e *evidence) quarantined(now time.Time) bool {
	return e.restriction != (restriction{}) && now.Before(e.restriction.end())
}

// describe describes the quarantine of a cause.
func (e *evidence) describe(key Cause, until time.Time) *Quarantine {
	q := &Quarantine{
		Cause:   key,
		Crashes: e.restriction.crashes,
		Until:   until,
	}
	for _, c := range e.crashes {
		if !c.cleared {
			q.Upstreams = append(q.Upstreams, c.upstream)
		}
	}
	return q
}

// evidenceOf returns the evidence about a cause, creating it if needed.
func (r *Registry) evidenceOf(key Cause, now time.Time) *evidence {
	if e := r.causes[key]; e != nil {
		return e
	}
	if r.causes == nil {
		r.causes = map[Cause]*evidence{}
	}
	if r.counts[key.Kind] >= maxCauses {
		r.forget(now)
	}
	if r.counts[key.Kind] >= maxCauses {
		r.evict(key.Kind, now)
	}
	e := &evidence{kind: key.Kind}
	r.causes[key] = e
	r.counts[key.Kind]++
	return e
}

// drop forgets a cause.
func (r *Registry) drop(key Cause) {
	delete(r.causes, key)
	r.counts[key.Kind]--
}

// evict drops the least important evidence of a kind.
func (r *Registry) evict(kind Kind, now time.Time) {
	compare := r.byImportance(now)
	var last Cause
	found := false
	for key := range r.causes {
		if key.Kind == kind && (!found || compare(key, last) > 0) {
			last, found = key, true
		}
	}
	r.drop(last)
}

// ranked returns the causes in the order of their importance.
func (r *Registry) ranked(now time.Time) []Cause {
	return slices.SortedFunc(maps.Keys(r.causes), r.byImportance(now))
}

// byImportance returns the order of causes by their importance. Those of the same importance take turns.
func (r *Registry) byImportance(now time.Time) func(a, b Cause) int {
	turn := uint64(now.UnixNano())
	return func(a, b Cause) int {
		first, second := r.causes[a], r.causes[b]
		return cmp.Or(
			cmp.Compare(first.class(), second.class()),
			cmp.Compare(second.restriction.crashes, first.restriction.crashes),
			second.newest().Compare(first.newest()),
			cmp.Compare(mix(a.ID, turn), mix(b.ID, turn)),
			cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.Kind, b.Kind),
		)
	}
}

// mix returns a number that depends on an ID and a turn; two IDs never have the same one in a turn.
func mix(id, turn uint64) uint64 {
	const first, second, shift = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb, 31
	id = (id ^ turn) * first
	return (id ^ id>>shift) * second
}

// forget drops the evidence that has expired.
func (r *Registry) forget(now time.Time) {
	for key, e := range r.causes {
		if e.expired(now) {
			r.drop(key)
		}
	}
}

// passedAt returns when a request with a cause last went well.
func (r *Registry) passedAt(key Cause) (at time.Time, known bool) {
	if at, known = r.passed[key]; known {
		return at, true
	}
	at, known = r.passedBefore[key]
	return at, known
}

// remember records that a request with a cause went well.
func (r *Registry) remember(key Cause, now time.Time) {
	if r.passed == nil || len(r.passed) >= maxPassed {
		r.passedBefore, r.passed = r.passed, map[Cause]time.Time{}
	}
	r.passed[key] = now
}
