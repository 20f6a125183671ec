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
	// maxParts is the number of parts about which there is evidence at the same time, maxRows the number of them that
	// are told to other nodes.
	maxParts = 256
	maxRows  = 32
	// maxPassed is the number of parts of which it is known when an answer last went well; twice as many are kept for a
	// while.
	maxPassed = 2048
	// probeWindow is the shortest time between two probes. The number of nodes that may send one doubles with each window
	// that passes without any, since requests with the part need not come to the first ones.
	probeWindow = 4 * time.Second
	// maxProbeTime is how long all nodes wait for the end of a probe.
	maxProbeTime = probeTime / 2
)

// Registry holds the evidence about the parts of prompts. It is not safe for concurrent use.
type Registry struct {
	parts map[Part]*evidence
	// passed and passedBefore hold when answers last went well; the latter is the former of the time before.
	passed, passedBefore map[Part]time.Time
}

// Quarantine says why a request may not be sent now.
type Quarantine struct {
	Part Part
	// Crashes is the number of crashes that count, Upstreams the names of the upstreams.
	Crashes   int
	Upstreams []string
	// Until is when the next request with the part may be sent.
	Until time.Time
}

// Crashed records that an upstream crashed at a time just after it had begun to answer prompts.
func (r *Registry) Crashed(pool, upstream string, at time.Time, prompts ...prompt.Prompt) {
	for _, p := range prompts {
		for _, part := range shared(p) {
			r.recordCrash(Part{
				Pool: pool,
				ID:   part.ID,
			}, upstream, at)
		}
	}
	r.restrictAll()
}

func (r *Registry) recordCrash(key Part, upstream string, at time.Time) {
	e := r.evidenceOf(key, at)
	passedAt, passed := r.passedAt(key)
	e.passed = e.passed || passed
	e.add(crash{
		upstream: upstream,
		at:       at,
		cleared:  passed && !passedAt.Before(at),
	})
}

// Passed records that the answer to a prompt has gone on for longer than one that crashes its upstream ever does.
func (r *Registry) Passed(pool string, p prompt.Prompt, now time.Time) {
	changed := false
	for _, part := range shared(p) {
		key := Part{
			Pool: pool,
			ID:   part.ID,
		}
		r.remember(key, now)
		if e := r.parts[key]; e != nil && e.clear(now) {
			changed = true
		}
	}
	if changed {
		r.restrictAll()
	}
}

// Merge adds the evidence of another node.
func (r *Registry) Merge(rows []Row, now time.Time) {
	changed := false
	for _, row := range rows[:min(len(rows), maxRows)] {
		if r.mergeRow(row, now) {
			changed = true
		}
	}
	if changed {
		r.restrictAll()
	}
}

