package ratelimit

import (
	"maps"
	"time"
)

const (
	// refusalWindow is the time over which the refusals of an upstream are counted.
	refusalWindow = time.Second
	// roomWait is how long a node waits that was denied a place, about the time in which one becomes free.
	roomWait = 100 * time.Millisecond
	// loadLifetime is how long the load that an upstream has told counts.
	loadLifetime = 500 * time.Millisecond
)

// ServerLoad is the load that an upstream tells in its answers.
type ServerLoad struct {
	// Running and Waiting are numbers of requests, Slots is how many run at once; Slots is 0 if the upstream doesn't tell.
	Running int
	Waiting int
	Slots   int
	// At is when it told.
	At time.Time
}

// Place is a request for a place at an upstream.
type Place struct {
	Upstream Upstream
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Refusals is the number of requests that the upstream may turn away in a second.
	Refusals float64
	// Lease is how long the request may take.
	Lease time.Duration
	// Load is the last load that the upstream has told the asking node.
	Load ServerLoad
}

// rooms holds what a holder knows of the room of upstreams that fall over when they have to turn away too many requests.
type rooms map[Upstream]*room

// room is what is known of one upstream.
type room struct {
	// taken holds the ends of the leases of the places by ticket.
	taken      map[uint64]time.Time
	lastTicket uint64
	load       ServerLoad
	// refusedAt holds the times of the refusals within refusalWindow.
	refusedAt []time.Time
	// opensAt is when the first place is given.
	opensAt time.Time
	usedAt  time.Time
}

// TakePlace gives a place for one request at an upstream, of which there are as many as the upstream runs requests at once, until
// it is released or its lease ends. A node that isn't the holder gives none.
func (g *Grants) TakePlace(p Place, now time.Time) Grant {
	if g.Holder(p.Upstream) != g.Self {
		return Grant{Wait: pauseTime}
	}
	slots := p.Slots
	if n := len(g.live); n > 0 && n < g.known {
		slots = slots * n / g.known
	}
	known := g.room(p.Upstream, now)
	known.forget(now)
	if p.Load.At.After(known.load.At) {
		known.load = p.Load
	}
	switch refused := float64(len(known.refusedAt)); {
	case now.Before(known.opensAt):
		return Grant{Wait: known.opensAt.Sub(now)}
	case refused > 0 && refused >= p.Refusals/2:
		return Grant{Wait: max(known.refusedAt[0].Add(refusalWindow).Sub(now), minWait)}
	case known.used(now) >= slots:
		return Grant{Wait: roomWait}
	}
	known.lastTicket++
	known.taken[known.lastTicket] = now.Add(p.Lease)
	return Grant{
		Granted: true,
		Ticket:  known.lastTicket,
	}
}

// used returns the number of places that are not free: those that were given, or those that the upstream has told of, which
// include requests sent before its room was shared out.
func (known *room) used(now time.Time) int {
	used := len(known.taken)
	if now.Sub(known.load.At) < loadLifetime {
		used = max(used, known.load.Running+known.load.Waiting)
		if known.load.Waiting > 0 {
			used = max(used, known.load.Slots)
		}
	}
	return used
}

func (known *room) forget(now time.Time) {
	maps.DeleteFunc(known.taken, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	for len(known.refusedAt) > 0 && now.Sub(known.refusedAt[0]) >= refusalWindow {
		known.refusedAt = known.refusedAt[1:]
	}
}

// Release returns a place; refused reports that the upstream has turned the request away.
func (g *Grants) Release(u Upstream, ticket uint64, refused bool, now time.Time) {
	known := g.rooms[u]
	if known == nil {
		return
	}
	delete(known.taken, ticket)
	if refused {
		known.refusedAt = append(known.refusedAt, now)
	}
}

func (g *Grants) room(u Upstream, now time.Time) *room {
	known := g.rooms[u]
	if known == nil {
		known = &room{
			taken:   map[uint64]time.Time{},
			opensAt: g.opensAt(now),
			// A ticket that was given before the room was forgotten returns none that is given later.
			lastTicket: uint64(now.UnixMicro()),
		}
		if g.rooms == nil {
			g.rooms = rooms{}
		}
		g.rooms[u] = known
	}
	known.usedAt = now
	return known
}
