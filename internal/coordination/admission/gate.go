package admission

import (
	"context"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Gate lets goroutines wait at a queue; it is safe for concurrent use.
type Gate struct {
	// Pool is the name of the pool behind the gate.
	Pool string

	mu      sync.Mutex
	queue   *Queue
	waiters map[uint64]*Permit
	nextID  uint64
	shed    int64
	started int64
}

// Permit is a request at the gate.
type Permit struct {
	gate    *Gate
	id      uint64
	decided chan Refusal
	preempt chan struct{}
	// tier, prefer and upstream are guarded by the gate's lock.
	tier     int
	prefer   string
	upstream string
}

// NewGate returns a gate before a queue.
func NewGate(pool string, queue *Queue) *Gate {
	return &Gate{
		Pool:    pool,
		queue:   queue,
		waiters: map[uint64]*Permit{},
	}
}

// Acquire waits until the request may start; refused is set when it never will.
func (g *Gate) Acquire(ctx context.Context, item Item) (pass *Permit, refused *Refusal) {
	g.mu.Lock()
	g.nextID++
	item.ID = g.nextID
	pass = &Permit{
		gate:    g,
		id:      item.ID,
		decided: make(chan Refusal, 1),
		preempt: make(chan struct{}),
	}
	g.waiters[pass.id] = pass
	g.apply(g.queue.Arrive(item, time.Now()))
	g.mu.Unlock()
	return pass, pass.wait(ctx)
}

func (p *Permit) wait(ctx context.Context) *Refusal {
	select {
	case refusal := <-p.decided:
		if refusal.Reason != "" {
			return &refusal
		}
		return nil
	case <-ctx.Done():
		p.Release()
		return &Refusal{
			ID:     p.id,
			Reason: "caller left",
		}
	}
}

// Preempted is closed when the request has to stop for a higher tier.
func (p *Permit) Preempted() <-chan struct{} { return p.preempt }

// Release gives the place back; it may be called more than once.
func (p *Permit) Release() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[p.id] == nil {
		return
	}
	delete(g.waiters, p.id)
	g.apply(g.queue.Cancel(p.id, time.Now()))
}

// Requeue puts a preempted request back into the queue and waits until it may go on.
func (p *Permit) Requeue(ctx context.Context, left time.Duration) *Refusal {
	g := p.gate
	g.mu.Lock()
	p.preempt = make(chan struct{})
	g.apply(g.queue.Requeue(p.id, left, time.Now()))
	g.mu.Unlock()
	return p.wait(ctx)
}

func (g *Gate) apply(actions Actions) {
	for _, refusal := range actions.Refuse {
		if pass := g.waiters[refusal.ID]; pass != nil {
			delete(g.waiters, refusal.ID)
			g.shed++
			pass.decided <- refusal
		}
	}
	for _, start := range actions.Start {
		if pass := g.waiters[start.ID]; pass != nil {
			g.started++
			pass.tier = start.Tier
			pass.decided <- Refusal{}
		}
	}
	for _, preemption := range actions.Preempt {
		g.hand(preemption)
	}
}

// hand starts a request at the upstream where a lower one is stopped for it.
func (g *Gate) hand(preemption Preemption) {
	victim, winner := g.waiters[preemption.Victim], g.waiters[preemption.Preemptor]
	if winner != nil {
		g.started++
		if victim != nil {
			winner.prefer = victim.upstream
			winner.tier = preemption.Tier
		}
		winner.decided <- Refusal{}
	}
	if victim != nil {
		close(victim.preempt)
	}
}

// PreferredUpstream returns the upstream where a place was made for the request, empty for none.
func (p *Permit) PreferredUpstream() string {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.prefer
}

// MarkProducing notes that the request has produced its first token.
func (p *Permit) MarkProducing() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.queue.MarkProducing(p.id)
}

// Tier returns the tier at which the upstream should treat the request.
func (p *Permit) Tier() int {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.tier
}

// SetUpstream notes the upstream at which the request runs.
func (p *Permit) SetUpstream(upstream string) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.upstream = upstream
	p.prefer = ""
}

// Tick advances time.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.queue.Tick(now))
}

// SetLimit changes the number of requests that may run at once.
func (g *Gate) SetLimit(limit int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit != g.queue.Limit() {
		g.apply(g.queue.SetLimit(limit, now))
	}
}

// SetTrickleShare changes the share of starts given to the longest-waiting lower tier.
func (g *Gate) SetTrickleShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.TrickleShare = share
}

// UpdatePeer records a peer's row for the pool.
func (g *Gate) UpdatePeer(peer string, row wire.PoolRow, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Floor.UpdatePeer(peer, row.Floor, row.Wish, now)
}

// RemovePeer drops a peer's row.
func (g *Gate) RemovePeer(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Floor.RemovePeer(peer)
}

// Row returns what the peers are told.
func (g *Gate) Row(now time.Time) wire.PoolRow {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.PoolRow{
		Pool:   g.Pool,
		Demand: g.queue.Waiting() + g.queue.Running(),
		Floor:  g.queue.Floor.Effective(now),
		Wish:   g.queue.Floor.Local(),
	}
}

// Status returns the queue's state for operators.
func (g *Gate) Status(now time.Time) wire.PoolStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.PoolStatus{
		Pool:     g.Pool,
		Limit:    g.queue.Limit(),
		InFlight: g.queue.Running(),
		Queued:   g.queue.Waiting(),
		Floor:    g.queue.Floor.Effective(now),
	}
}

// Counts returns how many requests were started and how many refused.
func (g *Gate) Counts() (started, shed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started, g.shed
}
