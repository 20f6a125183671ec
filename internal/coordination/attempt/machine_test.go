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

func newStateMachine(repeatable bool, budget bool) *StateMachine {
	return &StateMachine{
		Repeatable:      repeatable,
		MaxAttempts:     2,
		Deadline:        start.Add(time.Second),
		TakeRetryBudget: func() bool { return budget },
	}
}

// TestNext calls a request safe if it is repeatable, and unsafe if it is not.
func TestNext(t *testing.T) {
	late := time.Second - time.Millisecond
	for name, c := range map[string]struct {
		repeatable bool
		noBudget   bool
		streaming  bool
		after      time.Duration
		results    []Result
		want       Action
	}{
		"answered":                         {results: []Result{Answered}, want: Deliver},
		"unsafe, unsent":                   {results: []Result{Unsent}, want: Again},
		"unsafe, unsent without budget":    {noBudget: true, results: []Result{Unsent}, want: Again},
		"unsafe, not run":                  {results: []Result{NotRun}, want: Again},
		"unsafe, not run without budget":   {noBudget: true, results: []Result{NotRun}, want: Refuse},
		"unsafe, lost":                     {results: []Result{Lost}, want: Fail},
		"unsafe, failed":                   {results: []Result{Failed}, want: Deliver},
		"unsafe, not run and lost":         {results: []Result{NotRun, Lost}, want: Fail},
		"unsafe, lost at the deadline":     {after: time.Second, results: []Result{Lost}, want: Expire},
		"unsafe, unsent with no time left": {after: late, results: []Result{Unsent}, want: Refuse},
		"safe, lost":                       {repeatable: true, results: []Result{Lost}, want: Again},
		"safe, failed":                     {repeatable: true, results: []Result{Failed}, want: Again},
		"safe, failed without budget":      {repeatable: true, noBudget: true, results: []Result{Failed}, want: Deliver},
		"safe, lost without budget":        {repeatable: true, noBudget: true, results: []Result{Lost}, want: Fail},
		"safe, lost twice":                 {repeatable: true, results: []Result{Lost, Lost}, want: Fail},
		"safe, failed twice":               {repeatable: true, results: []Result{Failed, Failed}, want: Deliver},
		"safe, lost with no time left":     {repeatable: true, after: late, results: []Result{Lost}, want: Fail},
		"safe, lost, not run, no budget":   {repeatable: true, noBudget: true, results: []Result{Lost, NotRun}, want: Fail},
		"streaming, may resume":            {repeatable: true, streaming: true, results: []Result{Lost}, want: Again},
		"streaming, may not resume":        {streaming: true, results: []Result{Lost}, want: Abort},
		"streaming, other failed":          {repeatable: true, streaming: true, results: []Result{Lost, Failed}, want: Abort},
		"streaming, not run without budget": {
			repeatable: true,
			streaming:  true,
			noBudget:   true,
			results:    []Result{NotRun},
			want:       Abort,
		},
		"not run maxSends times":         {results: []Result{NotRun, NotRun, NotRun, NotRun}, want: Refuse},
		"safe, not run, failed, not run": {repeatable: true, results: []Result{NotRun, Failed, NotRun}, want: Again},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newStateMachine(c.repeatable, !c.noBudget)
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

// TestInvariantsHoldForAnyResults checks random sequences of results: the number of runs stays within the limit, a
// request that may have run is never refused, and nothing is sent again after the deadline.
func TestInvariantsHoldForAnyResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		m := newStateMachine(repeatable, true)
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
				t.Fatalf("request that is not repeatable may have run %d times", runs)
			}
			if runs > 2 {
				t.Fatalf("request may have run %d times, the limit is 2", runs)
			}
			if action == Refuse && runs > 0 {
				t.Fatal("request was refused as not run, but may have run")
			}
			if action == Again && !now.Before(m.Deadline) {
				t.Fatal("request was sent again after the deadline")
			}
			if action != Again {
				return
			}
		}
	})
}

// TestSecuredSendIsGrantedOnce guards against a send that was certain being refused when the send before it is given up, and
// against one grant that serves for two.
func TestSecuredSendIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	grants := 1
	m := newStateMachine(true, false)
	m.MaxAttempts = 3
	m.TakeRetryBudget = func() bool {
		grants--
		return grants >= 0
	}
	is.True(m.Secure())
	is.Equal(m.Next(Lost, start.Add(time.Second)), Again) // given up with no time left to look for another upstream
	is.True(!m.Secure())
	is.Equal(m.Next(Lost, start), Fail)
}
