package estimate

import (
	"sync"
	"time"
)

// DefaultServiceTime is the service time assumed for a class without observations.
const DefaultServiceTime = time.Second

// DefaultOutputTokens is the output length, in tokens, assumed for a class without observations.
const DefaultOutputTokens = 128

// Estimator predicts the service time and the output length of requests by their class; it is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// serviceTimes, in milliseconds, and tokens are by class.
	serviceTimes map[string]*Histogram
	tokens       map[string]*Histogram
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{
		serviceTimes: map[string]*Histogram{},
		tokens:       map[string]*Histogram{},
	}
}

// Observe records the service time and the output tokens of a finished request; a token count of 0 is ignored.
func (e *Estimator) Observe(class string, serviceTime time.Duration, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	histogramOf(e.serviceTimes, class).Observe(float64(serviceTime.Milliseconds()))
	if tokens > 0 {
		histogramOf(e.tokens, class).Observe(float64(tokens))
	}
}

// ServiceTime returns the mean service time of a class, or DefaultServiceTime without observations.
func (e *Estimator) ServiceTime(class string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	ms := histogramOf(e.serviceTimes, class).Mean(float64(DefaultServiceTime.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond))
}

// RemainingTokens returns the expected number of output tokens yet to come from a request that has produced some.
func (e *Estimator) RemainingTokens(class string, produced int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := histogramOf(e.tokens, class).MeanAbove(float64(produced), DefaultOutputTokens)
	return int(expected) - produced
}

func histogramOf(histograms map[string]*Histogram, class string) *Histogram {
	h := histograms[class]
	if h == nil {
		h = &Histogram{}
		histograms[class] = h
	}
	return h
}
