package site

import (
	"slices"
	"time"

	"lagoongw/internal/coordination/calibration"
)

// Result holds the figures of one run: the results of the callers and the work of the engines and links.
type Result struct {
	// Classes has the order of Spec.Classes.
	Classes []*ClassResult
	// PrefilledTokens is the number of prompt tokens that engines prefilled, RepeatedPrefillTokens the number of those
	// in shared parts that any engine had prefilled before, and WastedPrefillTokens the number of tokens prefilled for
	// requests that were canceled at their deadline.
	PrefilledTokens       int
	RepeatedPrefillTokens int
	WastedPrefillTokens   int
	// Preemptions is the number of preemptions at the engines.
	Preemptions int
	// InterRegionBytes is the number of bytes sent between regions, counted only if Spec.LinkMegabitsPerSecond is set.
	InterRegionBytes int
	// Learned is what the first node had learned of the speed of the engines at the end of Spec.Duration.
	Learned calibration.Profile
}

// ClassResult holds the results of one class of requests.
type ClassResult struct {
	// Name is the name of the class.
	Name string
	// Requests is the number of requests, Served the number of those with a complete response, and InTime the number of
	// those that also met the targets.
	Requests int
	Served   int
	InTime   int
	// Refused is the number of refusals, Retried the number of retries after a refusal, and RetriedServed the number of
	// requests that were served after a retry.
	Refused       int
	Retried       int
	RetriedServed int
	// Worth is the value of all responses, and MaxWorth the value if all requests were served within their targets.
	Worth    float64
	MaxWorth float64
	// Seconds holds the counts of the requests by the second of their arrival.
	Seconds []Second

	class           Class
	firstEventTimes []time.Duration
	longestGaps     []time.Duration
}

// Second counts the requests that arrived in one second, and those of them that were served within their targets.
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

// sizeWeight returns the factor by which the value of a request is multiplied, as the users calculate it. It grows with
// the length of the prompt relative to the mean of the class.
func (c *ClassResult) sizeWeight(r *request) float64 {
	const (
		baseWeight        = 0.3
		weightPerMeanSize = 0.7
		maxWeight         = 4
		serviceWeight     = 1
	)
	if len(r.prompt) == 0 {
		return serviceWeight
	}
	mean := float64(c.class.SharedTokens + c.class.OwnTokens)
	return min(baseWeight+weightPerMeanSize*float64(r.prompt.Tokens())/mean, maxWeight)
}

func (c *ClassResult) secondOf(r *request) *Second {
	return &c.Seconds[int(r.arrivedAt.Sub(epoch)/time.Second)]
}

func (c *ClassResult) recordRequest(request *request) {
	c.Requests++
	c.secondOf(request).Requests++
	c.MaxWorth += c.sizeWeight(request) * c.class.Worth
}

func (c *ClassResult) recordServed(request *request) {
	c.Served++
	if request.retried {
		c.RetriedServed++
	}
	first := request.firstEventAt.Sub(request.arrivedAt)
	c.firstEventTimes = append(c.firstEventTimes, first)
	c.longestGaps = append(c.longestGaps, request.longestGap)
	inTime := first <= c.class.TargetLatency && (c.class.TargetGap == 0 || request.longestGap <= c.class.TargetGap)
	if !inTime {
		c.Worth += c.sizeWeight(request) * c.class.WorthLate
		return
	}
	c.InTime++
	c.secondOf(request).InTime++
	c.Worth += c.sizeWeight(request) * c.class.Worth
}

// Attainment returns the share of the requests that were served within their targets, 1 if there were no requests.
func (c *ClassResult) Attainment() float64 { return ratio(float64(c.InTime), float64(c.Requests)) }

// FirstEvent returns a quantile, 0 to 1, of the time to the first event of the served requests.
func (c *ClassResult) FirstEvent(quantile float64) time.Duration {
	return quantileOfDurations(c.firstEventTimes, quantile)
}

// LongestGap returns a quantile, 0 to 1, of the longest pause between events in each served response.
func (c *ClassResult) LongestGap(quantile float64) time.Duration {
	return quantileOfDurations(c.longestGaps, quantile)
}

// WorthShare returns the ratio of the value of all responses to its maximum, 1 if the maximum is 0.
func (r *Result) WorthShare() float64 {
	var worth, maxWorth float64
	for _, c := range r.Classes {
		worth += c.Worth
		maxWorth += c.MaxWorth
	}
	return ratio(worth, maxWorth)
}

// Goodput returns the number of requests per second that were served within their targets.
func (r *Result) Goodput() float64 {
	inTime, seconds := 0, 0
	for _, c := range r.Classes {
		inTime += c.InTime
		seconds = max(seconds, len(c.Seconds)-1)
	}
	return ratio(float64(inTime), float64(seconds))
}

func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 1
	}
	return numerator / denominator
}

func quantileOfDurations(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(quantile*float64(len(sorted)-1))]
}
