package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"lagoongw/internal/model/site"
)

// estimate is the mean of a sample of runs and the half-width of its 95% confidence interval, NaN for a single run.
type estimate struct {
	mean   float64
	margin float64
}

// String formats the mean and, if it is known, the margin.
func (e estimate) String() string {
	if math.IsNaN(e.margin) {
		return fmt.Sprintf("%.3f", e.mean)
	}
	return fmt.Sprintf("%.3f±%.3f", e.mean, e.margin)
}

// estimateOf estimates the mean by Student's t-distribution.
func estimateOf(values []float64) estimate {
	const quantile = 0.975 // two-sided interval of 95%
	mean, stdDev := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return estimate{
			mean:   mean,
			margin: math.NaN(),
		}
	}
	t := distuv.StudentsT{
		Sigma: 1,
		Nu:    float64(len(values) - 1),
	}
	return estimate{
		mean:   mean,
		margin: t.Quantile(quantile) * stat.StdErr(stdDev, float64(len(values))),
	}
}

// estimateMetric estimates the mean of a metric over the runs of the policy.
func (o Outcome) estimateMetric(metric func(r *site.Result) float64) estimate {
	var values []float64
	for _, run := range o.Runs {
		values = append(values, metric(run))
	}
	return estimateOf(values)
}

func (o Outcome) estimateClassMetric(class int, metric func(c *site.ClassResult) float64) estimate {
	return o.estimateMetric(func(r *site.Result) float64 { return metric(r.Classes[class]) })
}

// WriteTable writes a table with a row for each policy: worth and goodput, attainment and 95th percentile of the time
// to the first event of each class, shares of repeated and wasted prefill, preemptions, refusals, and retries. Refusals
// and retries are totals over the runs; all other values are means.
func WriteTable(out io.Writer, name string, outcomes []Outcome) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s\tworth\tin time/s", name)
	for _, c := range outcomes[0].Runs[0].Classes {
		_, _ = fmt.Fprintf(table, "\t%s\tp95 first", c.Name)
	}
	_, _ = fmt.Fprint(table, "\tread again\twasted\tpreempted\trefused\tserved of returned\n")
	for _, o := range outcomes {
		o.writeRow(table)
	}
	return table.Flush()
}

func (o Outcome) writeRow(table io.Writer) {
	const p95 = 0.95
	_, _ = fmt.Fprintf(table, "%s\t%v\t%.1f", o.Policy.Name, o.estimateMetric((*site.Result).WorthShare),
		o.estimateMetric((*site.Result).Goodput).mean)
	for i := range o.Runs[0].Classes {
		first := o.estimateClassMetric(i, func(c *site.ClassResult) float64 { return c.FirstEvent(p95).Seconds() })
		_, _ = fmt.Fprintf(table, "\t%v\t%.2fs", o.estimateClassMetric(i, (*site.ClassResult).Attainment), first.mean)
	}
	meanPrefillShare := func(tokens func(r *site.Result) int) float64 {
		return o.estimateMetric(func(r *site.Result) float64 {
			return float64(tokens(r)) / float64(max(r.PrefilledTokens, 1))
		}).mean
	}
	preempted := o.estimateMetric(func(r *site.Result) float64 { return float64(r.Preemptions) })
	refused, retried, retriedServed := 0, 0, 0
	for _, run := range o.Runs {
		for _, c := range run.Classes {
			refused += c.Refused
			retried += c.Retried
			retriedServed += c.RetriedServed
		}
	}
	_, _ = fmt.Fprintf(table, "\t%.1f%%\t%.1f%%\t%.0f\t%d\t%d of %d\n",
		100*meanPrefillShare(func(r *site.Result) int { return r.RepeatedPrefillTokens }),
		100*meanPrefillShare(func(r *site.Result) int { return r.WastedPrefillTokens }),
		preempted.mean, refused, retriedServed, retried)
}

// resultLine is the JSON line with the results of one class in one run.
type resultLine struct {
	Experiment      string  `json:"experiment"`
	Policy          string  `json:"policy"`
	Seed            int     `json:"seed"`
	Class           string  `json:"class"`
	Asked           int     `json:"asked"`
	Served          int     `json:"served"`
	InTime          int     `json:"in-time"`
	Refused         int     `json:"refused"`
	Worth           float64 `json:"worth"`
	Owed            float64 `json:"owed"`
	FirstEventP50MS float64 `json:"first-event-p50-ms"`
	FirstEventP95MS float64 `json:"first-event-p95-ms"`
	FirstEventP99MS float64 `json:"first-event-p99-ms"`
	LongestGapP95MS float64 `json:"longest-gap-p95-ms"`
}

// WriteJSONLines writes a JSON line for each policy, seed and class.
func WriteJSONLines(out io.Writer, name string, outcomes []Outcome) error {
	encoder := json.NewEncoder(out)
	for _, o := range outcomes {
		for seed, run := range o.Runs {
			for _, c := range run.Classes {
				if err := encoder.Encode(newResultLine(name, o.Policy.Name, seed+1, c)); err != nil {
					return eris.Wrap(err, "write JSON line")
				}
			}
		}
	}
	return nil
}

func newResultLine(name, policy string, seed int, c *site.ClassResult) resultLine {
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return resultLine{
		Experiment:      name,
		Policy:          policy,
		Seed:            seed,
		Class:           c.Name,
		Asked:           c.Requests,
		Served:          c.Served,
		InTime:          c.InTime,
		Refused:         c.Refused,
		Worth:           c.Worth,
		Owed:            c.MaxWorth,
		FirstEventP50MS: milliseconds(c.FirstEvent(0.5)),
		FirstEventP95MS: milliseconds(c.FirstEvent(0.95)),
		FirstEventP99MS: milliseconds(c.FirstEvent(0.99)),
		LongestGapP95MS: milliseconds(c.LongestGap(0.95)),
	}
}
