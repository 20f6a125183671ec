package placement

import (
	"math"
	"sort"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

const (
	tierDiscount = 0.5
	meterMemory  = time.Minute
)

// Meter measures one node's demand by model; it is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	rates map[string]float64
	count map[string]float64
	last  time.Time
}

// NewMeter returns a meter that has counted nothing.
func NewMeter(now time.Time) *Meter {
	return &Meter{
		rates: map[string]float64{},
		count: map[string]float64{},
		last:  now,
	}
}

// Count counts one request for a model; each tier weighs half of the one above it.
func (m *Meter) Count(model string, tier int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count[model] += math.Pow(tierDiscount, float64(tier))
}

// Rates returns the smoothed demand by model.
func (m *Meter) Rates(now time.Time) []wire.ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := now.Sub(m.last)
	if passed > 0 {
		m.smooth(passed)
		m.last = now
	}
	demands := make([]wire.ModelDemand, 0, len(m.rates))
	for model, rate := range m.rates {
		demands = append(demands, wire.ModelDemand{
			Model:  model,
			Weight: rate,
		})
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Model < demands[j].Model })
	return demands
}

func (m *Meter) smooth(passed time.Duration) {
	keep := math.Exp(-passed.Seconds() / meterMemory.Seconds())
	for model := range m.count {
		m.rates[model] += 0
	}
	for model, rate := range m.rates {
		rate = rate*keep + m.count[model]/passed.Seconds()*(1-keep)
		m.rates[model] = rate
		if rate < minDemand/10 {
			delete(m.rates, model)
		}
	}
	clear(m.count)
}
