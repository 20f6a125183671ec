package estimate

import "math"

const (
	bucketCount        = 96
	bucketsPerDoubling = 4
	// decayThreshold is the total weight at which all counts are halved.
	decayThreshold = 2048
)

// Histogram is a decaying histogram with logarithmic buckets, for non-negative values of any unit.
type Histogram struct {
	counts [bucketCount]float64
	total  float64
	sum    float64
}

// Observe adds a value and lets older ones lose weight; a value that is negative or not finite is ignored.
func (h *Histogram) Observe(value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if h.total >= decayThreshold {
		h.halve()
	}
	h.counts[bucketIndex(value)]++
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

// Mean returns the mean of the observed values, or fallback if there are none.
func (h *Histogram) Mean(fallback float64) float64 {
	if h.total == 0 {
		return fallback
	}
	return h.sum / h.total
}

// MeanAbove returns the expected final value of a quantity that has already reached the given value: the mean of the
// observed values from the bucket of reached on, or the larger of reached and fallback if there are none.
func (h *Histogram) MeanAbove(reached, fallback float64) float64 {
	first := bucketIndex(reached)
	weight, sum := 0.0, 0.0
	for i := first; i < bucketCount; i++ {
		weight += h.counts[i]
		sum += h.counts[i] * bucketUpperBound(i)
	}
	if weight == 0 {
		return math.Max(reached, fallback)
	}
	return math.Max(reached, sum/weight)
}

// bucketIndex returns the bucket of a value. Bucket 0 holds values up to 1; the last bucket has no upper limit.
func bucketIndex(value float64) int {
	if value <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(value)*bucketsPerDoubling)), bucketCount-1)
}

func bucketUpperBound(bucket int) float64 {
	return math.Exp2(float64(bucket) / bucketsPerDoubling)
}

// Quantile returns the value below which the given share of the observed values lies, 0 if there are none.
func (h *Histogram) Quantile(share float64) float64 {
	below := 0.0
	for i, count := range h.counts {
		if count > 0 && below+count >= share*h.total {
			position := float64(i-1) + (share*h.total-below)/count
			return math.Exp2(position / bucketsPerDoubling)
		}
		below += count
	}
	return 0
}
