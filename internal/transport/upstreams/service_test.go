package upstreams

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
)

// listed is a service and the list of VMs that it reads.
type listed struct {
	service *Service
	rows    []wire.Machine
}

func newListed(rows ...wire.Machine) *listed {
	l := &listed{rows: rows}
	l.service = &Service{
		Table:   replica.NewTable(),
		Ejector: routing.NewEjector(),
		List:    func(context.Context) ([]wire.Machine, error) { return l.rows, nil },
		Logger:  zerolog.Nop(),
	}
	l.service.refreshList(context.Background())
	return l
}

// leaving reports whether the engine is leaving after the list was read again.
func (l *listed) leaving() bool {
	l.service.refreshList(context.Background())
	r, known := l.service.Table.Load().Replica("e1")
	return known && r.Leaving()
}

func engine(boot int) wire.Machine {
	return wire.Machine{
		Name:    "e1",
		Kind:    replica.KindEngine,
		Pool:    "p",
		Address: "10.0.0.1:80",
		Boot:    boot,
	}
}

func TestUpstreamThatStartsAgainIsNotLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newListed(engine(1))
		l.service.MarkLeaving("e1", "a peer")
		is.True(l.leaving())
		l.rows = []wire.Machine{engine(2)}
		is.True(!l.leaving())
		is.Equal(len(l.service.Leaving()), 0)
		l.service.MarkLeaving("e1", "a peer") // this boot leaves as well
		is.True(l.leaving())
	})
}

func TestUpstreamThatIsListedLaterIsMarkedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newListed()
		l.service.MarkLeaving("e1", "a peer")
		l.rows = []wire.Machine{engine(1)}
		is.True(l.leaving())
		is.Equal(l.service.Leaving(), []string{"e1"})
		time.Sleep(leavingTTL + time.Second)
		is.True(l.leaving()) // for this boot it is final
		is.Equal(len(l.service.leaving), 0)
	})
}
