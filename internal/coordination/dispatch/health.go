package dispatch

import (
	"math"
	"time"

	"lagoongw/internal/state/replica"
)

const (
	// connectBackoffMin is the first backoff from an upstream that can't be connected to; it doubles up to
	// connectBackoffMax.
	connectBackoffMin = 500 * time.Millisecond
	connectBackoffMax = 4 * time.Second
	// refusalThreshold is the number of consecutive refusals that start a backoff of refusalBackoffMin, doubling up
	// to refusalBackoffMax. The backoff is short because an upstream that lacks capacity may have it again soon.
	refusalThreshold  = 2
	refusalBackoffMin = 250 * time.Millisecond
	refusalBackoffMax = 2 * time.Second
	// probeTime is how long the request that probes an upstream after a backoff keeps other requests from it: a
	// little more than a connect may take.
	probeTime = 350 * time.Millisecond
	// ownSuccessLifetime is how long a success of this node takes precedence over peers' reports that the upstream is
	// down.
	ownSuccessLifetime = time.Second
	// peerDownQuorum is the number of peers that have to report an upstream as down. A single peer may be the only
	// one that is cut off from it.
	peerDownQuorum = 2
	// failureWeight is the weight of the newest result in the failure share, the moving average of the results.
	failureWeight = 0.25
	// failureHalfLife is the half-life of the failure share and of the slowness.
	failureHalfLife = 3 * time.Second
	// failureCost is the cost of a failure share of 1, expressed as time: that of another send and of the wait for its
	// response.
	failureCost = 2 * time.Second
	// refusalSeverity is the weight of a refusal relative to a failure, since nothing ran and nothing was lost.
	refusalSeverity = 0.5
	// slownessWeight is the weight of the newest ratio of actual to predicted time in the slowness, and maxSlowness the
	// largest ratio that is counted.
	slownessWeight = 0.35
	maxSlowness    = 8.0
	// maxPauseOnRequest is the longest time for which an upstream is left alone because it asked for it.
	maxPauseOnRequest = 30 * time.Second
)

// health tracks the failures, refusals and slowness of one upstream. Older observations count less.
type health struct {
	backoffUntil time.Time
	backoff      time.Duration
	// fromHere reports that the backoff began since this node could not connect, while no other node has confirmed it.
	fromHere            bool
	consecutiveRefusals int
	lastSuccess         time.Time
	failureShare        float64
	failureShareAt      time.Time
	slownessRatio       float64
	slownessAt          time.Time
	// pausedUntil is the end of the time in which the upstream asked to be sent nothing.
	pausedUntil time.Time
	// saidLeaving reports that the upstream said in an answer, to this node or a peer, that it is leaving.
	saidLeaving bool
}

// paused reports whether the upstream asked to be sent nothing at this time.
func (h *health) paused(now time.Time) bool { return now.Before(h.pausedUntil) }

// backedOff reports whether the upstream is in backoff by this node's own observations.
func (h *health) backedOff(now time.Time) bool {
	return !h.backoffUntil.IsZero() && now.Before(h.backoffUntil)
}

// decayedFailureShare returns the failure share, decayed by its age.
func (h *health) decayedFailureShare(now time.Time) float64 {
	if h.failureShare == 0 {
		return 0
	}
	age := max(now.Sub(h.failureShareAt), 0)
	return h.failureShare * math.Exp2(-age.Seconds()/failureHalfLife.Seconds())
}

// failurePenalty returns the expected cost of a failure, expressed as time.
func (h *health) failurePenalty(now time.Time) time.Duration {
	return time.Duration(h.decayedFailureShare(now) * float64(failureCost))
}

// recordResult updates the failure share with the severity of a result, from 0 for a success to 1 for a failure. A
// success ends the backoff.
func (h *health) recordResult(severity float64, now time.Time) {
	before := h.decayedFailureShare(now)
	h.failureShare = before + failureWeight*(severity-before)
	h.failureShareAt = now
	if severity == 0 {
		h.backoff = 0
		h.backoffUntil = time.Time{}
		h.consecutiveRefusals = 0
		h.lastSuccess = now
	}
}

func (h *health) recordUnreachable(fromHere bool, now time.Time) {
	h.startBackoff(connectBackoffMin, connectBackoffMax, now)
	h.fromHere = fromHere
}

// startBackoff begins a backoff twice as long as the previous one, within the bounds. A success resets the duration.
func (h *health) startBackoff(shortest, longest time.Duration, now time.Time) {
	h.backoff = min(max(2*h.backoff, shortest), longest)
	h.backoffUntil = now.Add(h.backoff)
	h.fromHere = false
}

