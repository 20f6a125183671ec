package estimate

import (
	"sync"
	"time"
)

// DefaultServiceTime is the service time assumed of a class of which nothing was observed.
const DefaultServiceTime = time.Second

// DefaultOutputTokens is the output length assumed of a class of which nothing was observed.
const DefaultOutputTokens = 128

// Estimator learns the service time and the output length of each class; it is safe for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	service map[string]*Histogram
	tokens  map[string]*Histogram
}

// NewEstimator returns an estimator that has observed nothing.
func NewEstimator() *Estimator {
	return &Estimator{
		service: map[string]*Histogram{},
		tokens:  map[string]*Histogram{},
	}
}

// Observe records a finished request of a class.
func (c *Estimator) Observe(class string, service time.Duration, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	histogramOf(c.service, class).Observe(float64(service.Milliseconds()))
	if tokens > 0 {
		histogramOf(c.tokens, class).Observe(float64(tokens))
	}
}

// ServiceTime returns the expected service time of a class.
func (c *Estimator) ServiceTime(class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := histogramOf(c.service, class).Mean(float64(DefaultServiceTime.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond))
}

// RemainingTokens returns the tokens still expected of a request that has produced some.
func (c *Estimator) RemainingTokens(class string, produced int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := histogramOf(c.tokens, class).MeanAbove(float64(produced), DefaultOutputTokens)
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
