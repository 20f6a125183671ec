package site

import (
	"slices"
	"time"
)

// Result is what the callers of one run got, and what it cost.
type Result struct {
	// Classes are in the order of the installation's description.
	Classes []*ClassResult
	// PrefilledTokens is the prompt tokens that engines read, RepeatedPrefillTokens those of shared parts that some
	// engine had read before, and WastedPrefillTokens those that were read for callers who gave up.
	PrefilledTokens       int
	RepeatedPrefillTokens int
	WastedPrefillTokens   int
	// Preemptions is how often a request had to yield at an engine.
	Preemptions int
	// InterRegionBytes is what passed between regions.
	InterRegionBytes int
}

// ClassResult is what the callers of one class got.
type ClassResult struct {
	// Name is the class.
	Name string
	// Requests counts the requests, Served those that were answered whole, InTime those that also kept the targets.
	Requests int
	Served   int
	InTime   int
	// Refused counts refusals; Retried counts those who came back as told, and RetriedServed those of them that were
	// then served.
	Refused       int
	Retried       int
	RetriedServed int
	// Worth is what was earned, MaxWorth what would be if all were in time.
	Worth    float64
	MaxWorth float64
	// Seconds are the requests asked in each second of the run and those of them that were in time.
	Seconds []Second

	class  Class
	firsts []time.Duration
	gaps   []time.Duration
}

// Second counts the requests that were asked in one second.
type Second struct {
	Requests int
	InTime   int
}

func newResult(spec Spec) *Result {
	result := &Result{}
	for _, class := range spec.Classes {
		result.Classes = append(result.Classes, &ClassResult{
			Name:    class.Name,
			Seconds: make([]Second, int(spec.Duration/time.Second)+1),
			class:   class,
		})
	}
	return result
}

// weight is the worth of a request by its size, as the users count it.
func (c *ClassResult) weight(r *request) float64 {
	const (
		fixed    = 0.3
		bySize   = 0.7
		atMost   = 4
		plainOne = 1
	)
	if len(r.prompt) == 0 {
		return plainOne
	}
	mean := float64(c.class.SharedTokens + c.class.OwnTokens)
	return min(fixed+bySize*float64(r.prompt.Tokens())/mean, atMost)
}

func (c *ClassResult) second(r *request) *Second {
	return &c.Seconds[int(r.asked.Sub(epoch)/time.Second)]
}

func (c *ClassResult) asked(request *request) {
	c.Requests++
	c.second(request).Requests++
	c.MaxWorth += c.weight(request) * c.class.Worth
}

func (c *ClassResult) served(request *request) {
	c.Served++
	if request.returned {
		c.RetriedServed++
	}
	first := request.first.Sub(request.asked)
	c.firsts = append(c.firsts, first)
	c.gaps = append(c.gaps, request.gap)
	inTime := first <= c.class.TargetLatency && (c.class.TargetGap == 0 || request.gap <= c.class.TargetGap)
	if !inTime {
		c.Worth += c.weight(request) * c.class.WorthLate
		return
	}
	c.InTime++
	c.second(request).InTime++
	c.Worth += c.weight(request) * c.class.Worth
}

// Attainment is the share of the requests that were answered within their targets; 1 where none was asked.
func (c *ClassResult) Attainment() float64 { return share(float64(c.InTime), float64(c.Requests)) }

// FirstEvent returns a quantile of the time to the first event, 0 to 1, of the requests that were served.
func (c *ClassResult) FirstEvent(quantile float64) time.Duration {
	return quantileOf(c.firsts, quantile)
}

// LongestGap returns a quantile of the longest pause in each answer, 0 to 1.
func (c *ClassResult) LongestGap(quantile float64) time.Duration { return quantileOf(c.gaps, quantile) }

// WorthShare is the share of what was owed that was earned; 1 where nothing was.
func (r *Result) WorthShare() float64 {
	var worth, owed float64
	for _, c := range r.Classes {
		worth += c.Worth
		owed += c.MaxWorth
	}
	return share(worth, owed)
}

// Goodput is the requests in time for each second of the run.
func (r *Result) Goodput() float64 {
	inTime, seconds := 0, 0
	for _, c := range r.Classes {
		inTime += c.InTime
		seconds = max(seconds, len(c.Seconds)-1)
	}
	return share(float64(inTime), float64(seconds))
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

func quantileOf(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(quantile*float64(len(sorted)-1))]
}
