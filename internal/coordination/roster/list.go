package roster

import (
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

// DefaultHold is how long removals are held after an outage of the registry. Upstreams whose entries expired in the
// outage are expected to register again within about two seconds.
const DefaultHold = 2500 * time.Millisecond

// List holds the upstreams in the registry; it is not safe for concurrent use.
type List struct {
	// Hold is how long removals are held after an outage of the registry.
	Hold time.Duration

	upstreams map[string]wire.Machine
	// heldRemovals holds the time at which each held removal takes effect, by upstream name.
	heldRemovals map[string]time.Time
	holdUntil    time.Time
	unavailable  bool
}

// Put adds or replaces an upstream and cancels a held removal of it. It reports whether either changed anything: peers
// hold the same removal, and must learn that it is cancelled.
func (l *List) Put(upstream wire.Machine) bool {
	if l.upstreams == nil {
		l.upstreams = map[string]wire.Machine{}
	}
	_, held := l.heldRemovals[upstream.Name]
	delete(l.heldRemovals, upstream.Name)
	before, known := l.upstreams[upstream.Name]
	if known && sameEntry(before, upstream) {
		return held
	}
	l.upstreams[upstream.Name] = upstream
	return true
}

// sameEntry reports whether two upstreams agree in the fields that an entry of the registry sets, apart from the name.
func sameEntry(a, b wire.Machine) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.AvailabilityZone == b.AvailabilityZone &&
		a.State == b.State && a.Slots == b.Slots && a.Boot == b.Boot && a.Version == b.Version
}

// Remove removes an upstream whose entry is gone and reports whether the list changed. For Hold after an outage the
// removal is held, since the entry may have expired only because the registry was unavailable.
func (l *List) Remove(name string, now time.Time) bool {
	if _, known := l.upstreams[name]; !known {
		return false
	}
	// A removal relayed by a peer shows that the registry is available again.
	l.RegistryAvailable(now)
	if now.Before(l.holdUntil) {
		if l.heldRemovals == nil {
			l.heldRemovals = map[string]time.Time{}
		}
		l.heldRemovals[name] = l.holdUntil
		return false
	}
	delete(l.upstreams, name)
	return true
}

// RetainOnly removes the upstreams that are not in the given names and reports whether the list changed.
func (l *List) RetainOnly(names map[string]bool, now time.Time) bool {
	changed := false
	for name := range l.upstreams {
		if !names[name] && l.Remove(name, now) {
			changed = true
		}
	}
	return changed
}

// RegistryUnavailable records that the registry cannot be read; held removals wait until it is available again.
func (l *List) RegistryUnavailable() { l.unavailable = true }

// RegistryAvailable records that the registry was read. After an outage, removals are held from then on for Hold, also
// those that were held already: their upstreams could not register again during the outage.
func (l *List) RegistryAvailable(now time.Time) {
	if !l.unavailable {
		return
	}
	l.unavailable = false
	l.holdUntil = now.Add(l.Hold)
	for name := range l.heldRemovals {
		l.heldRemovals[name] = l.holdUntil
	}
}

// Tick carries out the held removals that are due and reports whether the list changed. readAt is when the registry was
// last read: an upstream that registered again before its removal was due must have had the chance to be seen.
func (l *List) Tick(readAt time.Time) bool {
	changed := false
	for name, due := range l.heldRemovals {
		if l.unavailable || readAt.Before(due) {
			continue
		}
		delete(l.heldRemovals, name)
		delete(l.upstreams, name)
		changed = true
	}
	return changed
}

// Upstreams returns the upstreams, sorted by name.
func (l *List) Upstreams() []wire.Machine {
	upstreams := make([]wire.Machine, 0, len(l.upstreams))
	for _, upstream := range l.upstreams {
		upstreams = append(upstreams, upstream)
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].Name < upstreams[j].Name })
	return upstreams
}
