package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"lagoongw/internal/protocol/wire"
)

// SetTokenTime changes the time between tokens.
func (e *Engine) SetTokenTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.TokenTime = d
}

// load answers with the newest earlier report that is at least ReportLag old, or the oldest one if all are newer.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	current := wire.LoadReport{
		Sequence:    len(e.reports),
		Running:     e.running,
		Queued:      len(e.queue),
		Slots:       e.Slots,
		Models:      e.Models,
		Leaving:     e.Active(FaultLeaving),
		CacheEvents: append([]wire.CacheEvent{}, e.cacheEvents...),
	}
	e.reports = append(e.reports, datedReport{
		at:     now,
		report: current,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.ReportLag {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].report
	if e.ReportLag <= 0 {
		report = current
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

// order accepts an order, unless CheckFencing is set and the fencing number is lower than that of an earlier order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order wire.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.CheckFencing && order.FencingNumber < e.lastFencingNumber {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.lastFencingNumber = max(e.lastFencingNumber, order.FencingNumber)
	e.orders++
	e.Models = order.Models
	writeJSON(w, order)
}
