package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var now = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func upstream(name, state string, boot int) wire.Machine {
	return wire.Machine{
		Name:    name,
		Pool:    "s",
		Address: "10.0.0.9:80",
		State:   state,
		Boot:    boot,
	}
}

func newList(rows ...wire.Machine) *List {
	l := &List{Hold: DefaultHold}
	for _, r := range rows {
		l.Put(r)
	}
	return l
}

func TestOnlyChangedUpstreamsChangeTheList(t *testing.T) {
	is := is.New(t)
	l := newList(upstream("a", "", 1))
	is.True(!l.Put(upstream("a", "", 1)))       // a heartbeat
	is.True(l.Put(upstream("a", "leaving", 1))) // the upstream leaves
	is.True(l.Put(upstream("a", "", 2)))        // the upstream restarted under its name
	is.True(l.Remove("a", now))
	is.True(!l.Remove("a", now))
	is.Equal(len(l.Upstreams()), 0)
}

func TestEntriesThatExpireInAnOutageAreHeld(t *testing.T) {
	for name, c := range map[string]struct {
		registersAgain bool
		wait           time.Duration
		kept           bool
	}{
		"within the hold time":     {wait: time.Second, kept: true},
		"registered again in time": {registersAgain: true, wait: 5 * time.Second, kept: true},
		"never registered again":   {wait: 3 * time.Second, kept: false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newList(upstream("a", "", 1), upstream("b", "", 1))
			l.RegistryUnavailable()
			l.RegistryAvailable(now)
			is.True(!l.Remove("a", now.Add(100*time.Millisecond)))
			if c.registersAgain {
				l.Put(upstream("a", "", 1))
			}
			l.Tick(now.Add(c.wait))
			is.Equal(len(l.Upstreams()) == 2, c.kept)
		})
	}
}

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	is := is.New(t)
	l := newList(upstream("a", "", 1), upstream("b", "", 1))
	l.RegistryUnavailable()
	l.RegistryAvailable(now)
	is.True(l.Remove("a", now.Add(DefaultHold+time.Second)))
	is.True(l.RetainOnly(map[string]bool{}, now.Add(DefaultHold+time.Second)))
	is.Equal(len(l.Upstreams()), 0)
}

func TestRemovalFromPeerIsHeldDuringOutage(t *testing.T) {
	is := is.New(t)
	l := newList(upstream("a", "", 1))
	l.RegistryUnavailable()
	is.True(!l.Remove("a", now))
	is.True(!l.Tick(now.Add(time.Second)))
	is.True(l.Tick(now.Add(DefaultHold)))
}

func TestRegisteringAgainCancelsAHeldRemovalAndIsReported(t *testing.T) {
	is := is.New(t)
	l := newList(upstream("a", "", 1))
	l.RegistryUnavailable()
	is.True(!l.Remove("a", now))
	is.True(l.Put(upstream("a", "", 1)))  // peers hold the removal too and must be told
	is.True(!l.Put(upstream("a", "", 1))) // a heartbeat
	is.True(!l.Tick(now.Add(time.Minute)))
	is.Equal(len(l.Upstreams()), 1)
}

func TestRemovalHeldThroughASecondOutageIsHeldAfterIt(t *testing.T) {
	is := is.New(t)
	l := newList(upstream("a", "", 1))
	l.RegistryUnavailable()
	l.Remove("a", now)
	l.RegistryUnavailable()
	later := now.Add(time.Minute)
	l.RegistryAvailable(later)
	is.True(!l.Tick(later.Add(time.Second))) // the upstream may still register again
	is.True(l.Tick(later.Add(DefaultHold)))
}

func TestHeldRemovalIsDeferredBySecondOutage(t *testing.T) {
	is := is.New(t)
	l := newList(upstream("a", "", 1))
	l.RegistryUnavailable()
	l.RegistryAvailable(now)
	l.Remove("a", now)
	l.RegistryUnavailable()
	is.True(!l.Tick(now.Add(time.Minute))) // the registry has not been read since
	is.Equal(len(l.Upstreams()), 1)
}
