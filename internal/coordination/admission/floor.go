package admission

import "time"

const (
	floorStep     = time.Second
	peerFloorLife = 15 * time.Second
)

type peerFloor struct {
	effective int
	wish      int
	heard     time.Time
}

// Floor is the lowest tier that a pool admits, agreed between nodes by exchanging wishes.
type Floor struct {
	wish    int
	lowest  int
	changed time.Time
	peers   map[string]peerFloor
}

// NewFloor returns a floor that admits every tier.
func NewFloor() Floor {
	return Floor{
		wish:  LowestTier,
		peers: map[string]peerFloor{},
	}
}

// Local returns the lowest tier that this node alone would admit.
func (f *Floor) Local() int { return f.wish }

// Effective returns the lowest tier admitted: the strictest wish among this node and its live peers.
func (f *Floor) Effective(now time.Time) int {
	effective := f.wish
	for _, p := range f.peers {
		if now.Sub(p.heard) < peerFloorLife {
			effective = min(effective, p.wish)
		}
	}
	return effective
}

// UpdatePeer records what a peer admits.
func (f *Floor) UpdatePeer(peer string, effective, wish int, now time.Time) {
	f.lowest = max(f.lowest, boundedTier(effective, f.lowest))
	f.peers[peer] = peerFloor{
		effective: effective,
		wish:      wish,
		heard:     now,
	}
}

// RemovePeer drops a peer that is no longer a member.
func (f *Floor) RemovePeer(peer string) {
	delete(f.peers, peer)
}

// MayShed reports whether no live peer still admits a tier lower than the given one.
func (f *Floor) MayShed(tier int, now time.Time) bool {
	for _, p := range f.peers {
		if now.Sub(p.heard) < peerFloorLife && min(p.effective, f.lowest) > tier {
			return false
		}
	}
	return true
}

// Tighten lowers the wish by one tier at a time, and never above the tier that has to be shed.
func (f *Floor) Tighten(tier int, now time.Time) {
	if now.Sub(f.changed) < floorStep {
		return
	}
	next := min(f.wish, f.lowest) - 1
	if next < tier-1 || next < 0 {
		return
	}
	f.wish = next
	f.changed = now
}

// Relax raises the wish by one tier when the pressure is gone.
func (f *Floor) Relax(now time.Time) {
	if f.wish >= LowestTier || now.Sub(f.changed) < 2*floorStep {
		return
	}
	f.wish++
	if f.wish >= f.lowest {
		f.wish = LowestTier
	}
	f.changed = now
}

// see widens the range of tiers in use, so that the first step down already counts.
func (f *Floor) see(tier int) {
	f.lowest = max(f.lowest, tier)
}

func boundedTier(tier, otherwise int) int {
	if tier < 0 || tier >= LowestTier {
		return otherwise
	}
	return tier
}