// recordRefusal counts a refusal, which raises a low failure share but never lowers a high one.
func (h *health) recordRefusal(now time.Time) {
	h.recordResult(max(refusalSeverity, h.decayedFailureShare(now)), now)
	h.consecutiveRefusals++
	if h.consecutiveRefusals >= refusalThreshold {
		h.startBackoff(refusalBackoffMin, refusalBackoffMax, now)
	}
}

// recordSend records that a request is sent. The first request after a backoff is a probe, which keeps the others
// away for probeTime.
func (h *health) recordSend(now time.Time) {
	if h.backoff > 0 && !h.backedOff(now) {
		h.backoffUntil = now.Add(probeTime)
	}
}

// backedOff reports whether the upstream is in backoff, by this node's own observations or by its peers' reports.
func (s *upstreamState) backedOff(now time.Time) bool {
	if s.health.backedOff(now) {
		return true
	}
	return s.peerLoad.Down >= peerDownQuorum && now.Sub(s.health.lastSuccess) >= ownSuccessLifetime
}

// recordFirstEvent updates the slowness with the ratio of the time to the first event to its prediction.
func (h *health) recordFirstEvent(took, predicted time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	ratio := min(max(took.Seconds()/predicted.Seconds(), 1/maxSlowness), maxSlowness)
	before := h.slowness(now)
	h.slownessRatio = before + slownessWeight*(ratio-before)
	h.slownessAt = now
}

// slowness returns the ratio of actual to predicted times, at least 1. It decays to 1 with age.
func (h *health) slowness(now time.Time) float64 {
	if h.slownessRatio == 0 {
		return 1
	}
	decay := math.Exp2(-now.Sub(h.slownessAt).Seconds() / failureHalfLife.Seconds())
	return max(1+(h.slownessRatio-1)*decay, 1)
}

// Unreachable records that no connection to an upstream could be opened.
func (d *Dispatcher) Unreachable(r *replica.Replica, now time.Time) {
	d.updateHealth(r, func(h *health) { h.recordUnreachable(false, now) })
}

// UnreachableFromHere records that no connection to an upstream could be opened by this node, whose path may be at fault. The
// other nodes are not told that the upstream is down.
func (d *Dispatcher) UnreachableFromHere(r *replica.Replica, now time.Time) {
	d.updateHealth(r, func(h *health) { h.recordUnreachable(true, now) })
}

// ReachedElsewhere records whether another node reaches the upstream at an address, to which this one could not connect. If it
// does, the upstream is not at fault and may be used through that node.
func (d *Dispatcher) ReachedElsewhere(address string, reached bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for r, s := range d.states {
		if r.Address() != address || !s.health.fromHere {
			continue
		}
		s.health.fromHere = false
		if reached {
			s.health.backoff = 0
			s.health.backoffUntil = time.Time{}
		}
	}
}

// OpenAddresses returns the addresses of the listed upstreams that are not leaving and did not ask this node to send nothing for
// a while.
func (d *Dispatcher) OpenAddresses(now time.Time) (addresses []string) {
	snapshot := d.Table.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range snapshot.PoolNames() {
		for _, r := range snapshot.PoolReplicas(pool) {
			if s := d.states[r]; !r.Leaving() && (s == nil || !s.health.paused(now)) {
				addresses = append(addresses, r.Address())
			}
		}
	}
	return addresses
}

// Failed records a server error of an upstream, or a lost or damaged response.
func (d *Dispatcher) Failed(r *replica.Replica, now time.Time) {
	d.updateHealth(r, func(h *health) { h.recordResult(1, now) })
}

// Refused records that an upstream did not accept a request.
func (d *Dispatcher) Refused(r *replica.Replica, now time.Time) {
	d.updateHealth(r, func(h *health) { h.recordRefusal(now) })
}

// Pause records that an upstream asked to be sent nothing for a while. Unlike a backoff it is never broken, not even if
// the pool has no other upstream.
func (d *Dispatcher) Pause(r *replica.Replica, length time.Duration, now time.Time) {
	until := now.Add(min(length, maxPauseOnRequest))
	d.updateHealth(r, func(h *health) {
		if until.After(h.pausedUntil) {
			h.pausedUntil = until
		}
	})
}

// SaidLeaving records that an upstream said that it is leaving, and reports whether this was not known yet. The other
// nodes learn it from the next digest.
func (d *Dispatcher) SaidLeaving(r *replica.Replica) (first bool) {
	first = r.MarkLeaving()
	d.updateHealth(r, func(h *health) { h.saidLeaving = true })
	return first
}

// Succeeded records a complete response; took is the response time of a plain service, or zero for a stream.
func (d *Dispatcher) Succeeded(r *replica.Replica, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	upstream := d.state(r)
	upstream.health.recordResult(0, now)
	if took > 0 {
		upstream.forecast.observeLatency(took)
	}
}

func (d *Dispatcher) updateHealth(r *replica.Replica, update func(h *health)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update(&d.state(r).health)
}
