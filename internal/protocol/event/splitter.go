package event

import (
	"bytes"
	"cmp"
)

// DefaultMaxEventBytes is the maximum length of an event if a Splitter sets none.
const DefaultMaxEventBytes = 64 << 10

// keptBytes is the size up to which an emptied buffer is kept for the next events.
const keptBytes = 16 << 10

// Splitter splits a stream after each complete event; the zero value is ready to use.
type Splitter struct {
	// MaxEventBytes is the maximum length of an event, 0 for DefaultMaxEventBytes. A stream with a longer one can't be
	// split, see TooLong.
	MaxEventBytes int

	// buffer holds the complete events that the last Add returned, followed by the pending bytes from begin on.
	buffer []byte
	begin  int
	// line is where the unfinished line begins, which has no line break before searched.
	line, searched int
	completed      int
	// ids holds the IDs of the events that the last Add returned, without comments.
	ids []string
}

// Add appends the next bytes of the stream and returns the complete events so far; the result is valid until the next
// call.
func (s *Splitter) Add(data []byte) []byte {
	s.dropCompleted()
	s.buffer = append(s.buffer, data...)
	s.completed = 0
	s.ids = s.ids[:0]
	for {
		newline := bytes.IndexByte(s.buffer[s.searched:], '\n')
		if newline < 0 {
			s.searched = len(s.buffer)
			return s.buffer[:s.begin]
		}
		next := s.searched + newline + 1
		if s.line > s.begin && isBlank(s.buffer[s.line:next]) {
			s.readID(s.buffer[s.begin:next])
			s.begin = next
			s.completed++
		}
		s.line, s.searched = next, next
	}
}

// dropCompleted removes the events that the last Add returned from the buffer.
func (s *Splitter) dropCompleted() {
	if s.begin == 0 {
		return
	}
	pending := s.buffer[s.begin:]
	if cap(s.buffer) > keptBytes && len(pending) < keptBytes/2 {
		s.buffer = append([]byte(nil), pending...)
	} else {
		s.buffer = s.buffer[:copy(s.buffer, pending)]
	}
	s.line -= s.begin
	s.searched -= s.begin
	s.begin = 0
}

// Buffered returns the number of bytes after the last complete event.
func (s *Splitter) Buffered() int { return len(s.buffer) - s.begin }

// TooLong reports whether the unfinished event is longer than MaxEventBytes.
func (s *Splitter) TooLong() bool {
	return s.Buffered() > cmp.Or(s.MaxEventBytes, DefaultMaxEventBytes)
}

// IDs returns the ID of each complete event in the result of the last Add, an empty string for one without; comments have no
// entry. The result is valid until the next call of Add.
func (s *Splitter) IDs() []string { return s.ids }

// Completed returns the number of complete events in the result of the last Add.
func (s *Splitter) Completed() int { return s.completed }

// isBlank reports whether a line, which includes its line break, ends an event.
func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// readID adds the value of the event's last id field to those of the events, unless it is a comment.
func (s *Splitter) readID(event []byte) {
	id, comment := "", true
	for line := range bytes.Lines(event) {
		text := bytes.TrimRight(line, "\r\n")
		field, value, found := bytes.Cut(text, []byte(":"))
		if found && string(field) == "id" {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		comment = comment && (len(text) == 0 || found && len(field) == 0)
	}
	if !comment {
		s.ids = append(s.ids, id)
	}
}
