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

// load answers with a report as old as the lag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	fresh := wire.LoadReport{
		Sequence:    len(e.reports),
		Running:     e.running,
		Queued:      len(e.queue),
		Slots:       e.Slots,
		Models:      e.Models,
		Leaving:     e.Active(FaultLeaving),
		CacheEvents: append([]wire.CacheEvent{}, e.events...),
	}
	e.reports = append(e.reports, datedReport{
		at:     now,
		report: fresh,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.ReportLag {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].report
	if e.ReportLag <= 0 {
		report = fresh
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

// order takes an order; an engine that checks refuses an old fencing number.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order wire.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.CheckFencing && order.FencingNumber < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, order.FencingNumber)
	e.orders++
	e.Models = order.Models
	writeJSON(w, order)
}
