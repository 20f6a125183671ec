package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var now = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func row(name, state string, boot int) wire.Machine {
	return wire.Machine{
		Name:    name,
		Pool:    "s",
		Address: "10.0.0.9:80",
		State:   state,
		Boot:    boot,
	}
}

func listed(rows ...wire.Machine) *List {
	m := &List{Hold: DefaultHold}
	for _, r := range rows {
		m.Put(r)
	}
	return m
}

func TestOnlyNewsChangeTheList(t *testing.T) {
	is := is.New(t)
	m := listed(row("a", "", 1))
	is.True(!m.Put(row("a", "", 1)))       // a heartbeat
	is.True(m.Put(row("a", "leaving", 1))) // leaves
	is.True(m.Put(row("a", "", 2)))        // started again under its name
	is.True(m.Remove("a", now))
	is.True(!m.Remove("a", now))
	is.Equal(len(m.Upstreams()), 0)
}

func TestEntriesThatLapseInAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		comesBack bool
		wait      time.Duration
		held      bool
	}{
		"just after the return": {wait: time.Second, held: true},
		"back in time":          {comesBack: true, wait: 5 * time.Second, held: true},
		"never back":            {wait: 3 * time.Second, held: false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := listed(row("a", "", 1), row("b", "", 1))
			m.RegistryUnavailable()
			m.RegistryAvailable(now)
			is.True(!m.Remove("a", now.Add(100*time.Millisecond)))
			if c.comesBack {
				m.Put(row("a", "", 1))
			}
			m.Tick(now.Add(c.wait))
			is.Equal(len(m.Upstreams()) == 2, c.held)
		})
	}
}

func TestRemovalWithoutAnOutageCountsAtOnce(t *testing.T) {
	is := is.New(t)
	m := listed(row("a", "", 1), row("b", "", 1))
	m.RegistryUnavailable()
	m.RegistryAvailable(now)
	is.True(m.Remove("a", now.Add(DefaultHold+time.Second)))
	is.True(m.RetainOnly(map[string]bool{}, now.Add(DefaultHold+time.Second)))
	is.Equal(len(m.Upstreams()), 0)
}

func TestRemovalFromAPeerIsHeldWhileThisNodeStillMissesTheRegistry(t *testing.T) {
	is := is.New(t)
	m := listed(row("a", "", 1))
	m.RegistryUnavailable()
	is.True(!m.Remove("a", now))
	is.True(!m.Tick(now.Add(time.Second)))
	is.True(m.Tick(now.Add(DefaultHold)))
}

func TestHeldRemovalWaitsForASecondOutage(t *testing.T) {
	is := is.New(t)
	m := listed(row("a", "", 1))
	m.RegistryUnavailable()
	m.RegistryAvailable(now)
	m.Remove("a", now)
	m.RegistryUnavailable()
	is.True(!m.Tick(now.Add(time.Minute))) // nothing was learned while the registry was away
	is.Equal(len(m.Upstreams()), 1)
}
