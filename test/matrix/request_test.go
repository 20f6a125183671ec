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

// rules returns rules like those of fleet.Rules, with deadlines short enough to wait for them in each case of a matrix.
func rules() string {
	return fmt.Sprintf(`team=mill token-sha256=%s # shift leads
rule=cut-orders service=orders method=POST class=cut-order tier=0 deadline=1500ms idempotent=no # the line
rule=stock service=orders method=GET class=stock tier=1 deadline=1500ms idempotent=yes # planning
rule=general service=chat class=changeover tier=1 deadline=12s idempotent=yes # shift leads
`, rule.HashToken(fleet.MillToken))
}

// requestKind is a kind of request that the matrix covers.
type requestKind struct {
	name string
	// atMostOnce says that the request must not be executed more than once.
	atMostOnce bool
	// keyed says that the request has an idempotency key.
	keyed bool
	// send sends the request to a node.
	send func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error)
}

// maxTokens is the output length that chat requests ask for, and that stand-in engines always generate in full.
const maxTokens = 6

var requestKinds = []requestKind{
	{
		name:       "keyed order",
		atMostOnce: true,
		keyed:      true,
		send: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostOrder(ctx, n.Process(), fleet.MillToken, key, key)
		},
	},
	{
		name:       "order without key",
		atMostOnce: true,
		send: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostOrder(ctx, n.Process(), fleet.MillToken, "", key)
		},
	},
	{
		name: "stock",
		send: func(ctx context.Context, n *lab.Node, _ string) (fleet.Response, error) {
			return fleet.GetStock(ctx, n.Process(), fleet.MillToken)
		},
	},
	{
		name: "chat",
		send: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostChat(ctx, n.Process(), fleet.MillToken, key, maxTokens, false)
		},
	},
	{
		name: "streamed chat",
		send: func(ctx context.Context, n *lab.Node, key string) (fleet.Response, error) {
			return fleet.PostChat(ctx, n.Process(), fleet.MillToken, key, maxTokens, true)
		},
	},
}

// faultCase is a fault at one step of a request.
type faultCase struct {
	name  string
	fault standin.Fault
	// allUpstreams sets the fault on every upstream; otherwise one of each kind has no fault.
	allUpstreams bool
	// onLog sets the fault on the platform, which holds the log, instead of the upstreams.
	onLog bool
	// kindFilter, if not empty, limits the case to request kinds whose name contains it.
	kindFilter string
}

// once returns a fault that occurs once.
func once(kind string) standin.Fault {
	return standin.Fault{
		Kind:  kind,
		Times: 1,
	}
}

// delayed returns a fault that occurs once and takes effect after a delay.
func delayed(kind string, delay time.Duration) standin.Fault {
	return standin.Fault{
		Kind:    kind,
		Times:   1,
		DelayMs: int(delay.Milliseconds()),
	}
}

// always returns a fault that occurs until it is cleared.
func always(kind string) standin.Fault {
	return standin.Fault{
		Kind:  kind,
		Times: -1,
	}
}

var faultCases = []faultCase{
	{name: "no fault"},
	{
		name:  "upstream refuses before any effect",
		fault: once(standin.FaultRefuse),
	},
	{
		name:         "every upstream refuses before any effect",
		fault:        always(standin.FaultRefuse),
		allUpstreams: true,
	},
	{
		name:  "upstream crashes before the effect",
		fault: once(standin.FaultCrash),
	},
	{
		name:  "upstream hangs before the effect",
		fault: once(standin.FaultHang),
	},
	{
		name:         "upstream answers after the deadline",
		fault:        delayed(standin.FaultSlow, 3*time.Second),
		allUpstreams: true,
		kindFilter:   "order",
	},
	{
		name:       "answer lost after the effect",
		fault:      once(standin.FaultLoseAnswer),
		kindFilter: "order",
	},
	{
		name:  "answer of another request",
		fault: once(standin.FaultMismatchedAnswer),
	},
	{
		name:       "piece repeated",
		fault:      once(standin.FaultRepeatEvent),
		kindFilter: "stream",
	},
	{
		name:       "piece missing",
		fault:      once(standin.FaultSkipEvent),
		kindFilter: "stream",
	},
	{
		name:       "stream cut short",
		fault:      once(standin.FaultTruncateStream),
		kindFilter: "stream",
	},
	{
		name:       "connection silent in the middle",
		fault:      once(standin.FaultStallStream),
		kindFilter: "stream",
	},
	{
		name:       "log refuses the claim",
		fault:      always(standin.FaultRefuse),
		onLog:      true,
		kindFilter: "keyed",
	},
	{
		name:       "log hangs on the claim",
		fault:      always(standin.FaultHang),
		onLog:      true,
		kindFilter: "keyed",
	},
	{
		name:       "claim's answer lost after the effect",
		fault:      once(standin.FaultLoseAnswer),
		onLog:      true,
		kindFilter: "keyed",
	},
	{
		name:       "claim takes effect after the timeout",
		fault:      delayed(standin.FaultLateApply, 2500*time.Millisecond),
		onLog:      true,
		kindFilter: "keyed",
	},
}

func (c faultCase) appliesTo(k requestKind) bool {
	return c.kindFilter == "" || strings.Contains(k.name, c.kindFilter)
}

