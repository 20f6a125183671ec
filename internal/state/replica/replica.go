package replica

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
)

// Kinds of machines in the platform's list.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"
)

// StateLeaving is the state of a machine that the platform is taking away.
const StateLeaving = "leaving"

const (
	smoothing    = 0.2
	reportWeight = 0.1
)

// Replica is one upstream; its counters are safe for concurrent use.
type Replica struct {
	machine  wire.Machine
	hash     uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	failures atomic.Int64
	latency  atomic.Uint64
	load     atomic.Pointer[Load]
	prefixes atomic.Pointer[CachedPrefixes]
}

// Load is what an upstream last reported of itself, with what was learned from earlier reports.
type Load struct {
	running  int
	queued   int
	slots    int
	others   float64
	models   []string
	received time.Time
}

// Total returns the reported requests, running and queued.
func (l *Load) Total() int { return l.running + l.queued }

// Received returns when the report came in.
func (l *Load) Received() time.Time { return l.received }

// PeerRequests returns the requests of other nodes, smoothed over several reports: a single one is already old when it comes,
// and nodes that all follow it crowd the same upstream.
func (l *Load) PeerRequests() float64 { return l.others }

// New returns a replica for a row of the platform's list.
func New(machine wire.Machine) *Replica {
	return &Replica{
		machine: machine,
		hash:    rendezvous.Hash(machine.Name),
	}
}

// Hash returns the hash of the machine's name, for rendezvous.
func (r *Replica) Hash() uint64 { return r.hash }

// Name returns the machine's name.
func (r *Replica) Name() string { return r.machine.Name }

// Kind returns the kind of the upstream.
func (r *Replica) Kind() string { return r.machine.Kind }

// Boot tells this start of the upstream from others under the same name, 0 where it is not known.
func (r *Replica) Boot() int { return r.machine.Boot }

// Pool returns the pool that the upstream belongs to.
func (r *Replica) Pool() string { return r.machine.Pool }

// Address returns the upstream's host and port.
func (r *Replica) Address() string { return r.machine.Address }

// AvailabilityZone returns the upstream's availability zone.
func (r *Replica) AvailabilityZone() string { return r.machine.AvailabilityZone }

// Region returns the upstream's region.
func (r *Replica) Region() string { return r.machine.Region }

// Slots returns how many requests the upstream runs at once.
func (r *Replica) Slots() int {
	if load := r.load.Load(); load != nil && load.slots > 0 {
		return load.slots
	}
	return max(r.machine.Slots, 1)
}

// Models returns the models that the upstream has loaded; the caller must not change the slice.
func (r *Replica) Models() []string {
	if load := r.load.Load(); load != nil && load.models != nil {
		return load.models
	}
	return r.machine.Models
}

// Serves reports whether the upstream has the model loaded; a plain service serves any.
func (r *Replica) Serves(model string) bool {
	return model == "" || slices.Contains(r.Models(), model)
}

// InFlight returns this node's requests at the upstream.
func (r *Replica) InFlight() int { return int(r.inFlight.Load()) }

// Begin counts a request of this node in.
func (r *Replica) Begin() { r.inFlight.Add(1) }

// End counts a request of this node out.
func (r *Replica) End() { r.inFlight.Add(-1) }

// Leaving reports whether any sign said that the upstream leaves.
func (r *Replica) Leaving() bool { return r.leaving.Load() }

// MarkLeaving notes a sign that the upstream leaves; it is final for the machine.
func (r *Replica) MarkLeaving() (first bool) { return r.leaving.CompareAndSwap(false, true) }

// ApplyLoadReport takes in a load report.
func (r *Replica) ApplyLoadReport(report wire.LoadReport, now time.Time) {
	others := float64(max(report.Running+report.Queued-r.InFlight(), 0))
	if before := r.load.Load(); before != nil {
		others = before.others + reportWeight*(others-before.others)
	}
	r.load.Store(&Load{
		others:   others,
		running:  report.Running,
		queued:   report.Queued,
		slots:    report.Slots,
		models:   report.Models,
		received: now,
	})
}

// Load returns the last report, nil before the first one.
func (r *Replica) Load() *Load { return r.load.Load() }

// RecordLatency takes in the latency of a request to its first byte.
func (r *Replica) RecordLatency(latency time.Duration) {
	for {
		before := r.latency.Load()
		next := latency.Seconds()
		if before != 0 {
			next = math.Float64frombits(before)*(1-smoothing) + next*smoothing
		}
		if r.latency.CompareAndSwap(before, math.Float64bits(next)) {
			return
		}
	}
}

// Latency returns the smoothed latency to the first byte, zero before the first observation.
func (r *Replica) Latency() time.Duration {
	seconds := math.Float64frombits(r.latency.Load())
	return time.Duration(seconds * float64(time.Second))
}

// RecordFailure counts a failed request; Succeeded clears the count.
func (r *Replica) RecordFailure() { r.failures.Add(1) }

// RecordSuccess clears the count of failures in a row.
func (r *Replica) RecordSuccess() { r.failures.Store(0) }

// ConsecutiveFailures returns the failures in a row.
func (r *Replica) ConsecutiveFailures() int { return int(r.failures.Load()) }
