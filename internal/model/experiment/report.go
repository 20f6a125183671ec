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

// estimate is a mean over the runs and how far the true one may lie from it, at a confidence of 95%.
type estimate struct {
	mean   float64
	margin float64
}

// String writes a share as the mean and its margin; one run has no margin.
func (e estimate) String() string {
	if math.IsNaN(e.margin) {
		return fmt.Sprintf("%.3f", e.mean)
	}
	return fmt.Sprintf("%.3f±%.3f", e.mean, e.margin)
}

func estimateOf(values []float64) estimate {
	const quantile = 0.975 // both sides of 95%
	mean, deviation := stat.MeanStdDev(values, nil)
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
		margin: t.Quantile(quantile) * stat.StdErr(deviation, float64(len(values))),
	}
}

// over estimates a figure over the runs.
func (o Outcome) over(figure func(r *site.Result) float64) estimate {
	var values []float64
	for _, run := range o.Runs {
		values = append(values, figure(run))
	}
	return estimateOf(values)
}

func (o Outcome) overClass(class int, figure func(c *site.ClassResult) float64) estimate {
	return o.over(func(r *site.Result) float64 { return figure(r.Classes[class]) })
}

// WriteTable writes a row for each policy: worth, the share in time of each class, and what was read in vain.
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
	_, _ = fmt.Fprintf(table, "%s\t%v\t%.1f", o.Policy.Name, o.over((*site.Result).WorthShare),
		o.over((*site.Result).Goodput).mean)
	for i := range o.Runs[0].Classes {
		first := o.overClass(i, func(c *site.ClassResult) float64 { return c.FirstEvent(p95).Seconds() })
		_, _ = fmt.Fprintf(table, "\t%v\t%.2fs", o.overClass(i, (*site.ClassResult).Attainment), first.mean)
	}
	of := func(part func(r *site.Result) int) float64 {
		return o.over(func(r *site.Result) float64 { return float64(part(r)) / float64(max(r.PrefilledTokens, 1)) }).mean
	}
	preempted := o.over(func(r *site.Result) float64 { return float64(r.Preemptions) })
	refused, returned, served := 0, 0, 0
	for _, run := range o.Runs {
		for _, c := range run.Classes {
			refused += c.Refused
			returned += c.Retried
			served += c.RetriedServed
		}
	}
	_, _ = fmt.Fprintf(table, "\t%.1f%%\t%.1f%%\t%.0f\t%d\t%d of %d\n",
		100*of(func(r *site.Result) int { return r.RepeatedPrefillTokens }),
		100*of(func(r *site.Result) int { return r.WastedPrefillTokens }),
		preempted.mean, refused, served, returned)
}

// line is what one class got in one run, as a JSON line.
type line struct {
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
				if err := encoder.Encode(lineOf(name, o.Policy.Name, seed+1, c)); err != nil {
					return eris.Wrap(err, "write line")
				}
			}
		}
	}
	return nil
}

func lineOf(name, policy string, seed int, c *site.ClassResult) line {
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return line{
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
