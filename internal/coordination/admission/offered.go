package admission

import (
	"math"
	"time"
)

// offeredLoadTimeConstant is the time in which an arrival's weight decays to 1/e.
const offeredLoadTimeConstant = 10 * time.Second

// offeredLoad is the exponentially decaying average of the work that arrives at each tier, in busy slots.
type offeredLoad struct {
	slots     [Tiers]float64
	updatedAt time.Time
}

func (o *offeredLoad) add(tier int, serviceTime time.Duration, now time.Time) {
	o.decay(now)
	o.slots[tier] += serviceTime.Seconds() / offeredLoadTimeConstant.Seconds()
}

func (o *offeredLoad) decay(now time.Time) {
	if elapsed := now.Sub(o.updatedAt); elapsed > 0 && !o.updatedAt.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / offeredLoadTimeConstant.Seconds())
		for tier := range o.slots {
			o.slots[tier] *= factor
		}
	}
	o.updatedAt = now
}

// aboveTier returns the number of slots that the load of all tiers higher than the given one is expected to occupy.
func (o *offeredLoad) aboveTier(tier int) float64 {
	sum := 0.0
	for t := range tier {
		sum += o.slots[t]
	}
	return sum
}
