package standin

import (
	"io"
	"net/http"
	"sync"

	"lagoongw/internal/protocol/wire"
)

// Service stands in for an order and stock service; its counter is the proof of at most once.
type Service struct {
	Faults
	// Slots is the number of requests that it says it can run at once.
	Slots int

	mu         sync.Mutex
	executions map[string]int
	busy       int
}

// Handler serves the service's interfaces.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.execute)
	mux.HandleFunc("GET /stock", s.stock)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	mux.Handle("POST /control/fault", &s.Faults)
	return mux
}

// Executions returns how often each key was executed; requests without a key count under their body.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.executions))
	for key, count := range s.executions {
		copied[key] = count
	}
	return copied
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	s.count(1)
	defer s.count(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.before(w, r) {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = string(body)
	}
	s.mu.Lock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[key]++
	s.mu.Unlock()
	if _, lose := s.Take(FaultLoseAnswer); lose {
		cut(w)
		return
	}
	w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	if _, cross := s.Take(FaultMismatchedAnswer); cross {
		w.Header().Set("Request-ID", "another-request")
	}
	writeJSON(w, map[string]string{"booked": key})
}

func (s *Service) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy += change
}

// InFlight returns the number of orders that are being executed, or held back by a fault.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	if !s.before(w, r) {
		return
	}
	w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	writeJSON(w, map[string]int{"coils": 12})
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, wire.LoadReport{
		Slots:   max(s.Slots, 1),
		Leaving: s.Active(FaultLeaving),
	})
}
