package admission

import "time"

const (
	floorStepInterval = time.Second
	peerFloorTTL      = 15 * time.Second
	// tierUseTTL is how long a tier counts as in use after a request or a peer's floor; it exceeds the longest Retry-After,
	// so that a tier whose requests are refused still counts.
	tierUseTTL = 2 * maxRetryAfter
)

type peerFloor struct {
	effective int
	local     int
	updatedAt time.Time
}

// Floor is the lowest tier that a pool admits; nodes agree on it by exchanging their local floors. A floor is lower,
// and less strict, if its number is larger.
type Floor struct {
	local int
	// seenAt holds when each tier was last that of a request or a peer's floor. Peers' floors that admit every tier do not
	// count.
	seenAt    [Tiers]time.Time
	changedAt time.Time
	peers     map[string]peerFloor
}

// NewFloor returns a floor that admits every tier.
func NewFloor() Floor {
	return Floor{
		local: LowestTier,
		peers: map[string]peerFloor{},
	}
}

// Local returns the lowest tier that this node would admit by its own load alone.
func (f *Floor) Local() int { return f.local }

// Effective returns the lowest tier admitted, which is the strictest of the local floors of this node and of the peers
// that reported theirs within peerFloorTTL.
func (f *Floor) Effective(now time.Time) int {
	effective := f.local
	for _, p := range f.peers {
		if now.Sub(p.updatedAt) < peerFloorTTL {
			effective = min(effective, p.local)
		}
	}
	return effective
}

// UpdatePeer records the effective and the local floor that a peer reported.
func (f *Floor) UpdatePeer(peer string, effective, local int, now time.Time) {
	if effective >= 0 && effective < LowestTier {
		f.observeTier(effective, now)
	}
	f.peers[peer] = peerFloor{
		effective: effective,
		local:     local,
		updatedAt: now,
	}
}

// RemovePeer drops the floors of a peer that is no longer a member.
func (f *Floor) RemovePeer(peer string) {
	delete(f.peers, peer)
}

// MayShed reports whether a request of the tier may be shed, which is not so while a peer that reported its floor
// within peerFloorTTL admits a lower tier.
func (f *Floor) MayShed(tier int, now time.Time) bool {
	for _, p := range f.peers {
		if now.Sub(p.updatedAt) < peerFloorTTL && min(p.effective, f.lowestInUse(now)) > tier {
			return false
		}
	}
	return true
}

// Tighten makes the local floor one tier stricter, at most once per floorStepInterval. It goes no further than to
// exclude the given tier, which has to be shed.
func (f *Floor) Tighten(tier int, now time.Time) {
	if now.Sub(f.changedAt) < floorStepInterval {
		return
	}
	next := min(f.local, f.lowestInUse(now)) - 1
	if next < tier-1 || next < 0 {
		return
	}
	f.local = next
	f.changedAt = now
}

// Relax makes the local floor admit one more tier, at most once per two floorStepIntervals; it is called at low load.
func (f *Floor) Relax(now time.Time) {
	if f.local >= LowestTier || now.Sub(f.changedAt) < 2*floorStepInterval {
		return
	}
	f.local++
	if f.local >= f.lowestInUse(now) {
		f.local = LowestTier
	}
	f.changedAt = now
}

// observeTier records that a tier is in use. Tighten starts from the lowest tier in use, so that its first step
// already excludes requests.
func (f *Floor) observeTier(tier int, now time.Time) { f.seenAt[tier] = now }

// lowestInUse returns the lowest tier in use, the one with the largest number, or 0 if none is.
func (f *Floor) lowestInUse(now time.Time) int {
	for tier := LowestTier; tier > 0; tier-- {
		if seen := f.seenAt[tier]; !seen.IsZero() && now.Sub(seen) < tierUseTTL {
			return tier
		}
	}
	return 0
}
