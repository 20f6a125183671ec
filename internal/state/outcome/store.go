package outcome

import (
	"sync"

	"lagoongw/internal/protocol/wire"
)

// Store remembers the status of the most recent requests, up to a fixed number.
type Store struct {
	mu     sync.RWMutex
	status map[string]wire.RequestStatus
	order  []string
	next   int
}

// NewStore returns a store that holds size requests.
func NewStore(size int) *Store {
	return &Store{
		status: make(map[string]wire.RequestStatus, size),
		order:  make([]string, size),
	}
}

// Put records the status of a request and forgets the oldest one when the store is full.
func (s *Store) Put(status wire.RequestStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.status[status.ID]; !known {
		delete(s.status, s.order[s.next])
		s.order[s.next] = status.ID
		s.next = (s.next + 1) % len(s.order)
	}
	s.status[status.ID] = status
}

// Get returns the status of a request, if it is still remembered.
func (s *Store) Get(id string) (wire.RequestStatus, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	status, ok := s.status[id]
	return status, ok
}
