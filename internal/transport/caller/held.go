package caller

import (
	"errors"
	"io"
	"sync/atomic"
)

// DefaultMaxHeldBytes is the default of Server.MaxHeldBytes.
const DefaultMaxHeldBytes = 64 << 20

// errHeldBytes is returned while the bodies that this node holds take MaxHeldBytes.
var errHeldBytes = errors.New("this entry VM holds as many bytes of requests and answers as it may")

// heldBytes counts the bytes of the bodies that the requests in progress hold.
type heldBytes struct {
	total atomic.Int64
}

// take adds n bytes unless the total would exceed limit, and reports whether it did.
func (h *heldBytes) take(n, limit int64) bool {
	if h.total.Add(n) <= limit {
		return true
	}
	h.total.Add(-n)
	return false
}

// hold counts n more bytes for a job and reports whether this node may hold them.
func (s *Server) hold(j *job, n int64) bool {
	if !s.held.take(n, s.MaxHeldBytes) {
		return false
	}
	j.held += n
	return true
}

// dropTo ends the counting of a job's bytes beyond the first n.
func (s *Server) dropTo(j *job, n int64) {
	s.held.total.Add(n - j.held)
	j.held = n
}

// readHeld reads all of a body and counts its bytes for the job; errHeldBytes means that this node may hold no more.
func (s *Server) readHeld(j *job, body io.Reader) ([]byte, error) {
	before := j.held
	data, err := io.ReadAll(heldReader{
		body: body,
		hold: func(n int) bool { return s.hold(j, int64(n)) },
	})
	if err != nil {
		s.dropTo(j, before)
		return nil, err
	}
	return data, nil
}

// heldReader reads a body as long as hold accepts what was read.
type heldReader struct {
	body io.Reader
	hold func(n int) bool
}

// Read reads the next bytes.
func (r heldReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && !r.hold(n) {
		return 0, errHeldBytes
	}
	return n, err
}

// deadlineReader sets a new deadline before each read of a body.
type deadlineReader struct {
	body        io.Reader
	setDeadline func()
}

// Read reads the next bytes.
func (r deadlineReader) Read(p []byte) (int, error) {
	r.setDeadline()
	return r.body.Read(p)
}
