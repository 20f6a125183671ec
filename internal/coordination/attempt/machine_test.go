package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lagoongw/test/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func newMachine(repeatable bool, budget bool) *StateMachine {
	return &StateMachine{
		Repeatable:      repeatable,
		MaxAttempts:     2,
		Deadline:        start.Add(time.Second),
		TakeRetryBudget: func() bool { return budget },
	}
}

func TestWhatFollowsASend(t *testing.T) {
	late := time.Second - time.Millisecond
	for name, c := range map[string]struct {
		repeatable bool
		noBudget   bool
		streaming  bool
		after      time.Duration
		results    []Result
		want       Action
	}{
		"answered":                               {results: []Result{Answered}, want: Deliver},
		"unsafe, unsent":                         {results: []Result{Unsent}, want: Again},
		"unsafe, unsent without budget":          {noBudget: true, results: []Result{Unsent}, want: Again},
		"unsafe, not run":                        {results: []Result{NotRun}, want: Again},
		"unsafe, not run without budget":         {noBudget: true, results: []Result{NotRun}, want: Refuse},
		"unsafe, lost":                           {results: []Result{Lost}, want: Fail},
		"unsafe, failed":                         {results: []Result{Failed}, want: Deliver},
		"unsafe, not run and lost":               {results: []Result{NotRun, Lost}, want: Fail},
		"unsafe, lost at the end":                {after: time.Second, results: []Result{Lost}, want: Expire},
		"unsafe, unsent at the end":              {after: late, results: []Result{Unsent}, want: Refuse},
		"safe, lost":                             {repeatable: true, results: []Result{Lost}, want: Again},
		"safe, failed":                           {repeatable: true, results: []Result{Failed}, want: Again},
		"safe, failed without budget":            {repeatable: true, noBudget: true, results: []Result{Failed}, want: Deliver},
		"safe, lost without budget":              {repeatable: true, noBudget: true, results: []Result{Lost}, want: Fail},
		"safe, lost twice":                       {repeatable: true, results: []Result{Lost, Lost}, want: Fail},
		"safe, failed twice":                     {repeatable: true, results: []Result{Failed, Failed}, want: Deliver},
		"safe, lost with no time left":           {repeatable: true, after: late, results: []Result{Lost}, want: Fail},
		"safe, lost then refused everywhere":     {repeatable: true, noBudget: true, results: []Result{Lost, NotRun}, want: Fail},
		"stream broke off, may resume":           {repeatable: true, streaming: true, results: []Result{Lost}, want: Again},
		"stream broke off, may not":              {streaming: true, results: []Result{Lost}, want: Abort},
		"stream broke off, other failed":         {repeatable: true, streaming: true, results: []Result{Lost, Failed}, want: Abort},
		"stream broke off, others refuse":        {repeatable: true, streaming: true, noBudget: true, results: []Result{NotRun}, want: Abort},
		"refused by as many as are ever asked":   {results: []Result{NotRun, NotRun, NotRun, NotRun}, want: Refuse},
		"safe, refused then failed then refused": {repeatable: true, results: []Result{NotRun, Failed, NotRun}, want: Again},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(c.repeatable, !c.noBudget)
			if c.streaming {
				m.MarkStreaming()
			}
			var got Action
			for _, result := range c.results {
				got = m.Next(result, start.Add(c.after))
			}
			is.Equal(got.String(), c.want.String())
		})
	}
}

func TestNoOrderOfResultsBreaksAPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		m := newMachine(repeatable, true)
		m.TakeRetryBudget = func() bool { return rapid.Bool().Draw(t, "budget") }
		runs := 0
		now := start
		for {
			if rapid.Bool().Draw(t, "streaming") && runs > 0 {
				m.MarkStreaming()
			}
			result := rapid.SampledFrom([]Result{Unsent, NotRun, Lost, Failed, Answered}).Draw(t, "result")
			if result == Lost || result == Failed || result == Answered {
				runs++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			action := m.Next(result, now)
			if !repeatable && runs > 1 {
				t.Fatalf("a request that may run once may have run %d times", runs)
			}
			if runs > 2 {
				t.Fatalf("%d runs of two allowed", runs)
			}
			if action == Refuse && runs > 0 {
				t.Fatal("said not to have run, though it may have")
			}
			if action == Again && !now.Before(m.Deadline) {
				t.Fatal("sent again after the deadline")
			}
			if action != Again {
				return
			}
		}
	})
}
