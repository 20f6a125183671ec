package admission

import (
	"context"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Gate blocks goroutines until a Queue admits their requests; it is safe for concurrent use.
type Gate struct {
	// Pool is the name of the pool that the gate limits.
	Pool string

	mu      sync.Mutex
	queue   *Queue
	permits map[uint64]*Permit
	nextID  uint64
	refused int64
	started int64
}

// Permit is a request that waits at a gate, or that the gate has admitted.
type Permit struct {
	gate *Gate
	id   uint64
	// decision receives the refusal of the request, or a Refusal without a Reason when the request may start.
	decision  chan Refusal
	preempted chan struct{}
	// tier, preferred and upstream are guarded by the gate's mutex.
	tier      int
	preferred string
	upstream  string
}

// NewGate returns a gate for a pool that admits requests through a queue.
func NewGate(pool string, queue *Queue) *Gate {
	return &Gate{
		Pool:    pool,
		queue:   queue,
		permits: map[uint64]*Permit{},
	}
}

// Acquire waits until the request may start; refusal is non-nil if it is refused or the context ends first.
func (g *Gate) Acquire(ctx context.Context, item Item) (permit *Permit, refusal *Refusal) {
	g.mu.Lock()
	g.nextID++
	item.ID = g.nextID
	permit = &Permit{
		gate:      g,
		id:        item.ID,
		decision:  make(chan Refusal, 1),
		preempted: make(chan struct{}),
	}
	g.permits[permit.id] = permit
	g.apply(g.queue.Arrive(item, time.Now()))
	g.mu.Unlock()
	return permit, permit.wait(ctx)
}

func (p *Permit) wait(ctx context.Context) *Refusal {
	select {
	case refusal := <-p.decision:
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

// Preempted returns a channel that is closed when the request has to stop for one of a higher tier.
func (p *Permit) Preempted() <-chan struct{} { return p.preempted }

// Release frees the capacity that the request uses or takes it out of the queue; further calls do nothing.
func (p *Permit) Release() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.permits[p.id] == nil {
		return
	}
	delete(g.permits, p.id)
	g.apply(g.queue.Cancel(p.id, time.Now()))
}

// Requeue puts a preempted request back into the queue and waits until it may resume; remaining is its remaining
// service time.
func (p *Permit) Requeue(ctx context.Context, remaining time.Duration) *Refusal {
	g := p.gate
	g.mu.Lock()
	p.preempted = make(chan struct{})
	g.apply(g.queue.Requeue(p.id, remaining, time.Now()))
	g.mu.Unlock()
	return p.wait(ctx)
}

// apply passes the decisions of the queue to the waiting goroutines; the lock must be held.
func (g *Gate) apply(actions Actions) {
	for _, refusal := range actions.Refuse {
		if permit := g.permits[refusal.ID]; permit != nil {
			delete(g.permits, refusal.ID)
			g.refused++
			permit.decision <- refusal
		}
	}
	for _, start := range actions.Start {
		if permit := g.permits[start.ID]; permit != nil {
			g.started++
			permit.tier = start.Tier
			permit.decision <- Refusal{}
		}
	}
	for _, preemption := range actions.Preempt {
		g.applyPreemption(preemption)
	}
}

// applyPreemption starts the preemptor, preferably on the victim's upstream, and signals the victim to stop; the lock
// must be held.
func (g *Gate) applyPreemption(preemption Preemption) {
	victim, preemptor := g.permits[preemption.Victim], g.permits[preemption.Preemptor]
	if preemptor != nil {
		g.started++
		preemptor.tier = preemption.Tier
		if victim != nil {
			preemptor.preferred = victim.upstream
		}
		preemptor.decision <- Refusal{}
	}
	if victim != nil {
		close(victim.preempted)
	}
}

// PreferredUpstream returns the upstream where a request was preempted for this one, or the empty string.
func (p *Permit) PreferredUpstream() string {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.preferred
}

// MarkProducing records that the request has produced its first token.
func (p *Permit) MarkProducing() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.queue.MarkProducing(p.id)
}

// Tier returns the tier at which the upstream should serve the request.
func (p *Permit) Tier() int {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.tier
}

// SetUpstream records the upstream on which the request runs and clears the preferred one.
func (p *Permit) SetUpstream(upstream string) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.upstream = upstream
	p.preferred = ""
}

// Tick refuses expired requests, starts waiting ones and adjusts the admission floor; it is to be called periodically.
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

// SetTrickleShare changes Queue.TrickleShare.
func (g *Gate) SetTrickleShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.TrickleShare = share
}

// UpdatePeer records the effective floor (Floor) and the local floor (Wish) that a peer reported for the pool.
func (g *Gate) UpdatePeer(peer string, row wire.PoolRow, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Floor.UpdatePeer(peer, row.Floor, row.Wish, now)
}

// RemovePeer drops a peer's admission floors.
func (g *Gate) RemovePeer(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Floor.RemovePeer(peer)
}

// Row returns the demand, the effective floor (Floor) and the local floor (Wish) that are sent to peers.
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

// Status returns the pool's limit, load and admission floor for operators.
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

// Counts returns how many requests were started, resumed ones included, and how many were refused.
func (g *Gate) Counts() (started, refused int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started, g.refused
}
