package matrix

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
	"lagoongw/test/fleet"
	"lagoongw/test/lab"
	"lagoongw/test/standin"
)

// rules are those of the fleet with deadlines short enough for a table of faults.
func rules() string {
	return fmt.Sprintf(`team=mill token-sha256=%s # shift leads
rule=cut-orders service=orders method=POST class=cut-order tier=0 deadline=1500ms idempotent=no # the line
rule=stock service=orders method=GET class=stock tier=1 deadline=1500ms idempotent=yes # planning
rule=general service=chat class=changeover tier=1 deadline=12s idempotent=yes # shift leads
`, rule.HashToken(fleet.MillToken))
}

// kind is one way to ask; run sends it through a node.
type kind struct {
	name  string
	once  bool
	keyed bool
	run   func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error)
}

const tokens = 6

var kinds = []kind{
	{
		name:  "keyed order",
		once:  true,
		keyed: true,
		run: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostOrder(ctx, n.Process(), fleet.MillToken, key, key)
		},
	},
	{
		name: "order without key",
		once: true,
		run: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostOrder(ctx, n.Process(), fleet.MillToken, "", key)
		},
	},
	{
		name: "stock",
		run: func(ctx context.Context, n *lab.Node, _ string) (fleet.Response, error) {
			return fleet.GetStock(ctx, n.Process(), fleet.MillToken)
		},
	},
	{
		name: "chat",
		run: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostChat(ctx, n.Process(), fleet.MillToken, key, tokens, false)
		},
	},
	{
		name: "streamed chat",
		run: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostChat(ctx, n.Process(), fleet.MillToken, key, tokens, true)
		},
	},
}

// strike is a fault at one step; all makes every upstream strike, else one stays sound.
type strike struct {
	step  string
	fault standin.Fault
	all   bool
	log   bool
	only  string
}

func once(kind string) standin.Fault {
	return standin.Fault{
		Kind:  kind,
		Times: 1,
	}
}

func delayed(kind string, delay time.Duration) standin.Fault {
	return standin.Fault{
		Kind:    kind,
		Times:   1,
		DelayMs: int(delay.Milliseconds()),
	}
}

func always(kind string) standin.Fault {
	return standin.Fault{
		Kind:  kind,
		Times: -1,
	}
}

var strikes = []strike{
	{step: "no fault"},
	{
		step:  "upstream refuses before any effect",
		fault: once(standin.FaultRefuse),
	},
	{
		step:  "every upstream refuses before any effect",
		fault: always(standin.FaultRefuse),
		all:   true,
	},
	{
		step:  "upstream crashes before the effect",
		fault: once(standin.FaultCrash),
	},
	{
		step:  "upstream hangs before the effect",
		fault: once(standin.FaultHang),
	},
	{
		step:  "upstream answers after the deadline",
		fault: delayed(standin.FaultSlow, 3*time.Second),
		all:   true,
		only:  "order",
	},
	{
		step:  "answer lost after the effect",
		fault: once(standin.FaultLoseAnswer),
		only:  "order",
	},
	{
		step:  "answer of another request",
		fault: once(standin.FaultMismatchedAnswer),
	},
	{
		step:  "piece repeated",
		fault: once(standin.FaultRepeatEvent),
		only:  "stream",
	},
	{
		step:  "piece missing",
		fault: once(standin.FaultSkipEvent),
		only:  "stream",
	},
	{
		step:  "stream cut short",
		fault: once(standin.FaultTruncateStream),
		only:  "stream",
	},
	{
		step:  "connection silent in the middle",
		fault: once(standin.FaultStallStream),
		only:  "stream",
	},
	{
		step:  "log refuses the claim",
		fault: always(standin.FaultRefuse),
		log:   true,
		only:  "keyed",
	},
	{
		step:  "log hangs on the claim",
		fault: always(standin.FaultHang),
		log:   true,
		only:  "keyed",
	},
	{
		step:  "claim's answer lost after the effect",
		fault: once(standin.FaultLoseAnswer),
		log:   true,
		only:  "keyed",
	},
	{
		step:  "claim takes effect after the timeout",
		fault: delayed(standin.FaultLateApply, 2500*time.Millisecond),
		log:   true,
		only:  "keyed",
	},
}

