package outcome

import (
	"sync"

	"lagoongw/internal/protocol/wire"
)

// Store holds the status of the most recent requests, up to a fixed number. It is safe for concurrent use.
type Store struct {
	mu   sync.RWMutex
	byID map[string]wire.RequestStatus
	// ring holds the request IDs in order of arrival; next is the index to overwrite.
	ring []string
	next int
}

// NewStore returns a store that holds up to size requests; size must be positive.
func NewStore(size int) *Store {
	return &Store{
		byID: make(map[string]wire.RequestStatus, size),
		ring: make([]string, size),
	}
}

// Put stores the status of a request and evicts the oldest request if the store is full.
func (s *Store) Put(status wire.RequestStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.byID[status.ID]; !known {
		delete(s.byID, s.ring[s.next])
		s.ring[s.next] = status.ID
		s.next = (s.next + 1) % len(s.ring)
	}
	s.byID[status.ID] = status
}

// Get returns the status of a request, if it is still stored.
func (s *Store) Get(id string) (wire.RequestStatus, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	status, ok := s.byID[id]
	return status, ok
}
