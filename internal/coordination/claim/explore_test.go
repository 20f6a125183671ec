package claim

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// transition is one step that a simulation can take.
type transition struct {
	name  string
	apply func(sim *simulation)
}

// bounds limits how often each event and fault occurs in a simulation. The limit submits is per node; releases also
// counts attempts that got NotRun without a release.
type bounds struct {
	submits         int
	lostAnswers     int
	kills           int
	passedDeadlines int
	releases        int
}

// transitions returns the steps that are possible next, within the bounds.
func (sim *simulation) transitions(b bounds) []transition {
	var list []transition
	add := func(name string, apply func(sim *simulation)) {
		list = append(list, transition{
			name:  name,
			apply: apply,
		})
	}
	killed, deadlinesPassed := 0, 0
	for _, n := range sim.nodes {
		if n.killed {
			killed++
		}
		if n.deadlinePassed {
			deadlinesPassed++
		}
	}
	notRun := len(sim.notRun)
	for i, n := range sim.nodes {
		if n.killed {
			continue
		}
		if n.submitted < b.submits {
			add(fmt.Sprint("submit ", i), func(sim *simulation) { sim.submit(i) })
		}
		if n.nextOffset < len(sim.log) {
			add(fmt.Sprint("read ", i), func(sim *simulation) { sim.readOne(i) })
		}
		// Interruptions have no limit of their own; they occur until all deadlines within the bounds have passed.
		if !n.claimer.logDown && n.claimer.appendFailed && deadlinesPassed < b.passedDeadlines {
			add(fmt.Sprint("interrupt reads ", i), func(sim *simulation) { sim.interruptReads(i) })
		}
		if !n.deadlinePassed && deadlinesPassed < b.passedDeadlines && n.submitted > 0 {
			add(fmt.Sprint("pass deadline ", i), func(sim *simulation) { sim.passDeadline(i) })
		}
		if killed < b.kills && n.submitted > 0 {
			add(fmt.Sprint("kill ", i), func(sim *simulation) { sim.nodes[i].killed = true })
		}
		for _, id := range sim.dispatched(i) {
			add("execute "+id, func(sim *simulation) { sim.execute(i, id) })
			if notRun < b.releases {
				add("release "+id, func(sim *simulation) { sim.release(i, id) })
			}
		}
	}
	lost := 0
	for _, a := range sim.appends {
		if a.answerLost {
			lost++
		}
	}
	for k, a := range sim.appends {
		alive := !sim.nodes[a.node].killed
		if !a.inLog && (a.answerLost || !alive) {
			add(fmt.Sprint("late append ", k), func(sim *simulation) { sim.appendToLog(sim.appends[k]) })
		}
		if !a.inLog && !a.answerLost && alive {
			add(fmt.Sprint("append ", k), func(sim *simulation) { sim.completeAppend(sim.appends[k]) })
		}
		if !a.done && alive && lost < b.lostAnswers {
			add(fmt.Sprint("lose answer ", k), func(sim *simulation) { sim.loseAnswer(sim.appends[k]) })
		}
	}
	return list
}

// replay takes the steps of path, each an index into the transitions possible at that point, from the initial state.
func replay(nodes int, b bounds, path []int) *simulation {
	sim := newSimulation(nodes)
	for _, step := range path {
		sim.transitions(b)[step].apply(sim)
	}
	return sim
}

// explore visits all states that are reachable within the bounds, and returns their number.
func explore(t *testing.T, nodes int, b bounds, limit int) int {
	t.Helper()
	visited := map[string]bool{}
	paths := [][]int{nil}
	for len(paths) > 0 {
		path := paths[len(paths)-1]
		paths = paths[:len(paths)-1]
		sim := replay(nodes, b, path)
		state := sim.state()
		if visited[state] {
			continue
		}
		visited[state] = true
		if broken := sim.violation(); broken != "" {
			t.Fatalf("%s after %s", broken, transitionNames(nodes, b, path))
		}
		if len(visited) > limit {
			t.Fatalf("more than %d states; the exploration would not be exhaustive", limit)
		}
		list := sim.transitions(b)
		if len(list) == 0 {
			checkFinalState(t, sim)
		}
		for step := range list {
			next := append(append(make([]int, 0, len(path)+1), path...), step)
			paths = append(paths, next)
		}
	}
	return len(visited)
}

