package ratelimit

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"lagoongw/internal/state/rendezvous"
)

const (
	// takeoverDelay is how long a holder grants nothing after the live nodes have changed, as seen by this node: the time
	// in which the other nodes learn of the change and ask the former holder no more.
	takeoverDelay = 3 * time.Second
	// burstTime is the time for which unused sends of a limit add up, minBurst the number up to which they do in any case. It
	// is less than two, so that no two are granted at once, and more than one, so that a node may ask a little late.
	burstTime = 250 * time.Millisecond
	minBurst  = 1.5
	// pauseTime is the longest time between two ticks of a process that was not paused.
	pauseTime = 1500 * time.Millisecond
	// minWait is the shortest time after which a node asks again.
	minWait = 10 * time.Millisecond
	// bucketLifetime is how long a bucket is kept that nobody asks for; it is longer than the time between two sends within
	// minLimit.
	bucketLifetime = 2 * time.Minute
)

// Grant is a holder's answer.
type Grant struct {
	// Granted reports whether one request may be sent now.
	Granted bool
	// Wait is when to ask again if not.
	Wait time.Duration
	// Ticket returns the place that comes with the grant, 0 if there is none.
	Ticket uint64
}

// Grants decides which node holds the limit of an upstream, and grants sends where this node does. It is not safe for
// concurrent use.
type Grants struct {
	// Self is the name of this node.
	Self string

	live []string
	// known is the number of nodes that may send requests, including those that are believed dead.
	known     int
	changedAt time.Time
	lastTick  time.Time
	// holders caches the holders by upstream while the live nodes stay the same.
	holders map[Upstream]string
	buckets map[Upstream]*bucket
	rooms   rooms
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	// filledAt is the time up to which tokens have been added; it may be in the future.
	filledAt time.Time
	usedAt   time.Time
}

// Tick updates the live nodes, and the number of all nodes that may send requests. It is to be called several times a
// second.
func (g *Grants) Tick(live []string, known int, now time.Time) {
	paused := !g.lastTick.IsZero() && now.Sub(g.lastTick) >= pauseTime
	g.lastTick = now
	g.known = known
	changed := !slices.Equal(live, g.live)
	if changed || paused {
		g.changedAt = now
		g.live = slices.Clone(live)
		g.holders = nil
	}
	forget := func(u Upstream, usedAt time.Time) bool {
		return paused || changed && g.Holder(u) != g.Self || now.Sub(usedAt) >= bucketLifetime
	}
	maps.DeleteFunc(g.buckets, func(u Upstream, b *bucket) bool { return forget(u, b.usedAt) })
	maps.DeleteFunc(g.rooms, func(u Upstream, known *room) bool { return forget(u, known.usedAt) })
}

// Holder returns the name of the node that grants the sends to an upstream: this one if it knows of no other.
func (g *Grants) Holder(u Upstream) string {
	if len(g.live) == 0 {
		return g.Self
	}
	holder, cached := g.holders[u]
	if !cached {
		holder = rendezvous.Owner("limit/"+u.Name+"/"+strconv.Itoa(u.Boot), g.live)
		if g.holders == nil {
			g.holders = map[Upstream]string{}
		}
		g.holders[u] = holder
	}
	return holder
}

// Take grants a send to an upstream within a limit in requests a second. A node that isn't the holder grants nothing. A
// holder that has lost some of the nodes grants their part to nobody, since they may be on the other side of a partition
// with a holder of their own.
func (g *Grants) Take(u Upstream, limit float64, now time.Time) Grant {
	if g.Holder(u) != g.Self {
		return Grant{Wait: pauseTime}
	}
	rate := limit
	if n := len(g.live); n > 0 && n < g.known {
		rate = limit * float64(n) / float64(g.known)
	}
	b := g.bucket(u, now)
	b.usedAt = now
	if now.After(b.filledAt) {
		b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), max(rate*burstTime.Seconds(), minBurst))
		b.filledAt = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return Grant{Granted: true}
	}
	refill := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return Grant{Wait: max(b.filledAt.Sub(now)+refill, minWait)}
}

// bucket returns the bucket of an upstream, creating an empty one if needed.
func (g *Grants) bucket(u Upstream, now time.Time) *bucket {
	b := g.buckets[u]
	if b == nil {
		b = &bucket{filledAt: g.opensAt(now)}
		if g.buckets == nil {
			g.buckets = map[Upstream]*bucket{}
		}
		g.buckets[u] = b
	}
	return b
}

// opensAt returns when this node may grant the first send to an upstream, as its holder.
func (g *Grants) opensAt(now time.Time) time.Time {
	switch opens := g.changedAt.Add(takeoverDelay); {
	case g.lastTick.IsZero(): // the nodes are not known yet
		return now.Add(takeoverDelay)
	case opens.After(now):
		return opens
	}
	return now
}
