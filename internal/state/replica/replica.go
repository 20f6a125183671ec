package replica

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
)

// Kinds of machines in the platform's list of VMs.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"
)

// StateLeaving is the state of a machine that is being removed from service.
const StateLeaving = "leaving"

// Weights of the newest sample in the exponential moving averages of latency and of peer requests.
const (
	latencySmoothing      = 0.2
	peerRequestsSmoothing = 0.1
)

// Replica is an upstream. Its counters are safe for concurrent use.
type Replica struct {
	machine  wire.Machine
	hash     uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	// slots is the number of slots in the newest row of the machine.
	slots atomic.Int64
	// notice is the notice in milliseconds in the newest row of the machine.
	notice   atomic.Int64
	failures atomic.Int64
	// latency holds the bits of a float64, in seconds.
	latency        atomic.Uint64
	load           atomic.Pointer[Load]
	cachedPrefixes atomic.Pointer[CachedPrefixes]
}

// Load is the latest load report of an upstream, with an average over earlier reports.
type Load struct {
	running      int
	queued       int
	slots        int
	peerRequests float64
	models       []string
	received     time.Time
}

// Total returns the number of reported requests, running and queued.
func (l *Load) Total() int { return l.running + l.queued }

// Received returns the time at which the report was received.
func (l *Load) Received() time.Time { return l.received }

// PeerRequests returns the moving average of the number of requests from other nodes. A single report is outdated on
// arrival, and nodes that all followed it would overload the same upstream.
func (l *Load) PeerRequests() float64 { return l.peerRequests }

// New returns a replica for a machine in the platform's list of VMs.
func New(machine wire.Machine) *Replica {
	r := &Replica{
		machine: machine,
		hash:    rendezvous.Hash(machine.Name),
	}
	r.slots.Store(int64(machine.Slots))
	return r
}

// sameUpstream reports whether a row of a machine with the same name is about this run of this upstream.
func (r *Replica) sameUpstream(machine wire.Machine) bool {
	return r.machine.Address == machine.Address && r.machine.Boot == machine.Boot &&
		r.machine.Kind == machine.Kind && r.machine.Pool == machine.Pool && r.machine.Version == machine.Version &&
		r.machine.AvailabilityZone == machine.AvailabilityZone && r.machine.Region == machine.Region &&
		r.machine.Spot == machine.Spot
}

// Hash returns the hash of the machine's name for rendezvous hashing.
func (r *Replica) Hash() uint64 { return r.hash }

// Name returns the machine's name.
func (r *Replica) Name() string { return r.machine.Name }

// Kind returns the kind of the upstream.
func (r *Replica) Kind() string { return r.machine.Kind }

// Boot identifies the current run of the upstream among those under the same name; it is 0 if unknown.
func (r *Replica) Boot() int { return r.machine.Boot }

// Spot reports whether the platform may reclaim the upstream.
func (r *Replica) Spot() bool { return r.machine.Spot }

// Notice returns the time to leave that the upstream was given when it was told to, zero if unknown.
func (r *Replica) Notice() time.Duration { return time.Duration(r.notice.Load()) * time.Millisecond }

// Version returns the version of the upstream's software, empty if unknown.
func (r *Replica) Version() string { return r.machine.Version }

// Pool returns the pool that the upstream belongs to.
func (r *Replica) Pool() string { return r.machine.Pool }

// Address returns the upstream's host and port.
func (r *Replica) Address() string { return r.machine.Address }

// AvailabilityZone returns the upstream's availability zone.
func (r *Replica) AvailabilityZone() string { return r.machine.AvailabilityZone }

// Region returns the upstream's region.
func (r *Replica) Region() string { return r.machine.Region }

// Slots returns the number of requests that the upstream runs concurrently, at least 1.
func (r *Replica) Slots() int {
	if load := r.load.Load(); load != nil && load.slots > 0 {
		return load.slots
	}
	return max(int(r.slots.Load()), 1)
}

// Models returns the models that the upstream has loaded. The caller must not modify the slice.
func (r *Replica) Models() []string {
	if load := r.load.Load(); load != nil && load.models != nil {
		return load.models
	}
	return r.machine.Models
}

// Serves reports whether the upstream has the model loaded. An empty model matches every upstream.
func (r *Replica) Serves(model string) bool {
	return model == "" || slices.Contains(r.Models(), model)
}

// InFlight returns the number of this node's requests at the upstream.
func (r *Replica) InFlight() int { return int(r.inFlight.Load()) }

// Begin increments the number of this node's requests at the upstream.
func (r *Replica) Begin() { r.inFlight.Add(1) }

// End decrements the number of this node's requests at the upstream.
func (r *Replica) End() { r.inFlight.Add(-1) }

// Leaving reports whether the upstream is known to be leaving.
func (r *Replica) Leaving() bool { return r.leaving.Load() }

// MarkLeaving marks the upstream as leaving for good, and reports whether this call was the first to do so.
func (r *Replica) MarkLeaving() (first bool) { return r.leaving.CompareAndSwap(false, true) }

// ApplyLoadReport replaces the load with that of a report that was received now, and updates the average of peer
// requests.
func (r *Replica) ApplyLoadReport(report wire.LoadReport, now time.Time) {
	peerRequests := float64(max(report.Running+report.Queued-r.InFlight(), 0))
	if before := r.load.Load(); before != nil {
		peerRequests = before.peerRequests + peerRequestsSmoothing*(peerRequests-before.peerRequests)
	}
	r.load.Store(&Load{
		peerRequests: peerRequests,
		running:      report.Running,
		queued:       report.Queued,
		slots:        report.Slots,
		models:       report.Models,
		received:     now,
	})
}

// Load returns the latest load, or nil before the first report.
func (r *Replica) Load() *Load { return r.load.Load() }

// RecordLatency adds the time until the first byte of a response to the average.
func (r *Replica) RecordLatency(latency time.Duration) {
	for {
		before := r.latency.Load()
		next := latency.Seconds()
		if before != 0 {
			next = math.Float64frombits(before)*(1-latencySmoothing) + next*latencySmoothing
		}
		if r.latency.CompareAndSwap(before, math.Float64bits(next)) {
			return
		}
	}
}

// Latency returns the moving average of the time to the first byte, zero before the first sample.
func (r *Replica) Latency() time.Duration {
	seconds := math.Float64frombits(r.latency.Load())
	return time.Duration(seconds * float64(time.Second))
}

// RecordFailure increments the number of consecutive failures.
func (r *Replica) RecordFailure() { r.failures.Add(1) }

// RecordSuccess resets the number of consecutive failures.
func (r *Replica) RecordSuccess() { r.failures.Store(0) }

// ConsecutiveFailures returns the number of failures since the last success.
func (r *Replica) ConsecutiveFailures() int { return int(r.failures.Load()) }
