package capacities

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/capacity"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/duties"
)

// platformStub is a platform API and the duty at one node.
type platformStub struct {
	mu      sync.Mutex
	held    bool
	answer  func(order capacity.Order) error
	orders  []capacity.Order
	refused []int
}

func (p *platformStub) order(_ context.Context, _ int, order capacity.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, order)
	return p.answer(order)
}

func (p *platformStub) refuse(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = append(p.refused, number)
}

// newService returns a service of a pool that needs orders in six zones.
func newService(p *platformStub) *Service {
	p.held = true
	return &Service{
		Held:    func() (int, bool) { return 7, p.held },
		Order:   p.order,
		Refused: p.refuse,
		Logger:  zerolog.Nop(),
		Pools: func(time.Time) []Pool {
			return []Pool{{
				Name: "p",
				Settings: capacity.Settings{
					Min:         1,
					Max:         30,
					SpotPrice:   0.2,
					ZonePrices:  map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1},
					Utilization: 0.5,
					Least:       40,
				},
				Input: capacity.Input{KnownShare: 1},
			}}
		},
	}
}

// TestRefusedOrdersAreToldApart guards against a holder that goes on after its number was refused, and against one that gives
// up the duty because a zone has no spot upstreams.
func TestRefusedOrdersAreToldApart(t *testing.T) {
	is := is.New(t)
	p := &platformStub{answer: func(order capacity.Order) error {
		if order.Spot {
			return duties.ErrRefused
		}
		return nil
	}}
	s := newService(p)
	s.Tick(t.Context(), time.Now())
	is.Equal(len(p.orders), 13) // both kinds in six zones, and the check of the number
	is.Equal(len(p.refused), 0)
	p = &platformStub{answer: func(capacity.Order) error { return duties.ErrRefused }}
	s = newService(p)
	s.Tick(t.Context(), time.Now())
	is.True(len(p.refused) > 0)
	is.Equal(p.refused[0], 7)
	is.True(len(p.orders) <= 8) // the spot orders that came first, and those that were under way with the refused one
}

// TestFewerOrdersWhenThePlatformIsBusy guards against orders that go on at the same rate to a platform that does not answer
// or asks for fewer calls.
func TestFewerOrdersWhenThePlatformIsBusy(t *testing.T) {
	for _, err := range []error{duties.ErrBusy, errors.New("no answer")} {
		is := is.New(t)
		p := &platformStub{answer: func(capacity.Order) error { return err }}
		s := newService(p)
		s.Tick(t.Context(), time.Now())
		is.Equal(len(p.orders), parallelOrders)
	}
}

// TestAnAnsweredErrorBacksOffOneSubject guards against an order that the platform API rejects or fails at each time, such as
// one for an unknown zone, and that keeps the orders for other zones from being sent or is itself repeated each second.
func TestAnAnsweredErrorBacksOffOneSubject(t *testing.T) {
	for _, answer := range []error{duties.ErrRejected, duties.ErrFailed} {
		for _, spot := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				count := 0
				p := &platformStub{answer: func(order capacity.Order) error {
					if order.Zone == "a" && order.Spot == spot {
						count++
						return answer
					}
					return nil
				}}
				s := newService(p)
				s.Tick(t.Context(), time.Now())
				is.Equal(len(p.orders), 12) // both kinds in six zones
				for range 30 {
					time.Sleep(time.Second)
					s.Tick(t.Context(), time.Now())
				}
				is.True(count >= 2 && count <= 6) // after 2, 6, 14, 22 and 30 s
				is.Equal(len(p.refused), 0)
			})
		}
	}
}

// TestNothingIsOrderedWithoutTheDuty guards against orders of a node that lost the duty while it sent some, and against more
// of them in a second than allowed.
func TestNothingIsOrderedWithoutTheDuty(t *testing.T) {
	is := is.New(t)
	p := &platformStub{answer: func(capacity.Order) error { return nil }}
	s := newService(p)
	s.OrdersPerTick = 3
	s.Tick(t.Context(), time.Now())
	is.Equal(len(p.orders), 3)
	is.True(s.Total(func(state capacity.State) float64 { return float64(state.Wanted) }) >= 40)
	p.held = false
	s.Tick(t.Context(), time.Now())
	is.Equal(len(p.orders), 3)
	is.Equal(s.State("p").Wanted, 0)
}

