package estimate

import "math"

const (
	buckets       = 96
	bucketsPerTwo = 4
	decayAbove    = 2048
)

// Histogram is a decaying histogram over a logarithmic scale, for positive values of any unit.
type Histogram struct {
	counts [buckets]float64
	total  float64
	sum    float64
}

// Observe adds a value; older values lose weight as new ones come in.
func (h *Histogram) Observe(value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if h.total >= decayAbove {
		h.halve()
	}
	h.counts[bucketOf(value)]++
	h.total++
	h.sum += value
}

func (h *Histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
	h.sum /= 2
}

// Mean returns the mean of the observed values, or otherwise when there are none.
func (h *Histogram) Mean(otherwise float64) float64 {
	if h.total == 0 {
		return otherwise
	}
	return h.sum / h.total
}

// MeanAbove returns the expected final value of an item that has already reached a value.
func (h *Histogram) MeanAbove(reached, otherwise float64) float64 {
	first := bucketOf(reached)
	weight, sum := 0.0, 0.0
	for i := first; i < buckets; i++ {
		weight += h.counts[i]
		sum += h.counts[i] * upperOf(i)
	}
	if weight == 0 {
		return math.Max(reached, otherwise)
	}
	return math.Max(reached, sum/weight)
}

func bucketOf(value float64) int {
	if value <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(value)*bucketsPerTwo)), buckets-1)
}

func upperOf(bucket int) float64 {
	return math.Exp2(float64(bucket) / bucketsPerTwo)
}