// cell is the result of one fault case for one kind of request.
type cell struct {
	firstOutcome string
	// repeatOutcome is the outcome after repeating a keyed request, "-" for others.
	repeatOutcome string
	executions    int
}

// runCell sends a request under a fault, repeats it without the fault if it has a key, and checks each outcome.
func runCell(t *testing.T, k requestKind, c faultCase) cell {
	t.Helper()
	l := lab.Start(t, lab.Settings{
		Nodes:    2,
		Engines:  3,
		Services: 3,
		Rules:    rules(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	setFaults(l, c)
	key := "key of " + k.name
	first, err := k.send(ctx, l.Nodes[0], key)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	l.WaitIdle()
	checkOutcome(t, l, k, first, key)
	clearFaults(l, c)
	result := cell{
		firstOutcome:  first.Outcome,
		repeatOutcome: "-",
	}
	if k.keyed {
		result.repeatOutcome = repeatRequest(ctx, t, l, k, key)
	}
	l.WaitIdle()
	result.executions = l.Executions()[key]
	if k.atMostOnce && result.executions > 1 {
		t.Fatalf("request executed %d times", result.executions)
	}
	return result
}

// setFaults sets the fault of a case on the platform, on every upstream, or on two of the three upstreams of each kind.
func setFaults(l *lab.Lab, c faultCase) {
	if c.fault.Kind == "" {
		return
	}
	if c.onLog {
		l.Platform.Set(c.fault)
		return
	}
	faulty := 2
	if c.allUpstreams {
		faulty = 3
	}
	for i := range faulty {
		l.Engines[i].Set(c.fault)
		l.Services[i].Set(c.fault)
	}
}

func clearFaults(l *lab.Lab, c faultCase) {
	c.fault.Times = 0
	l.Platform.Set(c.fault)
	for i := range l.Services {
		l.Services[i].Set(c.fault)
		l.Engines[i].Set(c.fault)
	}
}

// checkOutcome fails the test if the outcome or the content of a response contradicts the executions.
func checkOutcome(t *testing.T, l *lab.Lab, k requestKind, response fleet.Response, key string) {
	t.Helper()
	executions := l.Executions()[key]
	switch {
	case k.atMostOnce && response.Outcome == "not-run" && executions > 0:
		t.Fatalf("outcome is not-run, but the request was executed %d times", executions)
	case k.atMostOnce && response.Outcome == "completed" && executions != 1:
		t.Fatalf("outcome is completed, but the request was executed %d times", executions)
	case k.name == "streamed chat" && response.Outcome == "completed" &&
		(!response.Complete || response.Text != expectedText(key)):
		t.Fatalf("outcome is completed, but the text is %q", response.Text)
	case k.name == "chat" && response.Outcome == "completed" && !strings.Contains(response.Body, expectedText(key)):
		t.Fatalf("outcome is completed, but the body is %q", response.Body)
	case response.RequestID == "":
		t.Fatal("response without request ID")
	}
}

// expectedText returns the text that a stand-in engine generates for a prompt.
func expectedText(prompt string) string {
	seed := standin.Seed(wire.ChatRequest{Messages: []wire.ChatMessage{{
		Role:    "user",
		Content: prompt,
	}}})
	text := ""
	for i := range maxTokens {
		text += standin.Word(seed, i)
	}
	return text
}

// repeatRequest repeats a request at the second node, as a caller that honours Retry-After would, until it is completed
// or maxAttempts are used up, and returns the last outcome.
func repeatRequest(ctx context.Context, t *testing.T, l *lab.Lab, k requestKind, key string) string {
	t.Helper()
	const maxAttempts = 8
	outcome := ""
	for range maxAttempts {
		time.Sleep(300 * time.Millisecond)
		response, err := k.send(ctx, l.Nodes[1], key)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		checkOutcome(t, l, k, response, key)
		outcome = response.Outcome
		if outcome == "completed" {
			return outcome
		}
	}
	return outcome
}

// TestRequestMatrix sends each kind of request under each fault and compares the outcomes with docs/FAULTS.md.
func TestRequestMatrix(t *testing.T) {
	var mu sync.Mutex
	cells := map[string]cell{}
	t.Run("cells", func(t *testing.T) {
		for _, c := range faultCases {
			for _, k := range requestKinds {
				if !c.appliesTo(k) {
					continue
				}
				t.Run(c.name+"/"+k.name, func(t *testing.T) {
					t.Parallel()
					result := runCell(t, k, c)
					mu.Lock()
					defer mu.Unlock()
					cells[c.name+"/"+k.name] = result
				})
			}
		}
	})
	var rows []string
	for _, c := range faultCases {
		for _, k := range requestKinds {
			if result, ok := cells[c.name+"/"+k.name]; ok {
				executions := "-"
				if k.atMostOnce {
					executions = fmt.Sprint(result.executions)
				}
				rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %s |",
					c.name, k.name, result.firstOutcome, result.repeatOutcome, executions))
			}
		}
	}
	compareGolden(t, "request", append([]string{
		"| fault | request | told first | told when asked again | times run |",
		"|---|---|---|---|---|",
	}, rows...))
}
