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
	poolUpdateInterval = 200 * time.Millisecond
	peerRowTTL         = 15 * time.Second
)

// peerRow is a pool's row in a peer's digest.
type peerRow struct {
	row        wire.PoolRow
	receivedAt time.Time
}

// pools holds the admission gate and the retry budget of each pool, and the pool rows of the peers' digests.
type pools struct {
	mu      sync.RWMutex
	gates   map[string]*admission.Gate
	budgets map[string]*retry.Budget
	// peerRows holds the latest rows by peer and pool.
	peerRows map[string]map[string]peerRow
}

func (p *pools) init() {
	p.gates = map[string]*admission.Gate{}
	p.budgets = map[string]*retry.Budget{}
	p.peerRows = map[string]map[string]peerRow{}
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
		p.budgets[pool] = newRetryBudget(pool)
	}
	return p.budgets[pool]
}

// ensureGate returns the gate of a pool and creates it if there is none.
func (p *pools) ensureGate(pool string) *admission.Gate {
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

// updatePeer replaces the rows of a peer and applies its admission floors to the gates.
func (p *pools) updatePeer(peer string, rows []wire.PoolRow, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byPool := map[string]peerRow{}
	for _, row := range rows {
		byPool[row.Pool] = peerRow{
			row:        row,
			receivedAt: now,
		}
		if gate := p.gates[row.Pool]; gate != nil {
			gate.UpdatePeer(peer, row, now)
		}
	}
	p.peerRows[peer] = byPool
}

// removeDeadPeers removes the rows and admission floors of peers that are no longer live.
func (p *pools) removeDeadPeers(live map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer := range p.peerRows {
		if live[peer] {
			continue
		}
		delete(p.peerRows, peer)
		for _, gate := range p.gates {
			gate.RemovePeer(peer)
		}
	}
}

// peerDemand returns the sum of the demands that the peers reported for a pool within peerRowTTL.
func (p *pools) peerDemand(pool string, now time.Time) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	demand := 0
	for _, byPool := range p.peerRows {
		if r, ok := byPool[pool]; ok && now.Sub(r.receivedAt) < peerRowTTL {
			demand += r.row.Demand
		}
	}
	return demand
}

// runPoolUpdates periodically calls updatePools.
func (n *Node) runPoolUpdates(ctx context.Context) {
	schedule.Every(ctx, poolUpdateInterval, n.updatePools)
}

// updatePools removes the peers that are no longer live, tells the rate limiter the number of live nodes, sets the limit
// of each gate to this node's share of the pool and ticks the gates.
func (n *Node) updatePools(now time.Time) {
	live := n.members.Live()
	liveNames := map[string]bool{}
	for _, m := range live {
		liveNames[m.Name] = true
	}
	n.pools.removeDeadPeers(liveNames)
	n.limiter.SetNodes(len(live))
	snapshot := n.router.Table.Load()
	for _, pool := range snapshot.PoolNames() {
		gate := n.pools.ensureGate(pool)
		if file := n.rules.File(); file != nil {
			gate.SetTrickleShare(file.TrickleShare())
		}
		own := gate.Row(now).Demand
		total := own + n.pools.peerDemand(pool, now)
		gate.SetLimit(admission.NodeLimit(availableSlots(snapshot.PoolReplicas(pool)), len(live), own, total), now)
		gate.Tick(now)
	}
}

func availableSlots(replicas []*replica.Replica) int {
	slots := 0
	for _, r := range replicas {
		if !r.Leaving() {
			slots += r.Slots()
		}
	}
	return slots
}
