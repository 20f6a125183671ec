package event

import "bytes"

// MaxEventBytes bounds one event; a longer one is not an event of these streams.
const MaxEventBytes = 1 << 20

// Splitter cuts a stream after each whole event; the zero value is ready.
type Splitter struct {
	rest   []byte
	lastID string
	taken  int
	after  []byte
}

// Add takes in the next bytes and returns those that complete events; the result is valid until the next call.
func (s *Splitter) Add(data []byte) []byte {
	s.rest = append(s.rest[:copy(s.rest, s.after)], data...)
	s.after = nil
	s.taken = 0
	end := 0
	for {
		size := eventLength(s.rest[end:])
		if size == 0 {
			break
		}
		s.readID(s.rest[end : end+size])
		end += size
		s.taken++
	}
	whole := s.rest[:end]
	s.after = s.rest[end:]
	return whole
}

// Buffered returns the number of bytes that follow the last whole event.
func (s *Splitter) Buffered() int { return len(s.after) }

// LastID returns the ID of the last whole event that had one, empty for none.
func (s *Splitter) LastID() string { return s.lastID }

// Completed returns the number of events that the last Add completed.
func (s *Splitter) Completed() int { return s.taken }

// eventLength returns the length of the first event with the blank line that ends it, 0 while it is not whole.
func eventLength(data []byte) int {
	for at := 0; ; {
		line := bytes.IndexByte(data[at:], '\n')
		if line < 0 {
			return 0
		}
		next := at + line + 1
		if isBlank(data[at:next]) && at > 0 {
			return next
		}
		at = next
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

func (s *Splitter) readID(whole []byte) {
	for line := range bytes.Lines(whole) {
		field, value, found := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if found && string(field) == "id" {
			s.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
