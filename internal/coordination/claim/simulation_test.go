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

// simulation is a log and some nodes whose requests all use the same key.
//
// Each method takes one step, so that a test chooses the order of the steps.
type simulation struct {
	log     []wire.LogRecord
	nodes   []*simulatedNode
	appends []*simulatedAppend
	// executed counts the executions by attempt ID.
	executed map[string]int
	// verdicts holds the most recent verdict by attempt ID.
	verdicts map[string]Verdict
	// notRun holds the attempts that got NotRun or were released.
	notRun map[string]bool
	now    time.Time
}

// simulatedNode is a node with its position in the log.
type simulatedNode struct {
	claimer    *Claimer
	nextOffset int
	submitted  int
	killed     bool
	// deadlinePassed is set if the node's clock is past the deadlines of its attempts.
	deadlinePassed bool
}

// simulatedAppend is an append that a node has sent.
type simulatedAppend struct {
	node    int
	batch   int
	records []wire.ClaimRecord
	// inLog is set if the records are in the log.
	inLog bool
	// done is set if the answer was delivered or lost.
	done       bool
	answerLost bool
}

func newSimulation(nodes int) *simulation {
	sim := &simulation{
		executed: map[string]int{},
		verdicts: map[string]Verdict{},
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
		sim.nodes = append(sim.nodes, &simulatedNode{claimer: NewClaimer(index)})
	}
	return sim
}

func (sim *simulation) apply(node int, actions Actions) {
	if actions.Append != nil {
		sim.appends = append(sim.appends, &simulatedAppend{
			node:    node,
			batch:   actions.Append.Batch,
			records: actions.Append.Records,
		})
	}
	for _, decision := range actions.Decisions {
		sim.verdicts[decision.Attempt] = decision.Verdict
		if decision.Verdict == NotRun {
			sim.notRun[decision.Attempt] = true
		}
	}
}

func (sim *simulation) submit(node int) {
	n := sim.nodes[node]
	n.submitted++
	id := fmt.Sprintf("node%d-%d", node, n.submitted)
	sim.apply(node, n.claimer.Submit(id, testKey, "digest", sim.now.Add(time.Second)))
}

// appendToLog adds the records of an append to the log, possibly after its answer was lost or the node was killed.
func (sim *simulation) appendToLog(a *simulatedAppend) {
	a.inLog = true
	for _, r := range a.records {
		data, err := sealer.Seal(testStream, r)
		if err != nil {
			panic(err)
		}
		sim.log = append(sim.log, wire.LogRecord{
			Offset: len(sim.log),
			TimeMs: int(sim.now.UnixMilli()),
			Data:   data,
		})
	}
}

// completeAppend adds the records of an append to the log and delivers the answer.
func (sim *simulation) completeAppend(a *simulatedAppend) {
	sim.appendToLog(a)
	a.done = true
	sim.apply(a.node, sim.nodes[a.node].claimer.AppendDone(a.batch, Appended))
}

// loseAnswer reports to the node that the answer of an append was lost; the records may still reach the log.
func (sim *simulation) loseAnswer(a *simulatedAppend) {
	a.done = true
	a.answerLost = true
	sim.apply(a.node, sim.nodes[a.node].claimer.AppendDone(a.batch, MaybeAppended))
	sim.apply(a.node, sim.nodes[a.node].claimer.Tick(sim.clockOf(sim.nodes[a.node])))
}

func (sim *simulation) readOne(node int) {
	n := sim.nodes[node]
	entry := sim.log[n.nextOffset]
	n.nextOffset++
	sim.apply(node, n.claimer.ApplyRecord(entry, sim.clockOf(n)))
}

func (sim *simulation) clockOf(n *simulatedNode) time.Time {
	if n.deadlinePassed {
		return sim.now.Add(2 * time.Second)
	}
	return sim.now
}

func (sim *simulation) passDeadline(node int) {
	n := sim.nodes[node]
	n.deadlinePassed = true
	sim.apply(node, n.claimer.Tick(sim.clockOf(n)))
}

// interruptReads tells a node that reads of the log fail, and then that they work again.
func (sim *simulation) interruptReads(node int) {
	n := sim.nodes[node]
	sim.apply(node, n.claimer.SetLogDown(true))
	sim.apply(node, n.claimer.SetLogDown(false))
}

// dispatched returns the sorted IDs of a node's attempts that got Dispatch and have neither run nor been released.
func (sim *simulation) dispatched(node int) []string {
	var ids []string
	for id, verdict := range sim.verdicts {
		if verdict == Dispatch && sim.executed[id] == 0 && strings.HasPrefix(id, fmt.Sprintf("node%d-", node)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (sim *simulation) execute(node int, id string) {
	sim.executed[id]++
	sim.apply(node, sim.nodes[node].claimer.Finish(id, wire.ClaimRecord{Outcome: string(outcome.Completed)}))
}

func (sim *simulation) release(node int, id string) {
	sim.verdicts[id] = NotRun
	sim.notRun[id] = true
	sim.apply(node, sim.nodes[node].claimer.Release(id))
}

// violation describes the broken guarantee, or returns "" if none is broken.
func (sim *simulation) violation() string {
	sum := 0
	for id, count := range sim.executed {
		sum += count
		if count > 0 && sim.notRun[id] {
			return "got verdict not-run but ran: " + id
		}
	}
	if sum > 1 {
		return fmt.Sprintf("ran %d times", sum)
	}
	return ""
}

// state returns a canonical text of the simulation, which identifies visited states. It leaves out the authentication
// code of each record, which is 32 hex digits and a space.
func (sim *simulation) state() string {
	var b strings.Builder
	for _, entry := range sim.log {
		b.WriteString(entry.Data[33:])
	}
	for _, n := range sim.nodes {
		c := n.claimer
		_, _ = fmt.Fprintf(&b, "|%d %d %t %t %v %v %v %v %t %t", n.nextOffset, n.submitted, n.killed, n.deadlinePassed,
			c.queue, c.inFlight, sortedKeys(c.waiting), c.dispatched, c.appendsPaused, c.appendFailed)
		_, _ = fmt.Fprint(&b, len(c.unconfirmedVoids))
	}
	for _, a := range sim.appends {
		_, _ = fmt.Fprintf(&b, "|%d %d %t %t %t", a.node, a.batch, a.inLog, a.done, a.answerLost)
	}
	_, _ = fmt.Fprint(&b, sim.executed, sim.verdicts)
	return b.String()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
