package quota

import "time"

// bucket is a token bucket whose level may fall below zero by one late charge.
type bucket struct {
	rate  float64
	level float64
	at    time.Time
}

const burst = time.Second

func (b *bucket) setRate(rate float64, now time.Time) {
	b.fill(now)
	if b.rate == 0 {
		b.level = max(rate*burst.Seconds(), 1)
	}
	b.rate = rate
	b.level = min(b.level, max(rate*burst.Seconds(), 1))
}

func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 && !b.at.IsZero() {
		b.level = min(b.level+passed.Seconds()*b.rate, max(b.rate*burst.Seconds(), 1))
	}
	b.at = now
}

// wait returns how long until the level reaches an amount.
func (b *bucket) wait(amount float64) time.Duration {
	if b.level >= amount {
		return 0
	}
	if b.rate <= 0 {
		return time.Minute
	}
	return time.Duration((amount - b.level) / b.rate * float64(time.Second))
}
