package claim

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// move is one thing that can happen in a world.
type move struct {
	name string
	do   func(w *world)
}

type bounds struct {
	submits int
	lost    int
	kills   int
	expires int
	release int
}

// moves lists what can happen next, within the bounds.
func (w *world) moves(b bounds) []move {
	var list []move
	add := func(name string, do func(w *world)) {
		list = append(list, move{
			name: name,
			do:   do,
		})
	}
	killed, expired := 0, 0
	for _, n := range w.nodes {
		if n.dead {
			killed++
		}
		if n.expired {
			expired++
		}
	}
	released := len(w.notRun)
	for i, n := range w.nodes {
		if n.dead {
			continue
		}
		if n.submitted < b.submits {
			add(fmt.Sprint("submit ", i), func(w *world) { w.submit(i) })
		}
		if n.read < len(w.log) {
			add(fmt.Sprint("read ", i), func(w *world) { w.readOne(i) })
		}
		if !n.claimer.logDown && n.claimer.failing && expired < b.expires {
			add(fmt.Sprint("log out ", i), func(w *world) { w.logOut(i) })
		}
		if !n.expired && expired < b.expires && n.submitted > 0 {
			add(fmt.Sprint("expire ", i), func(w *world) { w.expire(i) })
		}
		if killed < b.kills && n.submitted > 0 {
			add(fmt.Sprint("kill ", i), func(w *world) { w.nodes[i].dead = true })
		}
		for _, id := range w.dispatched(i) {
			add("execute "+id, func(w *world) { w.execute(i, id) })
			if released < b.release {
				add("release "+id, func(w *world) { w.release(i, id) })
			}
		}
	}
	lost := 0
	for _, a := range w.appends {
		if a.lost {
			lost++
		}
	}
	for k, a := range w.appends {
		alive := !w.nodes[a.node].dead
		if !a.applied && (a.lost || !alive) {
			add(fmt.Sprint("late effect ", k), func(w *world) { w.effect(w.appends[k]) })
		}
		if !a.applied && !a.lost && alive {
			add(fmt.Sprint("append ", k), func(w *world) { w.append(w.appends[k]) })
		}
		if !a.done && alive && lost < b.lost {
			add(fmt.Sprint("lose ", k), func(w *world) { w.lose(w.appends[k]) })
		}
	}
	return list
}

func replay(nodes int, b bounds, path []int) *world {
	w := newWorld(nodes)
	for _, step := range path {
		w.moves(b)[step].do(w)
	}
	return w
}

// explore visits every world that can be reached within the bounds, and returns how many there are.
func explore(t *testing.T, nodes int, b bounds, limit int) int {
	t.Helper()
	visited := map[string]bool{}
	paths := [][]int{nil}
	for len(paths) > 0 {
		path := paths[len(paths)-1]
		paths = paths[:len(paths)-1]
		w := replay(nodes, b, path)
		state := w.state()
		if visited[state] {
			continue
		}
		visited[state] = true
		if broken := w.violation(); broken != "" {
			t.Fatalf("%s after %s", broken, names(nodes, b, path))
		}
		if len(visited) > limit {
			t.Fatalf("more than %d worlds; the exploration would not be exhaustive", limit)
		}
		list := w.moves(b)
		if len(list) == 0 {
			checkSettled(t, w)
		}
		for step := range list {
			next := append(append(make([]int, 0, len(path)+1), path...), step)
			paths = append(paths, next)
		}
	}
	return len(visited)
}

// checkSettled asks for the key once more when nothing else can happen: it must run, unless it may have run before.
func checkSettled(t *testing.T, w *world) {
	t.Helper()
	for _, n := range w.nodes {
		if n.dead {
			return
		}
	}
	ran := len(w.executed) > 0
	fresh := newWorld(1).nodes[0]
	w.nodes = append(w.nodes, fresh)
	last := len(w.nodes) - 1
	for fresh.read < len(w.log) {
		w.readOne(last)
	}
	w.submit(last)
	for _, a := range w.appends {
		if a.node == last {
			w.append(a)
			w.readOne(last)
		}
	}
	verdict := w.told[fmt.Sprintf("node%d-1", last)]
	if ran && verdict != Replay || !ran && verdict != Dispatch {
		t.Fatalf("ran before: %t, yet a new request is told %s", ran, verdict)
	}
}

func names(nodes int, b bounds, path []int) []string {
	w := newWorld(nodes)
	var list []string
	for _, step := range path {
		m := w.moves(b)[step]
		list = append(list, m.name)
		m.do(w)
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
			name:  "two nodes, a lost answer",
			nodes: 2,
			bounds: bounds{
				submits: 1,
				lost:    1,
			},
		},
		{
			name:  "two nodes, a kill at any step",
			nodes: 2,
			bounds: bounds{
				submits: 1,
				kills:   1,
			},
		},
		{
			name:  "two nodes, a release before the first byte",
			nodes: 2,
			bounds: bounds{
				submits: 1,
				release: 1,
			},
		},
		{
			name:  "one node asked twice, a deadline passed and an answer lost",
			nodes: 1,
			bounds: bounds{
				submits: 2,
				lost:    1,
				expires: 1,
			},
		},
		{
			name:  "two nodes, with an expiry and a lost answer",
			nodes: 2,
			bounds: bounds{
				submits: 1,
				lost:    1,
				expires: 1,
			},
		},
		{
			name:  "one node asked three times, with an expiry",
			nodes: 1,
			bounds: bounds{
				submits: 3,
				expires: 1,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			const limit = 400_000
			t.Logf("%d worlds", explore(t, c.nodes, c.bounds, limit))
		})
	}
}

// A fold that let a second claim take over a held key must be caught by the exploration's check.
func TestTheCheckSeesATakeOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.told["node0-1"] = Dispatch
	w.told["node1-1"] = Dispatch
	w.execute(0, "node0-1")
	is.Equal(w.violation(), "")
	w.execute(1, "node1-1")
	is.Equal(w.violation(), "ran 2 times")
}

// Longer random histories with every fault at once.
func TestRandomHistoriesRunAKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds{
			submits: 3,
			lost:    4,
			kills:   2,
			expires: 2,
			release: 2,
		}
		w := newWorld(4)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			list := w.moves(b)
			if len(list) == 0 {
				return
			}
			m := list[rapid.IntRange(0, len(list)-1).Draw(t, "move")]
			m.do(w)
			if broken := w.violation(); broken != "" {
				t.Fatalf("%s after %s", broken, m.name)
			}
		}
	})
}
