package standin

import (
	"io"
	"net/http"
	"sync"

	"lagoongw/internal/protocol/wire"
)

// Service stands in for an order and stock service. It counts executions, so that tests can check that an order was
// executed at most once.
type Service struct {
	Faults
	// Slots is the number of slots in its load reports, at least 1; the service does not limit concurrent requests to it.
	Slots int

	mu         sync.Mutex
	executions map[string]int
	inFlight   int
}

// Handler returns the HTTP handler of the service and of its control interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.placeOrder)
	mux.HandleFunc("GET /stock", s.stock)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /control/executions",
		func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	mux.Handle("POST /control/fault", &s.Faults)
	return mux
}

// Executions returns the number of executions by idempotency key, or by request body for requests without a key.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for key, count := range s.executions {
		counts[key] = count
	}
	return counts
}

func (s *Service) placeOrder(w http.ResponseWriter, r *http.Request) {
	s.addInFlight(1)
	defer s.addInFlight(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.applyEarlyFaults(w, r) {
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
		closeConnection(w)
		return
	}
	w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	if _, mismatch := s.Take(FaultMismatchedAnswer); mismatch {
		w.Header().Set("Request-ID", "another-request")
	}
	writeJSON(w, map[string]string{"booked": key})
}

func (s *Service) addInFlight(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += change
}

// InFlight returns the number of orders in progress, including those that a fault delays.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	if !s.applyEarlyFaults(w, r) {
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