// TestNextHolderKeepsTheOrders guards against a new holder that cancels the increase of the former one a second before, of
// which no upstream is listed yet, and against a record that is appended to the store each second.
func TestNextHolderKeepsTheOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platformStub{answer: func(capacity.Order) error { return nil }}
		records, saves := map[string][]byte{}, 0
		first := newService(p)
		first.Save = func(_ context.Context, key string, value []byte) error {
			records[key] = value
			saves++
			return nil
		}
		first.Records = func() map[string][]byte { return nil }
		first.Tick(t.Context(), time.Now())
		is.Equal(saves, 1)
		ordered := map[capacity.Order]int{}
		subject := func(order capacity.Order) capacity.Order {
			return capacity.Order{
				Zone: order.Zone,
				Spot: order.Spot,
			}
		}
		for _, order := range p.orders {
			ordered[subject(order)] = order.Desired
		}
		for range 3 {
			time.Sleep(time.Second)
			first.Tick(t.Context(), time.Now())
		}
		is.Equal(saves, 1)

		second := newService(p)
		pools := second.Pools
		second.Pools = func(now time.Time) []Pool {
			rows := pools(now)
			rows[0].Settings.Least = 10 // the demand is lower than the former holder took it for
			return rows
		}
		second.Held = func() (int, bool) { return 8, true }
		second.Save = first.Save
		second.Records = func() map[string][]byte { return records }
		p.orders = nil
		for range 3 {
			second.Tick(t.Context(), time.Now())
			time.Sleep(time.Second)
		}
		for _, order := range p.orders {
			is.True(order.Desired >= ordered[subject(order)])
		}
		is.Equal(saves, 1)
	})
}

// TestLeaseInForceAgainKeepsItsOwnOrders guards against a holder that goes back to the numbers from when it gained the lease
// after the store could not be reached for a while.
func TestLeaseInForceAgainKeepsItsOwnOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platformStub{answer: func(capacity.Order) error { return nil }}
		s := newService(p)
		s.Save = func(context.Context, string, []byte) error { return errors.New("no answer") }
		s.Records = func() map[string][]byte {
			return map[string][]byte{recordKey: []byte(`{"orders":[{"service":"p","zone":"a","spot":true,"desired":25}]}`)}
		}
		s.Tick(t.Context(), time.Now())
		is.Equal(s.State("p").Count("a", true).Planned, 25)
		s.former = []wire.CapacityOrder{{
			Service: "p",
			Zone:    "a",
			Spot:    true,
			Desired: 28,
		}}
		p.held = false
		s.Tick(t.Context(), time.Now())
		p.held = true
		s.Tick(t.Context(), time.Now())
		is.Equal(s.State("p").Count("a", true).Planned, 28)
	})
}

// TestFencedHolderWithSpotOrdersAloneIsFound guards against a holder whose number the platform refuses and that takes each 409 to
// a spot order for a lack of spot upstreams: without a due order on demand it would never learn it.
func TestFencedHolderWithSpotOrdersAloneIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fenced := range []bool{true, false} {
			is := is.New(t)
			p := &platformStub{answer: func(order capacity.Order) error {
				if order.Spot || fenced {
					return duties.ErrRefused
				}
				return nil
			}}
			s := newService(p)
			pools := s.Pools
			s.Pools = func(now time.Time) []Pool {
				rows := pools(now)
				rows[0].Settings.Min = 0
				for _, zone := range []string{"a", "b", "c", "d", "e", "f"} {
					for i := range 10 {
						rows[0].Input.Upstreams = append(rows[0].Input.Upstreams, capacity.Upstream{
							Name: zone + string(rune('0'+i)),
							Zone: zone,
						})
					}
				}
				return rows
			}
			s.OrdersPerTick = 1
			s.Tick(t.Context(), time.Now())
			is.True(p.orders[0].Spot)
			for range 10 {
				time.Sleep(time.Second)
				s.Tick(t.Context(), time.Now())
			}
			is.True(len(p.orders) > 1 && !p.orders[1].Spot)
			is.Equal(p.orders[1].Zone, p.orders[0].Zone)
			is.Equal(p.orders[1].Desired, 10) // as many as there are
			is.Equal(len(p.refused) > 0, fenced)
			onDemand := 0
			for _, order := range p.orders {
				if !order.Spot {
					onDemand++
				}
			}
			is.True(fenced || onDemand == 1) // once with a number
		}
	})
}
