package event

import (
	"strconv"

	"github.com/rotisserie/eris"
)

// Errors of Sequence.Follow.
var (
	ErrNoID     = eris.New("event without an ID")
	ErrRepeated = eris.New("event that has come before")
	ErrSkipped  = eris.New("event after one that is missing")
)

// Sequence holds the IDs of the events of a stream, which may come in several answers. The zero value is that of a stream which
// begins.
type Sequence struct {
	lastID string
	// unnamed reports that the last event had no ID.
	unnamed bool
	// number is the last ID as a number, if numbered is set. dense reports that each ID has been the one before plus 1, and
	// the first one 0, 1, or one above that of Resume.
	number          uint64
	numbered, dense bool
}

// Resume begins with the event after an ID.
func (s *Sequence) Resume(lastID string) {
	s.lastID = lastID
	s.number, s.numbered = parseID(lastID)
	s.dense = s.numbered
}

// LastID returns the ID of the last event that had one, or an empty string.
func (s *Sequence) LastID() string { return s.lastID }

// Resumable reports whether another answer can go on after the last event, which needs its ID, or begin if there was none.
func (s *Sequence) Resumable() bool { return !s.unnamed }

// Add records the IDs of events, an empty string for one without, whatever they are.
func (s *Sequence) Add(ids []string) {
	for _, id := range ids {
		s.unnamed = id == ""
		if s.unnamed {
			s.dense = false
			continue
		}
		number, numbered := parseID(id)
		switch {
		case s.lastID == "":
			s.dense = numbered && number <= 1
		case !numbered || !s.numbered || number != s.number+1:
			s.dense = false
		}
		s.lastID, s.number, s.numbered = id, number, numbered
	}
}

// Follow records the IDs of events of an answer that goes on after the last one. It returns an error at the first event that
// can't be the next one, with that and those after it unrecorded.
func (s *Sequence) Follow(ids []string) error {
	for i, id := range ids {
		if err := s.check(id); err != nil {
			return err
		}
		s.Add(ids[i : i+1])
	}
	return nil
}

func (s *Sequence) check(id string) error {
	number, numbered := parseID(id)
	switch {
	case id == "":
		return ErrNoID
	case id == s.lastID, numbered && s.numbered && number <= s.number:
		return eris.Wrapf(ErrRepeated, "%q after %q", id, s.lastID)
	case s.dense && (!numbered || number != s.number+1):
		return eris.Wrapf(ErrSkipped, "%q after %q", id, s.lastID)
	}
	return nil
}

func parseID(id string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}
