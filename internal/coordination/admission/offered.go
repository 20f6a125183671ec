package admission

import (
	"math"
	"time"
)

const offeredMemory = 10 * time.Second

// offered measures the work that arrives at each tier, in slots kept busy.
type offered struct {
	slots [Tiers]float64
	at    time.Time
}

func (o *offered) arrive(tier int, service time.Duration, now time.Time) {
	o.decay(now)
	o.slots[tier] += service.Seconds() / offeredMemory.Seconds()
}

func (o *offered) decay(now time.Time) {
	if passed := now.Sub(o.at); passed > 0 && !o.at.IsZero() {
		keep := math.Exp(-passed.Seconds() / offeredMemory.Seconds())
		for tier := range o.slots {
			o.slots[tier] *= keep
		}
	}
	o.at = now
}

// above returns the slots that the tiers higher than the given one are expected to go on taking.
func (o *offered) above(tier int) float64 {
	sum := 0.0
	for t := range tier {
		sum += o.slots[t]
	}
	return sum
}
