package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Kinds of faults; each stand-in ignores those that do not apply to it.
const (
	// FaultSlow delays the processing of a request by Fault.DelayMs.
	FaultSlow = "slow"
	// FaultRefuse refuses a request and marks it as not run.
	FaultRefuse = "refuse"
	// FaultCrash closes the connection before the request has any effect.
	FaultCrash = "crash"
	// FaultHang leaves a request without effect and answer until the client closes the connection.
	FaultHang = "hang"
	// FaultStallStream stops sending in the middle of a stream but keeps the connection open.
	FaultStallStream = "silent"
	// FaultLoseAnswer closes the connection after the effect of the request, in place of the answer.
	FaultLoseAnswer = "lose-answer"
	// FaultLateApply closes the connection and applies the append after Fault.DelayMs.
	FaultLateApply = "late-apply"
	// FaultMismatchedAnswer puts the ID of another request into the answer.
	FaultMismatchedAnswer = "cross"
	// FaultRepeatEvent sends an event of a stream twice.
	FaultRepeatEvent = "repeat"
	// FaultSkipEvent leaves out an event of a stream.
	FaultSkipEvent = "skip"
	// FaultTruncateStream ends a stream early, without its final event.
	FaultTruncateStream = "short"
	// FaultLeaving makes the upstream report that it is leaving; an engine also refuses chat requests.
	FaultLeaving = "leaving"
)

// Fault makes a stand-in misbehave in one way.
type Fault struct {
	// Kind is one of the Fault constants.
	Kind string `json:"kind"`
	// Times is the number of times that the fault occurs, negative for no limit and 0 to end it.
	Times int `json:"times"`
	// DelayMs is the delay of FaultSlow and FaultLateApply in milliseconds.
	DelayMs int `json:"delay-ms"`
}

// Faults holds the active faults of a stand-in, by kind, and is their HTTP control interface. It is safe for concurrent
// use.
type Faults struct {
	mu     sync.Mutex
	active map[string]Fault
}

// Set activates a fault, in place of an active one of the same kind, or ends it if Times is 0.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == nil {
		f.active = map[string]Fault{}
	}
	if fault.Times == 0 {
		delete(f.active, fault.Kind)
		return
	}
	f.active[fault.Kind] = fault
}

// Take returns the active fault of a kind, if there is one, and counts one occurrence of it.
func (f *Faults) Take(kind string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, ok := f.active[kind]
	if !ok {
		return Fault{}, false
	}
	if fault.Times > 0 {
		fault.Times--
		f.active[kind] = fault
		if fault.Times == 0 {
			delete(f.active, kind)
		}
	}
	return fault, true
}

// Active reports whether a fault is active, without counting an occurrence.
func (f *Faults) Active(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.active[kind]
	return ok
}

// ServeHTTP sets the fault in the request body, which is JSON.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
}

// applyEarlyFaults applies the faults that come before any effect of a request; ok is false if the request is over.
func (f *Faults) applyEarlyFaults(w http.ResponseWriter, r *http.Request) (ok bool) {
	if fault, slow := f.Take(FaultSlow); slow {
		sleep(r, time.Duration(fault.DelayMs)*time.Millisecond)
	}
	if _, hang := f.Take(FaultHang); hang {
		<-r.Context().Done()
		return false
	}
	if _, refuse := f.Take(FaultRefuse); refuse {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return false
	}
	if _, crash := f.Take(FaultCrash); crash {
		closeConnection(w)
		return false
	}
	return true
}

// sleep waits for a duration or until the request is canceled.
func sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// closeConnection closes the connection to the client without an answer.
func closeConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
