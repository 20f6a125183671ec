package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// TestPathIsBrokenOnceAnotherNodeReachesTheUpstream guards against an upstream that crashed and is taken for a broken path, and
// against a path that stays broken for good.
func TestPathIsBrokenOnceAnotherNodeReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	var p Paths
	p.Opened("u1", start)
	p.Opened("u2", start)
	is.True(p.OpenedLately(start.Add(openedLifetime - 1)))
	is.True(!p.OpenedLately(start.Add(openedLifetime)))
	is.True(p.Failed("u1", start))
	is.True(!p.Failed("u1", start.Add(opinionInterval-1))) // the others are being asked
	p.Told("u1", "a", Unreached, start)
	is.True(!p.Broken("u1"))
	is.True(p.Down("u1", start))
	p.Told("u1", "b", Reached, start.Add(time.Second))
	is.True(p.Broken("u1"))
	is.True(!p.Down("u1", start.Add(time.Second)))
	is.True(!p.Broken("u2"))
	is.True(!p.CutOff()) // u2 may still be reached
	is.Equal(p.BrokenPaths(), 1)

	is.Equal(len(p.Probes(start.Add(probeInterval/2))), 0)
	probe := start.Add(time.Second + probeInterval)
	is.Equal(p.Probes(probe), []string{"u1"})
	is.Equal(len(p.Probes(probe)), 0)
	p.Opened("u1", probe)
	is.True(!p.Broken("u1"))
}

// TestNodeIsCutOffOnlyIfItHearsFromNoUpstream guards against a node that takes itself for cut off from all upstreams since it is
// cut off from some.
func TestNodeIsCutOffOnlyIfItHearsFromNoUpstream(t *testing.T) {
	is := is.New(t)
	var p Paths
	for _, address := range []string{"u1", "u2", "u3"} {
		p.Opened(address, start)
	}
	at := start.Add(time.Second)
	p.Told("u1", "a", Reached, at)
	is.True(!p.CutOff())
	p.Told("u2", "a", Reached, at)
	is.True(p.CutOff())
	is.True(p.Broken("u3")) // although nothing is known of its path
	is.True(!p.KnownBroken("u3"))
	p.Heard(at.Add(time.Second)) // an open connection lives on
	is.True(!p.CutOff())
	is.True(!p.Broken("u3") && p.Broken("u1") && p.Broken("u2"))
	var only Paths
	only.Told("u1", "a", Reached, start)
	is.True(only.CutOff()) // it knows of no other upstream
}

// TestDetoursThatWorkedComeFirst guards against connects through nodes that can't reach the upstream either.
func TestDetoursThatWorkedComeFirst(t *testing.T) {
	is := is.New(t)
	var p Paths
	nodes := []string{"silent", "doubtful", "unknown", "good", "other"}
	p.Told("u1", "good", Reached, start)
	p.Told("u1", "doubtful", Doubtful, start)
	p.Silent("silent", start)
	ranked, proven := p.Detours("u1", nodes, start)
	is.Equal(ranked, []string{"good", "unknown", "other", "doubtful", "silent"})
	is.Equal(proven, 1)
	ranked, proven = p.Detours("u2", nodes, start)
	is.Equal(ranked, []string{"doubtful", "unknown", "good", "other", "silent"})
	is.Equal(proven, 0)
	ranked, proven = p.Detours("u1", nodes, start.Add(opinionLifetime))
	is.Equal(ranked, nodes) // opinions get old
	is.Equal(proven, 0)
}

// TestPathsThatAreNotUsedAreForgotten guards against addresses of upstreams that are gone being probed for good.
func TestPathsThatAreNotUsedAreForgotten(t *testing.T) {
	is := is.New(t)
	var p Paths
	p.Told("gone", "a", Reached, start)
	is.Equal(p.Probes(start.Add(pathLifetime-1)), []string{"gone"})
	is.Equal(len(p.Probes(start.Add(pathLifetime))), 0)
	is.Equal(p.BrokenPaths(), 0)
}

func TestOpinionsSurviveTheirNames(t *testing.T) {
	is := is.New(t)
	for o := range Doubtful + 1 {
		is.Equal(ParseOpinion(o.String()), o)
	}
	is.Equal(ParseOpinion("anything else"), None)
}