func (r *Registry) mergeRow(row Row, now time.Time) (changed bool) {
	passedAt, passed := r.passedAt(row.Part)
	e := r.parts[row.Part]
	for _, c := range row.Crashes[:min(len(row.Crashes), maxCrashes)] {
		if c.Age < 0 || c.Age >= maxLength+probeTime {
			continue
		}
		if e == nil {
			e = r.evidenceOf(row.Part, now)
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

// Rows returns the evidence to tell other nodes, the most important first.
func (r *Registry) Rows(now time.Time) []Row {
	r.forget(now)
	rows := make([]Row, 0, min(len(r.parts), maxRows))
	for _, key := range r.ranked(now)[:cap(rows)] {
		e := r.parts[key]
		row := Row{
			Part:    key,
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
		rows = append(rows, row)
	}
	return rows
}

// Check returns nil if a request may be sent now. Rank returns this node's rank for a key among the live nodes, 0 for the
// first.
func (r *Registry) Check(pool string, p prompt.Prompt, rank func(key string) int, now time.Time) *Quarantine {
	if len(r.parts) == 0 {
		return nil
	}
	var longest *Quarantine
	for _, part := range shared(p) {
		key := Part{
			Pool: pool,
			ID:   part.ID,
		}
		e := r.parts[key]
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

// Suspected reports whether a shared part of a prompt has seen a crash and is not known to have ever gone well.
func (r *Registry) Suspected(pool string, p prompt.Prompt) bool {
	return slices.ContainsFunc(shared(p), func(part prompt.Part) bool {
		e := r.parts[Part{
			Pool: pool,
			ID:   part.ID,
		}]
		return e != nil && !e.passed
	})
}

// Sent records that a request is sent that Check allowed, and reports whether it is a probe of a quarantined part.
func (r *Registry) Sent(pool string, p prompt.Prompt, now time.Time) (probe bool) {
	if len(r.parts) == 0 {
		return false
	}
	for _, part := range shared(p) {
		e := r.parts[Part{
			Pool: pool,
			ID:   part.ID,
		}]
		if e != nil && e.quarantined(now) {
			e.probe = lastProbe{at: now}
			probe = true
		}
	}
	return probe
}

// ProbeEnded records that a request that was a probe runs no more.
func (r *Registry) ProbeEnded(pool string, p prompt.Prompt) {
	for _, part := range shared(p) {
		if e := r.parts[Part{
			Pool: pool,
			ID:   part.ID,
		}]; e != nil {
			e.probe.ended = true
		}
	}
}

// nextSend returns the earliest time at which this node may send the next request with the part.
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

// quarantined reports whether requests with the part are restricted.
func (e *evidence) quarantined(now time.Time) bool {
	return e.restriction != (restriction{}) && now.Before(e.restriction.end())
}

// describe describes the quarantine of a part.
func (e *evidence) describe(key Part, until time.Time) *Quarantine {
	q := &Quarantine{
		Part:    key,
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

// shared returns the parts of a prompt that requests may share; the last one belongs to one request.
func shared(p prompt.Prompt) prompt.Prompt { return p[:max(len(p)-1, 0)] }

// evidenceOf returns the evidence about a part, creating it if needed.
func (r *Registry) evidenceOf(key Part, now time.Time) *evidence {
	if e := r.parts[key]; e != nil {
		return e
	}
	if r.parts == nil {
		r.parts = map[Part]*evidence{}
	}
	if len(r.parts) >= maxParts {
		r.forget(now)
	}
	if len(r.parts) >= maxParts {
		r.evict(now)
	}
	e := &evidence{}
	r.parts[key] = e
	return e
}

// evict drops the least important evidence.
func (r *Registry) evict(now time.Time) {
	compare := r.byImportance(now)
	var last Part
	found := false
	for key := range r.parts {
		if !found || compare(key, last) > 0 {
			last, found = key, true
		}
	}
	delete(r.parts, last)
}

// ranked returns the parts in the order of their importance.
func (r *Registry) ranked(now time.Time) []Part {
	return slices.SortedFunc(maps.Keys(r.parts), r.byImportance(now))
}

// byImportance returns the order of parts by their importance. Parts of the same importance take turns.
func (r *Registry) byImportance(now time.Time) func(a, b Part) int {
	turn := uint64(now.UnixNano())
	return func(a, b Part) int {
		first, second := r.parts[a], r.parts[b]
		return cmp.Or(
			cmp.Compare(first.class(), second.class()),
			cmp.Compare(second.restriction.crashes, first.restriction.crashes),
			second.newest().Compare(first.newest()),
			cmp.Compare(mix(a.ID, turn), mix(b.ID, turn)),
			cmp.Compare(a.Pool, b.Pool),
		)
	}
}

// mix returns a number that depends on a part and a turn; two parts never have the same one in a turn.
func mix(id, turn uint64) uint64 {
	const first, second, shift = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb, 31
	id = (id ^ turn) * first
	return (id ^ id>>shift) * second
}

// forget drops the evidence that has expired.
func (r *Registry) forget(now time.Time) {
	for key, e := range r.parts {
		if e.expired(now) {
			delete(r.parts, key)
		}
	}
}

// passedAt returns when an answer to a prompt with a part last went well.
func (r *Registry) passedAt(key Part) (at time.Time, known bool) {
	if at, known = r.passed[key]; known {
		return at, true
	}
	at, known = r.passedBefore[key]
	return at, known
}

// remember records that an answer to a prompt with a part went well.
func (r *Registry) remember(key Part, now time.Time) {
	if r.passed == nil || len(r.passed) >= maxPassed {
		r.passedBefore, r.passed = r.passed, map[Part]time.Time{}
	}
	r.passed[key] = now
}
