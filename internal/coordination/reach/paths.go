package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// probeInterval is the time between two direct connects to an address whose path is broken.
	probeInterval = time.Second
	// opinionInterval is the shortest time between two questions to other nodes about an address.
	opinionInterval = 500 * time.Millisecond
	// cutOffPaths is the number of broken paths, with nothing heard on any direct connection since, from which on this node
	// takes itself for cut off from all upstreams.
	cutOffPaths = 2
	// pathLifetime is how long the state of an address that is not used is kept.
	pathLifetime = time.Minute
	// openedLifetime is how long a direct connection that was opened shows that new ones can be.
	openedLifetime = time.Second
	// opinionLifetime is how long the opinion of a node counts.
	opinionLifetime = 2 * time.Second
)

// Opinion is what another node says of an upstream that this one can't connect to.
type Opinion int

// The opinions.
const (
	// None means that the node can't tell: its own path is broken, or it holds too many connections.
	None Opinion = iota
	// Reached means that the node has connected to the upstream.
	Reached
	// Unreached means that the node could not connect to the upstream either, though it reaches others.
	Unreached
	// Doubtful means that the node could not connect to the upstream, nor to others.
	Doubtful
)

// ParseOpinion returns the opinion with a name, None if there is none.
func ParseOpinion(name string) Opinion {
	for o := range Doubtful + 1 {
		if o.String() == name {
			return o
		}
	}
	return None
}

// String returns the opinion's name.
func (o Opinion) String() string { return [...]string{"none", "reached", "unreached", "doubtful"}[o] }

// Paths tracks from which addresses of upstreams this node is cut off. It is not safe for concurrent use.
type Paths struct {
	paths map[string]*path
	// heardAt is when a direct connection to any address was last opened or brought an answer.
	heardAt time.Time
	// openedAt is when a direct connection to any address was last opened.
	openedAt time.Time
	// silent holds when nodes did not answer.
	silent map[string]time.Time
}

// path is the way to one address.
type path struct {
	// brokenAt is when another node last reached the address while this one did not, zero while the path is not known to be
	// broken.
	brokenAt time.Time
	probedAt time.Time
	askedAt  time.Time
	usedAt   time.Time
	// opinions holds the last opinions of other nodes.
	opinions map[string]opinionAt
}

type opinionAt struct {
	opinion Opinion
	at      time.Time
}

func (p *Paths) path(address string, now time.Time) *path {
	if p.paths == nil {
		p.paths = map[string]*path{}
	}
	known := p.paths[address]
	if known == nil {
		known = &path{}
		p.paths[address] = known
	}
	known.usedAt = now
	return known
}

// Opened records that a direct connection to an address was opened.
func (p *Paths) Opened(address string, now time.Time) {
	p.heardAt, p.openedAt = now, now
	p.path(address, now).brokenAt = time.Time{}
}

// Heard records that an answer has come on a direct connection. That doesn't show that new ones can be opened.
func (p *Paths) Heard(now time.Time) { p.heardAt = now }

// Failed records that a direct connect to an address has failed, and reports whether to ask another node about it.
func (p *Paths) Failed(address string, now time.Time) (ask bool) {
	known := p.path(address, now)
	known.probedAt = now
	if now.Sub(known.askedAt) < opinionInterval {
		return false
	}
	known.askedAt = now
	return true
}

// Told records the opinion of a node on an address that this node can't connect to.
func (p *Paths) Told(address, node string, opinion Opinion, now time.Time) {
	delete(p.silent, node)
	known := p.path(address, now)
	if known.opinions == nil {
		known.opinions = map[string]opinionAt{}
	}
	known.opinions[node] = opinionAt{
		opinion: opinion,
		at:      now,
	}
	if opinion == Reached {
		known.brokenAt = now
	}
}

// Silent records that a node did not answer.
func (p *Paths) Silent(node string, now time.Time) {
	if p.silent == nil {
		p.silent = map[string]time.Time{}
	}
	p.silent[node] = now
}

