package quota

import "time"

// bucket is a token bucket that counts requests or generated tokens. Its level may fall below zero, since generated
// tokens are charged once they have been generated.
type bucket struct {
	rate      float64
	level     float64
	updatedAt time.Time
}

// burstDuration is the time in which an empty bucket fills. A bucket has a capacity of at least 1 at any rate.
const burstDuration = time.Second

// setRate changes the rate; a new bucket is full at first.
func (b *bucket) setRate(rate float64, now time.Time) {
	if b.updatedAt.IsZero() {
		b.level = max(rate*burstDuration.Seconds(), 1)
	}
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, max(rate*burstDuration.Seconds(), 1))
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 && !b.updatedAt.IsZero() {
		b.level = min(b.level+elapsed.Seconds()*b.rate, max(b.rate*burstDuration.Seconds(), 1))
	}
	b.updatedAt = now
}

// wait returns the time until the level reaches an amount or, if the rate is zero, until another slice is requested.
func (b *bucket) wait(amount float64) time.Duration {
	if b.level >= amount {
		return 0
	}
	if b.rate <= 0 {
		return SliceRequestInterval
	}
	return time.Duration((amount - b.level) / b.rate * float64(time.Second))
}
