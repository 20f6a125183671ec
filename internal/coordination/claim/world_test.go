package claim

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

var sealer = record.Sealer{Secret: []byte("secret of the tests")}

const (
	testStream = "claims-0"
	testKey    = "mill/orders/cut-1"
	lifetime   = time.Hour
)

// world is a log, some nodes with one request each for the same key, and the appends between them.
type world struct {
	log      []wire.LogRecord
	nodes    []*worldNode
	appends  []*worldAppend
	executed map[string]int
	told     map[string]Verdict
	notRun   map[string]bool
	now      time.Time
}

type worldNode struct {
	claimer   *Claimer
	read      int
	submitted int
	dead      bool
	expired   bool
}

type worldAppend struct {
	node    int
	batch   int
	records []wire.ClaimRecord
	applied bool
	done    bool
	lost    bool
}

func newWorld(nodes int) *world {
	w := &world{
		executed: map[string]int{},
		told:     map[string]Verdict{},
		notRun:   map[string]bool{},
		now:      time.Unix(1000, 0),
	}
	for range nodes {
		index := &Index{
			Sealer:   sealer,
			Stream:   testStream,
			Lifetime: lifetime,
		}
		index.Restart(0, 0)
		w.nodes = append(w.nodes, &worldNode{claimer: NewClaimer(index)})
	}
	return w
}

func (w *world) apply(node int, actions Actions) {
	if actions.Append != nil {
		w.appends = append(w.appends, &worldAppend{
			node:    node,
			batch:   actions.Append.Batch,
			records: actions.Append.Records,
		})
	}
	for _, decision := range actions.Decisions {
		w.told[decision.Attempt] = decision.Verdict
		if decision.Verdict == NotRun {
			w.notRun[decision.Attempt] = true
		}
	}
}

func (w *world) submit(node int) {
	n := w.nodes[node]
	n.submitted++
	id := fmt.Sprintf("node%d-%d", node, n.submitted)
	w.apply(node, n.claimer.Submit(id, testKey, "digest", w.now.Add(time.Second)))
}

// effect lets an append take effect in the log, however late.
func (w *world) effect(a *worldAppend) {
	a.applied = true
	for _, r := range a.records {
		data, err := sealer.Seal(testStream, r)
		if err != nil {
			panic(err)
		}
		w.log = append(w.log, wire.LogRecord{
			Offset: len(w.log),
			TimeMs: int(w.now.UnixMilli()),
			Data:   data,
		})
	}
}

// append lets an append take effect and delivers its answer.
func (w *world) append(a *worldAppend) {
	w.effect(a)
	a.done = true
	w.apply(a.node, w.nodes[a.node].claimer.AppendDone(a.batch, Appended))
}

// lose delivers no answer; the effect may still come, or have come.
func (w *world) lose(a *worldAppend) {
	a.done = true
	a.lost = true
	w.apply(a.node, w.nodes[a.node].claimer.AppendDone(a.batch, MaybeAppended))
	w.apply(a.node, w.nodes[a.node].claimer.Tick(w.timeOf(w.nodes[a.node])))
}

func (w *world) readOne(node int) {
	n := w.nodes[node]
	entry := w.log[n.read]
	n.read++
	w.apply(node, n.claimer.ApplyRecord(entry, w.timeOf(n)))
}

func (w *world) timeOf(n *worldNode) time.Time {
	if n.expired {
		return w.now.Add(2 * time.Second)
	}
	return w.now
}

func (w *world) expire(node int) {
	n := w.nodes[node]
	n.expired = true
	w.apply(node, n.claimer.Tick(w.timeOf(n)))
}

// logOut tells a node that reads fail too, and then that they work again.
func (w *world) logOut(node int) {
	n := w.nodes[node]
	w.apply(node, n.claimer.SetLogDown(true))
	w.apply(node, n.claimer.SetLogDown(false))
}

// dispatched returns the attempts that may run and have neither run nor been released.
func (w *world) dispatched(node int) []string {
	var ids []string
	for id, verdict := range w.told {
		if verdict == Dispatch && w.executed[id] == 0 && strings.HasPrefix(id, fmt.Sprintf("node%d-", node)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (w *world) execute(node int, id string) {
	w.executed[id]++
	w.apply(node, w.nodes[node].claimer.Finish(id, wire.ClaimRecord{Outcome: string(outcome.Completed)}))
}

func (w *world) release(node int, id string) {
	w.told[id] = NotRun
	w.notRun[id] = true
	w.apply(node, w.nodes[node].claimer.Release(id))
}

// violation says which promise is broken, if any.
func (w *world) violation() string {
	sum := 0
	for id, count := range w.executed {
		sum += count
		if count > 0 && w.notRun[id] {
			return "told not-run but ran: " + id
		}
	}
	if sum > 1 {
		return fmt.Sprintf("ran %d times", sum)
	}
	return ""
}

// state is a canonical text of the world, for telling visited worlds apart.
func (w *world) state() string {
	var b strings.Builder
	for _, entry := range w.log {
		b.WriteString(entry.Data[33:])
	}
	for _, n := range w.nodes {
		c := n.claimer
		_, _ = fmt.Fprintf(&b, "|%d %d %t %t %v %v %v %v %t %t", n.read, n.submitted, n.dead, n.expired, c.pending, c.inFlight, keysOf(c.waiting), c.own, c.blocked, c.failing)
		_, _ = fmt.Fprint(&b, len(c.voiding))
	}
	for _, a := range w.appends {
		_, _ = fmt.Fprintf(&b, "|%d %d %t %t %t", a.node, a.batch, a.applied, a.done, a.lost)
	}
	_, _ = fmt.Fprint(&b, w.executed, w.told)
	return b.String()
}

func keysOf[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
