package node

import (
	"context"
	"sync"
	"time"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/schedule"
)

const (
	poolTick = 200 * time.Millisecond
	rowLife  = 15 * time.Second
)

type heardRow struct {
	row wire.PoolRow
	at  time.Time
}

// pools holds the gate and the retry budget of each pool, and what peers said of their use of it.
type pools struct {
	mu      sync.RWMutex
	gates   map[string]*admission.Gate
	budgets map[string]*retry.Budget
	heard   map[string]map[string]heardRow
}

func (p *pools) init() {
	p.gates = map[string]*admission.Gate{}
	p.budgets = map[string]*retry.Budget{}
	p.heard = map[string]map[string]heardRow{}
}

func (p *pools) gate(pool string) *admission.Gate {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.gates[pool]
}

func (p *pools) budget(pool string) *retry.Budget {
	p.mu.RLock()
	budget := p.budgets[pool]
	p.mu.RUnlock()
	if budget != nil {
		return budget
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budgets[pool] == nil {
		p.budgets[pool] = newBudget(pool)
	}
	return p.budgets[pool]
}

func (p *pools) ensure(pool string) *admission.Gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gates[pool] == nil {
		p.gates[pool] = newGate(pool)
	}
	return p.gates[pool]
}

func (p *pools) rows(now time.Time) []wire.PoolRow {
	p.mu.RLock()
	defer p.mu.RUnlock()
	rows := make([]wire.PoolRow, 0, len(p.gates))
	for _, gate := range p.gates {
		rows = append(rows, gate.Row(now))
	}
	return rows
}

func (p *pools) hear(peer string, rows []wire.PoolRow, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byPool := map[string]heardRow{}
	for _, row := range rows {
		byPool[row.Pool] = heardRow{
			row: row,
			at:  now,
		}
		if gate := p.gates[row.Pool]; gate != nil {
			gate.UpdatePeer(peer, row, now)
		}
	}
	p.heard[peer] = byPool
}

// forget drops the rows of peers that are no longer live.
func (p *pools) forget(live map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer := range p.heard {
		if live[peer] {
			continue
		}
		delete(p.heard, peer)
		for _, gate := range p.gates {
			gate.RemovePeer(peer)
		}
	}
}

func (p *pools) peerDemand(pool string, now time.Time) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	demand := 0
	for _, byPool := range p.heard {
		if heard, ok := byPool[pool]; ok && now.Sub(heard.at) < rowLife {
			demand += heard.row.Demand
		}
	}
	return demand
}

// runPools keeps each gate's limit at this node's share of its pool.
func (n *Node) runPools(ctx context.Context) {
	schedule.Every(ctx, poolTick, n.tickPools)
}

func (n *Node) tickPools(now time.Time) {
	live := n.members.Live()
	names := map[string]bool{}
	for _, m := range live {
		names[m.Name] = true
	}
	n.pools.forget(names)
	n.limiter.SetNodes(len(live))
	snapshot := n.router.Table.Load()
	for _, pool := range snapshot.PoolNames() {
		gate := n.pools.ensure(pool)
		if file := n.rules.File(); file != nil {
			gate.SetTrickleShare(file.TrickleShare())
		}
		own := gate.Row(now).Demand
		all := own + n.pools.peerDemand(pool, now)
		gate.SetLimit(admission.NodeLimit(slotsOf(snapshot.PoolReplicas(pool)), len(live), own, all), now)
		gate.Tick(now)
	}
}

func slotsOf(replicas []*replica.Replica) int {
	slots := 0
	for _, r := range replicas {
		if !r.Leaving() {
			slots += r.Slots()
		}
	}
	return slots
}