func (s strike) fits(k kind) bool {
	return s.only == "" || strings.Contains(k.name, s.only)
}

// cell is the result of one strike on one kind.
type cell struct {
	first string
	again string
	ran   int
}

func strikeCell(t *testing.T, k kind, s strike) cell {
	t.Helper()
	l := lab.Start(t, lab.Settings{
		Nodes:    2,
		Engines:  3,
		Services: 3,
		Rules:    rules(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	setFaults(l, s)
	key := "key of " + k.name
	first, err := k.run(ctx, l.Nodes[0], key)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	l.WaitIdle()
	check(t, l, k, first, key)
	clearFaults(l, s)
	result := cell{
		first: first.Outcome,
		again: "-",
	}
	if k.keyed {
		result.again = askAgain(ctx, t, l, k, key)
	}
	l.WaitIdle()
	result.ran = l.Executions()[key]
	if k.once && result.ran > 1 {
		t.Fatalf("ran %d times", result.ran)
	}
	return result
}

func setFaults(l *lab.Lab, s strike) {
	if s.fault.Kind == "" {
		return
	}
	if s.log {
		l.Platform.Set(s.fault)
		return
	}
	struck := 2
	if s.all {
		struck = 3
	}
	for i := range struck {
		l.Engines[i].Set(s.fault)
		l.Services[i].Set(s.fault)
	}
}

func clearFaults(l *lab.Lab, s strike) {
	s.fault.Times = 0
	l.Platform.Set(s.fault)
	for i := range l.Services {
		l.Services[i].Set(s.fault)
		l.Engines[i].Set(s.fault)
	}
}

// check compares what the caller was told with what ran.
func check(t *testing.T, l *lab.Lab, k kind, answer fleet.Response, key string) {
	t.Helper()
	ran := l.Executions()[key]
	switch {
	case k.once && answer.Outcome == "not-run" && ran > 0:
		t.Fatalf("told not-run, but ran %d times", ran)
	case k.once && answer.Outcome == "completed" && ran != 1:
		t.Fatalf("told completed, but ran %d times", ran)
	case k.name == "streamed chat" && answer.Outcome == "completed" && (!answer.Complete || answer.Text != wanted(key)):
		t.Fatalf("told completed, but the text is %q", answer.Text)
	case k.name == "chat" && answer.Outcome == "completed" && !strings.Contains(answer.Body, wanted(key)):
		t.Fatalf("told completed, but the body is %q", answer.Body)
	case answer.RequestID == "":
		t.Fatal("answer without request ID")
	}
}

func wanted(prompt string) string {
	seed := standin.Seed(wire.ChatRequest{Messages: []wire.ChatMessage{{
		Role:    "user",
		Content: prompt,
	}}})
	text := ""
	for i := range tokens {
		text += standin.Word(seed, i)
	}
	return text
}

// askAgain repeats the request at the other node until the word is final, as a caller with Retry-After would.
func askAgain(ctx context.Context, t *testing.T, l *lab.Lab, k kind, key string) string {
	t.Helper()
	const tries = 8
	last := ""
	for range tries {
		time.Sleep(300 * time.Millisecond)
		answer, err := k.run(ctx, l.Nodes[1], key)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		check(t, l, k, answer, key)
		last = answer.Outcome
		if last == "completed" {
			return last
		}
	}
	return last
}

func TestRequestMatrix(t *testing.T) {
	var mu sync.Mutex
	cells := map[string]cell{}
	t.Run("cells", func(t *testing.T) {
		for _, s := range strikes {
			for _, k := range kinds {
				if !s.fits(k) {
					continue
				}
				t.Run(s.step+"/"+k.name, func(t *testing.T) {
					t.Parallel()
					result := strikeCell(t, k, s)
					mu.Lock()
					defer mu.Unlock()
					cells[s.step+"/"+k.name] = result
				})
			}
		}
	})
	var rows []string
	for _, s := range strikes {
		for _, k := range kinds {
			if result, ok := cells[s.step+"/"+k.name]; ok {
				ran := "-"
				if k.once {
					ran = fmt.Sprint(result.ran)
				}
				rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %s |", s.step, k.name, result.first, result.again, ran))
			}
		}
	}
	golden(t, "request", append([]string{
		"| fault | request | told first | told when asked again | times run |",
		"|---|---|---|---|---|",
	}, rows...))
}
