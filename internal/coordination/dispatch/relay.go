package dispatch

import (
	"strings"
	"time"
)

// On a large site a node tells its load to one relay, a node of its availability zone, and is answered with the sum of the
// site; the relays tell each other the sums of their zones. The messages of a node then do not grow with the site.

// Names under which sums are kept among the peers; no node has such a name.
const (
	siteKey    = "*site"
	zonePrefix = "*zone/"
)

// ReceiveZoneDigest takes in what a relay told of its whole availability zone.
func (d *Dispatcher) ReceiveZoneDigest(zone string, sum Digest, now time.Time) {
	d.ReceiveDigest(zonePrefix+zone, sum, now)
}

// ReceiveSiteDigest takes in a relay's answer: the sum of all nodes, with what this node last told.
func (d *Dispatcher) ReceiveSiteDigest(sum Digest, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := newDigest()
	others.Nodes = max(sum.nodes()-1, 1)
	others.add(sum, 1)
	others.add(d.told, -1)
	for name := range d.peers {
		d.drop(name)
	}
	d.take(siteKey, others, now)
}

// ZoneSum returns the sum of this node and of those that tell it their loads.
func (d *Dispatcher) ZoneSum(now time.Time) Digest {
	return d.sumUp(now, func(peer string) bool { return !strings.HasPrefix(peer, zonePrefix) })
}

// SiteSum returns the sum of all nodes that this one knows of.
func (d *Dispatcher) SiteSum(now time.Time) Digest {
	return d.sumUp(now, func(string) bool { return true })
}

func (d *Dispatcher) sumUp(now time.Time, counts func(peer string) bool) Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropSilent(now)
	total := d.own(now)
	total.Nodes = 1
	for name, peer := range d.peers {
		if name != siteKey && counts(name) {
			total.Nodes += peer.nodes()
			total.add(peer.Digest, 1)
		}
	}
	return total
}

func newDigest() Digest {
	return Digest{
		Loads:         map[string]Load{},
		EngineDemands: map[string]EngineDemand{},
	}
}

// nodes returns how many nodes a digest stands for.
func (g Digest) nodes() int { return max(g.Nodes, 1) }

// add adds another digest, or takes it away. What was told at different times may not add up: nothing falls below zero.
func (g Digest) add(other Digest, sign int) {
	for name, row := range other.Loads {
		load := g.Loads[name].plus(row, sign)
		g.Loads[name] = Load{
			Waiting: max(load.Waiting, 0),
			Running: max(load.Running, 0),
			Down:    max(load.Down, 0),
		}
	}
	for pool, row := range other.EngineDemands {
		work := g.EngineDemands[pool].plus(row, float64(sign))
		g.EngineDemands[pool] = EngineDemand{
			Interactive: max(work.Interactive, 0),
			Bulk:        max(work.Bulk, 0),
		}
	}
}

// take keeps what a peer told in place of what it told before, and its maps as they are; the lock must be held.
func (d *Dispatcher) take(peer string, digest Digest, now time.Time) {
	if d.peers == nil {
		d.peers = map[string]peerDigest{}
	}
	d.drop(peer)
	d.peers[peer] = peerDigest{
		Digest: digest,
		at:     now,
	}
	d.sum(digest.Loads, 1)
}

// drop forgets what a peer told; the lock must be held.
func (d *Dispatcher) drop(peer string) {
	d.sum(d.peers[peer].Loads, -1)
	delete(d.peers, peer)
}
