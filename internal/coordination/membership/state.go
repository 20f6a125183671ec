package membership

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// State is the believed state of a member; at equal incarnations, the higher state overrides the lower.
type State int

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "invalid"
}

// member is a known node other than this one.
type member struct {
	row wire.Member
	// since is when the member was added or last changed its state.
	since time.Time
	// sends counts the digests that have carried the last change of the row.
	sends int
}

func (m *member) state() State { return State(m.row.State) }

// overrides reports whether a row has a higher incarnation than the known one, or a higher state at equal incarnations.
func overrides(row, known wire.Member) bool {
	if row.Incarnation != known.Incarnation {
		return row.Incarnation > known.Incarnation
	}
	return row.State > known.State
}