// Down reports whether the upstream at an address is down by what the other nodes have said of late: some that reach others
// don't reach it, and none does.
func (p *Paths) Down(address string, now time.Time) bool {
	said := p.said(address, now)
	return said[Unreached] > 0 && said[Reached] == 0
}

// ReachedByNone reports whether other nodes have tried of late to connect to an address, and none has reached it.
func (p *Paths) ReachedByNone(address string, now time.Time) bool {
	said := p.said(address, now)
	return said[Unreached]+said[Doubtful] > 0 && said[Reached] == 0
}

// said counts the opinions of late on an address.
func (p *Paths) said(address string, now time.Time) map[Opinion]int {
	counts := map[Opinion]int{}
	if known := p.paths[address]; known != nil {
		for _, said := range known.opinions {
			if now.Sub(said.at) < opinionLifetime {
				counts[said.opinion]++
			}
		}
	}
	return counts
}

// Broken reports whether connections to an address are opened through other nodes: the path to it is known to be broken, or
// this node is cut off from all upstreams.
func (p *Paths) Broken(address string) bool { return p.KnownBroken(address) || p.CutOff() }

// OpenedLately reports whether a direct connection was opened of late, so that this node's own path to the upstreams works.
func (p *Paths) OpenedLately(now time.Time) bool { return now.Sub(p.openedAt) < openedLifetime }

// KnownBroken reports whether another node has reached an address while this one could not.
func (p *Paths) KnownBroken(address string) bool {
	known := p.paths[address]
	return known != nil && !known.brokenAt.IsZero()
}

// CutOff reports whether this node takes itself for cut off from all upstreams.
func (p *Paths) CutOff() bool {
	broken := 0
	for _, known := range p.paths {
		if known.brokenAt.After(p.heardAt) {
			broken++
		}
	}
	return broken >= cutOffPaths || broken > 0 && broken == len(p.paths)
}

// BrokenPaths returns the number of addresses to which the path is known to be broken.
func (p *Paths) BrokenPaths() (broken int) {
	for _, known := range p.paths {
		if !known.brokenAt.IsZero() {
			broken++
		}
	}
	return broken
}

// Probes returns the addresses to connect to directly now, to learn whether their paths work again, and forgets those that
// were not used for long.
func (p *Paths) Probes(now time.Time) (addresses []string) {
	maps.DeleteFunc(p.paths, func(_ string, known *path) bool { return now.Sub(known.usedAt) >= pathLifetime })
	maps.DeleteFunc(p.silent, func(_ string, since time.Time) bool { return now.Sub(since) >= opinionLifetime })
	for _, address := range slices.Sorted(maps.Keys(p.paths)) {
		known := p.paths[address]
		maps.DeleteFunc(known.opinions, func(_ string, said opinionAt) bool { return now.Sub(said.at) >= opinionLifetime })
		if !known.brokenAt.IsZero() && now.Sub(known.probedAt) >= probeInterval {
			known.probedAt = now
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Detours returns the nodes to connect to an address through, the first ones first, of those that are given in the order of
// preference: first those that have reached it of late, whose number is returned as well, last those that could not or don't
// answer.
func (p *Paths) Detours(address string, nodes []string, now time.Time) (ranked []string, proven int) {
	var opinions map[string]opinionAt
	if known := p.paths[address]; known != nil {
		opinions = known.opinions
	}
	rank := func(node string) int {
		said, found := opinions[node]
		switch {
		case now.Sub(p.silent[node]) < opinionLifetime:
			return 3
		case !found || now.Sub(said.at) >= opinionLifetime:
			return 1
		case said.opinion == Reached:
			return 0
		}
		return 2
	}
	ranked = slices.Clone(nodes)
	slices.SortStableFunc(ranked, func(a, b string) int { return rank(a) - rank(b) })
	for proven < len(ranked) && rank(ranked[proven]) == 0 {
		proven++
	}
	return ranked, proven
}
