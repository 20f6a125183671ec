package event

import "bytes"

// MaxEventBytes is the maximum length of an event in the streams of upstreams; Splitter does not enforce it.
const MaxEventBytes = 1 << 20

// Splitter splits a stream after each complete event; the zero value is ready to use.
type Splitter struct {
	// buffer holds the bytes that were pending before the last Add, followed by those given to it.
	buffer    []byte
	lastID    string
	completed int
	// pending is the part of buffer after the last complete event.
	pending []byte
}

// Add appends the next bytes of the stream and returns the complete events so far; the result is valid until the next
// call.
func (s *Splitter) Add(data []byte) []byte {
	s.buffer = append(s.buffer[:copy(s.buffer, s.pending)], data...)
	s.pending = nil
	s.completed = 0
	end := 0
	for {
		size := eventLength(s.buffer[end:])
		if size == 0 {
			break
		}
		s.readID(s.buffer[end : end+size])
		end += size
		s.completed++
	}
	complete := s.buffer[:end]
	s.pending = s.buffer[end:]
	return complete
}

// Buffered returns the number of bytes after the last complete event.
func (s *Splitter) Buffered() int { return len(s.pending) }

// LastID returns the ID of the last complete event that had one, or an empty string.
func (s *Splitter) LastID() string { return s.lastID }

// Completed returns the number of complete events in the result of the last Add.
func (s *Splitter) Completed() int { return s.completed }

// eventLength returns the length of the first event including the blank line that ends it, or 0 if it is incomplete.
func eventLength(data []byte) int {
	for start := 0; ; {
		newline := bytes.IndexByte(data[start:], '\n')
		if newline < 0 {
			return 0
		}
		next := start + newline + 1
		if isBlank(data[start:next]) && start > 0 {
			return next
		}
		start = next
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// readID stores the value of the event's last id field, if it has one.
func (s *Splitter) readID(event []byte) {
	for line := range bytes.Lines(event) {
		field, value, found := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if found && string(field) == "id" {
			s.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
