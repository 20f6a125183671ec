package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

const (
	// tierDiscount is the weight of a request relative to one of the next higher tier.
	tierDiscount = 0.5
	// maxMeteredModels is the number of models whose rates are kept, and of new models that are counted between two calls
	// of Rates, since callers may name any model.
	maxMeteredModels = 512
	// smoothingTime is the time constant of the exponential smoothing of rates.
	smoothingTime = time.Minute
)

// Meter measures one node's demand for each model, in requests per second weighted by tier; it is safe for concurrent
// use.
type Meter struct {
	mu     sync.Mutex
	rates  map[string]float64
	counts map[string]float64
	last   time.Time
}

// NewMeter returns a meter without any counted requests.
func NewMeter(now time.Time) *Meter {
	return &Meter{
		rates:  map[string]float64{},
		counts: map[string]float64{},
		last:   now,
	}
}

// Count counts one request for a model. Tier 0 is the highest; each lower tier has half the weight of the one above it.
func (m *Meter) Count(model string, tier int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, counted := m.counts[model]
	_, rated := m.rates[model]
	if !counted && !rated && len(m.counts) >= maxMeteredModels {
		return
	}
	m.counts[model] += math.Pow(tierDiscount, float64(tier))
}

// Rates returns the smoothed demand for each model, in weighted requests per second, sorted by model.
func (m *Meter) Rates(now time.Time) []wire.ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.last)
	if elapsed > 0 {
		m.smooth(elapsed)
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

// smooth updates the rates with the requests counted in the elapsed time, and removes rates that are negligible.
func (m *Meter) smooth(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / smoothingTime.Seconds())
	// Add models that were counted for the first time, with a rate of 0.
	for model := range m.counts {
		m.rates[model] += 0
	}
	for model, rate := range m.rates {
		rate = rate*decay + m.counts[model]/elapsed.Seconds()*(1-decay)
		m.rates[model] = rate
		if rate < minDemand/10 {
			delete(m.rates, model)
		}
	}
	clear(m.counts)
	m.dropLowestRates()
}

// dropLowestRates removes the lowest rates beyond maxMeteredModels.
func (m *Meter) dropLowestRates() {
	excess := len(m.rates) - maxMeteredModels
	if excess <= 0 {
		return
	}
	models := slices.SortedFunc(maps.Keys(m.rates), func(a, b string) int { return cmp.Compare(m.rates[a], m.rates[b]) })
	for _, model := range models[:excess] {
		delete(m.rates, model)
	}
}
