package catalog

import (
	"time"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
)

// Snapshot returns a whole topic for a peer; known is false until this node has loaded it.
func (s *Service) Snapshot(topic string) (update wire.FeedUpdate, known bool) {
	if f := s.follower(topic); f != nil {
		return f.snapshot()
	}
	return wire.FeedUpdate{}, false
}

// PackedSnapshot returns a whole topic for a peer as a packed update; known is false until this node has loaded it.
func (s *Service) PackedSnapshot(topic string) (update wire.FeedUpdate, known bool, err error) {
	if f := s.follower(topic); f != nil {
		return f.packSnapshot()
	}
	return wire.FeedUpdate{}, false, nil
}

// News returns what a peer that has come as far as a position needs: a packed snapshot, or an update without records if there is
// nothing newer; known is false until this node has loaded the topic.
func (s *Service) News(topic string, at Position) (update wire.FeedUpdate, known bool, err error) {
	f := s.follower(topic)
	if f == nil {
		return wire.FeedUpdate{}, false, nil
	}
	if update, same := f.confirm(at); same {
		return update, true, nil
	}
	return f.packSnapshot()
}

// packedSnapshot is a packed snapshot, and how far the topic had come.
type packedSnapshot struct {
	position  Position
	freshFrom int
	update    wire.FeedUpdate
}

// Position is how far a topic has come: the era of the store, and the offset after the last record.
type Position struct {
	Era  int
	Next int
}

func (f *follower) position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{
		Era:  f.topic.Era(),
		Next: f.topic.Next(),
	}
}

// hasCome reports whether the topic has come as far as an update.
func (f *follower) hasCome(update wire.FeedUpdate) bool {
	at := f.position()
	return at.Era > update.Era || at.Era == update.Era && at.Next >= update.Next
}

func (f *follower) snapshot() (wire.FeedUpdate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update := f.topic.Snapshot()
	update.AgeMs = f.ageMs()
	return update, f.topic.Loaded()
}

// confirm returns an update without records, which tells how old the topic is, and whether it has come just as far as a position.
func (f *follower) confirm(at Position) (update wire.FeedUpdate, same bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update = wire.FeedUpdate{
		Topic:     f.topic.Name,
		Era:       f.topic.Era(),
		FreshFrom: f.topic.FreshFrom(),
		From:      f.topic.Next(),
		Next:      f.topic.Next(),
		AgeMs:     f.ageMs(),
	}
	return update, f.topic.Loaded() && at.Era == update.Era && at.Next == update.Next
}

// ageMs returns the age of the topic as updates tell it. The caller must hold the lock.
func (f *follower) ageMs() *int {
	age := int(f.readSchedule.Age(time.Now()) / time.Millisecond)
	return &age
}

// packSnapshot returns the packed snapshot. It is made once for all peers that ask for it until the topic changes.
func (f *follower) packSnapshot() (update wire.FeedUpdate, known bool, err error) {
	f.packing.Lock()
	defer f.packing.Unlock()
	snapshot, known := f.snapshot()
	at := Position{
		Era:  snapshot.Era,
		Next: snapshot.Next,
	}
	if known && (f.packed.update.Packed == "" || f.packed.position != at || f.packed.freshFrom != snapshot.FreshFrom) {
		packed, err := feed.Pack(snapshot)
		if err != nil {
			return wire.FeedUpdate{}, known, err
		}
		f.packed = packedSnapshot{
			position:  at,
			freshFrom: snapshot.FreshFrom,
			update:    packed,
		}
	}
	update = f.packed.update
	update.AgeMs = snapshot.AgeMs
	return update, known, nil
}
