package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Kinds of faults; each stand-in knows those that make sense for it.
const (
	FaultSlow             = "slow"
	FaultRefuse           = "refuse"
	FaultCrash            = "crash"
	FaultHang             = "hang"
	FaultStallStream      = "silent"
	FaultLoseAnswer       = "lose-answer"
	FaultLateApply        = "late-apply"
	FaultMismatchedAnswer = "cross"
	FaultRepeatEvent      = "repeat"
	FaultSkipEvent        = "skip"
	FaultTruncateStream   = "short"
	FaultLeaving          = "leaving"
)

// Fault is a way to misbehave, for a number of times (negative for always).
type Fault struct {
	Kind    string `json:"kind"`
	Times   int    `json:"times"`
	DelayMs int    `json:"delay-ms"`
}

// Faults is the control interface of a stand-in; it is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	active map[string]Fault
}

// Set makes a fault active, or ends it when its times are zero.
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

// Take reports whether a fault is active, and uses it up by one.
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

// Active reports whether a fault is active, without using it up.
func (f *Faults) Active(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.active[kind]
	return ok
}

// ServeHTTP takes a fault as JSON.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
}

// before applies the faults that strike before any effect; ok is false when the request is over.
func (f *Faults) before(w http.ResponseWriter, r *http.Request) (ok bool) {
	if fault, slow := f.Take(FaultSlow); slow {
		wait(r, time.Duration(fault.DelayMs)*time.Millisecond)
	}
	if _, hang := f.Take(FaultHang); hang {
		<-r.Context().Done()
		return false
	}
	if _, refuse := f.Take(FaultRefuse); refuse {
		w.Header().Set("Not-Run", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return false
	}
	if _, crash := f.Take(FaultCrash); crash {
		cut(w)
		return false
	}
	return true
}

func wait(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// cut closes the connection without an answer.
func cut(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
