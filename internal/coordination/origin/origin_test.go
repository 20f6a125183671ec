package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	first = Origin{
		Pool:    "engines",
		Version: "v1",
	}
	other = Origin{
		Pool:    "engines",
		Version: "v2",
	}
)

func report(stream ID, o Origin, age time.Duration) Report {
	return Report{
		Stream: stream,
		Origin: o,
		Age:    age,
	}
}

// TestContradictingOriginsAreNotReliedOn guards against a request ID that is used twice.
func TestContradictingOriginsAreNotReliedOn(t *testing.T) {
	is := is.New(t)
	var r Registry
	stream := NewID("a")
	is.Equal(r.Find(stream, start), Answer{})
	r.Record(report(stream, first, 0), start)
	r.Record(report(stream, first, time.Second), start.Add(time.Second))
	answer := r.Find(stream, start.Add(time.Second))
	is.True(answer.Known && !answer.Ambiguous)
	is.Equal(answer.Origin, first)
	r.Record(report(stream, other, 0), start.Add(2*time.Second))
	r.Record(report(stream, first, 0), start.Add(3*time.Second))
	answer = r.Find(stream, start.Add(3*time.Second))
	is.True(!answer.Known && answer.Ambiguous)
}

// TestOriginsAreBoundedInTimeAndNumber guards against a registry that grows without end.
func TestOriginsAreBoundedInTimeAndNumber(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Record(report(NewID("old"), first, lifetime), start)
	is.Equal(r.Len(), 0)
	r.Record(report(NewID("older"), first, time.Minute), start)
	is.True(r.Find(NewID("older"), start.Add(lifetime-time.Minute-1)).Known)
	is.True(!r.Find(NewID("older"), start.Add(lifetime-time.Minute)).Known)
	for i := range 3 * maxStreams {
		r.Record(report(NewID(fmt.Sprint(i)), first, 0), start)
	}
	is.Equal(r.Len(), maxStreams)
	is.True(len(r.order) <= 2*maxStreams)
	is.True(r.Find(NewID(fmt.Sprint(3*maxStreams-1)), start).Known)
	is.True(!r.Find(NewID("0"), start).Known)
	r.Record(report(NewID("late"), first, 0), start.Add(lifetime))
	is.Equal(r.Len(), 1)
}

func site(zones, nodes int) (all []Node) {
	for i := range nodes {
		all = append(all, Node{
			Name:             fmt.Sprintf("vm-%d", i),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
		})
	}
	return all
}

// TestKeepersStandInDifferentZones guards against origins that are lost with one availability zone.
func TestKeepersStandInDifferentZones(t *testing.T) {
	is := is.New(t)
	nodes := site(3, 9)
	zoneOf := map[string]string{}
	for _, node := range nodes {
		zoneOf[node.Name] = node.AvailabilityZone
	}
	for i := range 100 {
		stream := NewID(fmt.Sprint(i))
		zones := map[string]bool{}
		for _, name := range Keepers(stream, nodes) {
			zones[zoneOf[name]] = true
		}
		is.Equal(len(zones), keepers)
		is.Equal(len(Keepers(stream, nodes[:2])), 2)
		is.Equal(len(Candidates(stream, nodes)), len(nodes))
		is.Equal(len(Candidates(stream, site(6, 195))), asked)
	}
	is.Equal(len(Keepers(NewID("a"), nil)), 0)
}