// checkFinalState submits one more request from a new node when no transition is left. It must get Dispatch if no
// earlier request ran, and Replay otherwise. A state with a killed node is skipped, as its claim may lack an outcome.
func checkFinalState(t *testing.T, sim *simulation) {
	t.Helper()
	for _, n := range sim.nodes {
		if n.killed {
			return
		}
	}
	ran := len(sim.executed) > 0
	fresh := newSimulation(1).nodes[0]
	sim.nodes = append(sim.nodes, fresh)
	last := len(sim.nodes) - 1
	for fresh.nextOffset < len(sim.log) {
		sim.readOne(last)
	}
	sim.submit(last)
	for _, a := range sim.appends {
		if a.node == last {
			sim.completeAppend(a)
			sim.readOne(last)
		}
	}
	verdict := sim.verdicts[fmt.Sprintf("node%d-1", last)]
	if ran && verdict != Replay || !ran && verdict != Dispatch {
		t.Fatalf("ran before: %t, but a new request got verdict %s", ran, verdict)
	}
}

// transitionNames returns the names of the steps of path.
func transitionNames(nodes int, b bounds, path []int) []string {
	sim := newSimulation(nodes)
	var list []string
	for _, step := range path {
		chosen := sim.transitions(b)[step]
		list = append(list, chosen.name)
		chosen.apply(sim)
	}
	return list
}

func TestEveryInterleavingRunsAKeyAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		nodes  int
		bounds bounds
	}{
		{
			name:  "two nodes, one lost answer",
			nodes: 2,
			bounds: bounds{
				submits:     1,
				lostAnswers: 1,
			},
		},
		{
			name:  "two nodes, one killed at any step",
			nodes: 2,
			bounds: bounds{
				submits: 1,
				kills:   1,
			},
		},
		{
			name:  "two nodes, one release before the first byte",
			nodes: 2,
			bounds: bounds{
				submits:  1,
				releases: 1,
			},
		},
		{
			name:  "one node with two requests, a passed deadline and a lost answer",
			nodes: 1,
			bounds: bounds{
				submits:         2,
				lostAnswers:     1,
				passedDeadlines: 1,
			},
		},
		{
			name:  "two nodes, a passed deadline and a lost answer",
			nodes: 2,
			bounds: bounds{
				submits:         1,
				lostAnswers:     1,
				passedDeadlines: 1,
			},
		},
		{
			name:  "one node with three requests and a passed deadline",
			nodes: 1,
			bounds: bounds{
				submits:         3,
				passedDeadlines: 1,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			const limit = 400_000
			t.Logf("%d states", explore(t, c.nodes, c.bounds, limit))
		})
	}
}

// Checks that violation reports a second execution, which would happen if the index let a claim take over a held key.
func TestViolationDetectsSecondExecution(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2)
	sim.verdicts["node0-1"] = Dispatch
	sim.verdicts["node1-1"] = Dispatch
	sim.execute(0, "node0-1")
	is.Equal(sim.violation(), "")
	sim.execute(1, "node1-1")
	is.Equal(sim.violation(), "ran 2 times")
}

// Runs longer random histories than the exhaustive exploration, with all faults combined.
func TestRandomHistoriesRunAKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds{
			submits:         3,
			lostAnswers:     4,
			kills:           2,
			passedDeadlines: 2,
			releases:        2,
		}
		sim := newSimulation(4)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			list := sim.transitions(b)
			if len(list) == 0 {
				return
			}
			chosen := list[rapid.IntRange(0, len(list)-1).Draw(t, "transition")]
			chosen.apply(sim)
			if broken := sim.violation(); broken != "" {
				t.Fatalf("%s after %s", broken, chosen.name)
			}
		}
	})
}
