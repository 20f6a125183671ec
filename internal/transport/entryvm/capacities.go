package entryvm

import (
	"context"
	"time"

	"lagoongw/internal/coordination/capacity"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/capacities"
	"lagoongw/internal/transport/gateway"
)

// Autoscale holds the operator's settings for the number of upstreams, and the client of the platform API.
type Autoscale struct {
	// Order states the desired number of upstreams of a kind in an availability zone, as a holder with its number.
	Order func(ctx context.Context, holder string, number int, pool, zone string, desired int, spot bool) error
	// Utilization, Reserve and Least are those of capacity.Settings.
	Utilization float64
	Reserve     float64
	Least       int
}

// ordersPerTick returns how many orders may be sent in a second, 0 for no limit. The duties may call at half the limit of the
// platform API; one call is left for a usage report, which must not wait for orders.
func ordersPerTick(callsPerSecond float64) int {
	if callsPerSecond <= 0 {
		return 0
	}
	return max(int(callsPerSecond/2)-1, 1)
}

// newCapacities returns the service that orders upstreams, or nil if this is not a duty of the site.
func (p *Process) newCapacities() *capacities.Service {
	if p.Autoscale == nil || p.Duties == nil {
		return nil
	}
	return &capacities.Service{
		Held:    p.Duties.Held,
		Pools:   p.scaledPools,
		Order:   p.orderUpstreams,
		Refused: p.Duties.Refused,
		Save:    p.Duties.Save,
		Records: p.Duties.Records,
		Logger:  p.Logger,

		OrdersPerTick: ordersPerTick(p.Duties.CallsPerSecond),
	}
}

func (p *Process) orderUpstreams(ctx context.Context, number int, order capacity.Order) error {
	return p.Duties.Call(ctx, number, func(ctx context.Context) error {
		return p.Autoscale.Order(ctx, p.Name, number, order.Pool, order.Zone, order.Desired, order.Spot)
	})
}

// scaledPools returns the pools with scaling and what this node knows of them. There are none while the list of upstreams
// is not known.
func (p *Process) scaledPools(now time.Time) []capacities.Pool {
	table := p.Catalog.CurrentRoutes()
	if table == nil || !p.Catalog.Ready() {
		return nil
	}
	listAge := p.Catalog.UpstreamsAge()
	var pools []capacities.Pool
	for _, pool := range table.ScaledPools() {
		demand := p.dispatcher.PoolDemand(pool.Name, now)
		known := demand.KnownShare
		if listAge >= currentListAge {
			known = 0 // upstreams that are listed may be gone
		}
		pools = append(pools, capacities.Pool{
			Name:     pool.Name,
			Settings: p.capacitySettings(pool.Scaling),
			Age:      max(demand.Age, listAge),
			Input: capacity.Input{
				Demand:     poolDemand(pool, demand, p.table.Load().PoolReplicas(pool.Name)),
				KnownShare: known,
				Upstreams:  listedUpstreams(p.table.Load().PoolReplicas(pool.Name), demand.Down),
			},
		})
	}
	return pools
}

func (p *Process) capacitySettings(scaling *route.Scaling) capacity.Settings {
	return capacity.Settings{
		Min:         scaling.Min,
		Max:         scaling.Max,
		Boot:        scaling.Boot,
		SpotPrice:   scaling.SpotPrice,
		ZonePrices:  scaling.ZonePrices,
		Utilization: p.Autoscale.Utilization,
		Reserve:     p.Autoscale.Reserve,
		Least:       p.Autoscale.Least,
	}
}

// poolDemand returns the demand in a pool. The slots of engines are in the routes, those of plain services in the list of
// upstreams.
func poolDemand(pool route.Pool, demand dispatch.PoolDemand, upstreams []*replica.Replica) capacity.Demand {
	slots := 0
	for _, upstream := range upstreams {
		slots = max(slots, upstream.Slots())
	}
	result := capacity.Demand{
		Requests:     demand.Requests,
		Slots:        slots,
		RefusedShare: demand.RefusedShare,
	}
	if pool.Engine != nil {
		result.Slots = pool.Engine.Slots
		result.Engines = demand.Engines.Interactive + demand.Engines.Bulk
		result.Lag = demand.EnginesLag
		result.Backlog = demand.Backlog
		result.Tokens = demand.Tokens
		result.Memory = pool.Engine.CacheTokens
	}
	return result
}

func listedUpstreams(upstreams []*replica.Replica, down map[string]bool) []capacity.Upstream {
	rows := make([]capacity.Upstream, 0, len(upstreams))
	for _, upstream := range upstreams {
		rows = append(rows, capacity.Upstream{
			Name:    upstream.Name(),
			Zone:    upstream.AvailabilityZone(),
			Spot:    upstream.Spot(),
			Leaving: upstream.Leaving(),
			Down:    down[upstream.Name()],
			Notice:  upstream.Notice(),
			Boot:    upstream.Boot(),
			Version: upstream.Version(),
		})
	}
	return rows
}

// registerCapacityGauges adds gauges of the last decision on the number of upstreams; they are 0 at the nodes that do not
// hold the duty.
func (p *Process) registerCapacityGauges(m *gateway.Metrics) {
	if p.capacities == nil {
		return
	}
	for _, gauge := range []struct {
		name, help string
		read       func(state capacity.State) float64
	}{
		{
			name: "capacity_demand",
			help: "Upstreams that the requests need now.",
			read: func(state capacity.State) float64 { return state.Demand },
		},
		{
			name: "capacity_predicted",
			help: "Upstreams that must serve even after one zone has lost its spot upstreams.",
			read: func(state capacity.State) float64 { return float64(state.Predicted) },
		},
		{
			name: "capacity_wanted",
			help: "Upstreams that are wanted.",
			read: func(state capacity.State) float64 { return float64(state.Wanted) },
		},
		{
			name: "capacity_present",
			help: "Upstreams that are listed and not leaving.",
			read: func(state capacity.State) float64 { return float64(state.Present) },
		},
		{
			name: "capacity_serving",
			help: "Upstreams that are listed, not leaving and not down.",
			read: func(state capacity.State) float64 { return float64(state.Serving) },
		},
		{
			name: "capacity_spot",
			help: "Spot upstreams that are listed and not leaving.",
			read: func(state capacity.State) float64 { return float64(state.Spot()) },
		},
	} {
		m.RegisterGauge(gauge.name, gauge.help, func() float64 { return p.capacities.Total(gauge.read) })
	}
	m.RegisterGauge("capacity_orders", "Orders for upstreams that were sent.", func() float64 {
		sent, _ := p.capacities.Orders()
		return float64(sent)
	})
	m.RegisterGauge("capacity_input_age_seconds", "Age of the oldest input of the last decision.", func() float64 {
		_, age := p.capacities.Orders()
		return age.Seconds()
	})
}