// TestKeepersAreToldUntilTheyKnow guards against streams that nobody is told of because a message was lost, the first node
// was cut off, or a keeper joined later.
func TestKeepersAreToldUntilTheyKnow(t *testing.T) {
	is := is.New(t)
	a := Announcer{Self: "vm-0"}
	nodes := site(3, 4)
	a.SetNodes(nodes)
	stream := NewID("a")
	a.Began(stream, first, start)
	due := a.Due(start)
	is.Equal(len(due), 3)
	is.Equal(due["vm-1"], []Report{report(stream, first, 0)})
	is.Equal(len(a.Due(start)), 0) // they are in flight
	for name := range due {
		a.Done(name, name != "vm-1", start)
	}
	is.Equal(len(a.Due(start)), 0)
	is.Equal(a.Unfinished(), 1)
	again := start.Add(retryDelay)
	due = a.Due(again)
	is.Equal(due, map[string][]Report{"vm-1": {report(stream, first, retryDelay)}})
	a.Done("vm-1", true, again)
	is.Equal(a.Unfinished(), 0)

	a.SetNodes(slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Name == "vm-1" }))
	is.Equal(len(a.Due(again)), 0)
	a.SetNodes(append(slices.Clone(nodes[:1]), Node{Name: "vm-new"}))
	is.Equal(len(a.Due(again)["vm-new"]), 1)
	a.Done("vm-new", false, again)
	a.Forget(start.Add(announceLifetime))
	is.Equal(a.Unfinished(), 0)
	is.Equal(len(a.Due(start.Add(announceLifetime))), 0)
}

// TestStreamsOfANodeThatKnowsNoOtherAreToldLater guards against a node that starts or was cut off.
func TestStreamsOfANodeThatKnowsNoOtherAreToldLater(t *testing.T) {
	is := is.New(t)
	a := Announcer{Self: "vm-0"}
	for i := range 3 * maxReports {
		a.Began(NewID(fmt.Sprint(i)), first, start)
	}
	is.Equal(len(a.Due(start)), 0)
	a.SetNodes(site(1, 2))
	told := 0
	for range 3 {
		told += len(a.Due(start)["vm-1"])
		a.Done("vm-1", true, start)
	}
	is.Equal(told, 3*maxReports)
	is.Equal(a.Unfinished(), 0)
}

// TestAnnouncedStreamsAreBounded guards against memory that grows with the streams of a node.
func TestAnnouncedStreamsAreBounded(t *testing.T) {
	is := is.New(t)
	a := Announcer{Self: "vm-0"}
	for i := range 2 * maxAnnounced {
		a.Began(NewID(fmt.Sprint(i)), first, start)
	}
	is.Equal(len(a.streams), maxAnnounced)
}

// TestOnlyVersionNeedsAWholeObservation guards against a version that served before a node began to look, or while its list
// was out of date.
func TestOnlyVersionNeedsAWholeObservation(t *testing.T) {
	is := is.New(t)
	var s Sightings
	serving := map[string][]string{"engines": {"v1"}}
	only := func(now time.Time, others ...Sighted) (string, bool) {
		return OnlyVersion(append(others, s.Sighted("engines", lifetime, now)), 15*time.Second)
	}
	s.Observe(serving, true, start)
	_, ok := only(start.Add(14 * time.Second))
	is.True(!ok)
	version, ok := only(start.Add(15 * time.Second))
	is.True(ok)
	is.Equal(version, "v1")
	_, ok = only(start.Add(15*time.Second), Sighted{Versions: []string{"v2"}})
	is.True(!ok) // another node has seen another one

	s.Observe(serving, false, start.Add(20*time.Second))
	s.Observe(serving, true, start.Add(21*time.Second))
	_, ok = only(start.Add(30 * time.Second))
	is.True(!ok)
	_, ok = only(start.Add(30*time.Second), Sighted{Observed: 15 * time.Second})
	is.True(ok) // another node has seen all of the time

	now := start.Add(time.Minute)
	s.Observe(map[string][]string{"engines": {"v1", "v2"}}, true, now)
	s.Observe(serving, true, now.Add(30*time.Second))
	_, ok = only(now.Add(30 * time.Second))
	is.True(!ok) // v2 has left, but a stream may have begun there
	s.Observe(serving, true, now.Add(lifetime))
	_, ok = only(now.Add(lifetime))
	is.True(ok)
	s.Observe(map[string][]string{"engines": {""}}, true, now.Add(3*lifetime))
	_, ok = only(now.Add(3 * lifetime))
	is.True(!ok) // an unknown version is none
}
