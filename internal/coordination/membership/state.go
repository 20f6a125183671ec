package membership

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// State is what is believed of a member; at equal incarnations the higher state wins.
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

// member is one known node.
type member struct {
	row   wire.Member
	since time.Time
	sends int
}

func (m *member) state() State { return State(m.row.State) }

// newer reports whether a row says more than what is known of the member.
func newer(row, known wire.Member) bool {
	if row.Incarnation != known.Incarnation {
		return row.Incarnation > known.Incarnation
	}
	return row.State > known.State
}
