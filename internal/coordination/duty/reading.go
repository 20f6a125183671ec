package duty

import "time"

// Reading is one reading of a node's clocks.
type Reading struct {
	// Boot is the time since the machine was started, which counts suspensions.
	Boot time.Duration
	// Wall is the wall clock, without a monotonic part.
	Wall time.Time
}

// since returns the time since an earlier reading by the clock that says more. A machine that was stopped and resumed by
// its host may see the stop in its wall clock alone.
func (r Reading) since(earlier Reading) time.Duration {
	return max(r.Boot-earlier.Boot, r.Wall.Sub(earlier.Wall))
}
