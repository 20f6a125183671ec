package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/coordination/ratelimit"
)

// A site is all nodes together. On a large site each node sends its digest to one relay, a node of its availability
// zone, which answers with the sum of the digests of the site. The relays exchange the sums of their zones. The number
// of messages that a node other than a relay sends then does not grow with the site.

// Keys of sums in Dispatcher.peers. No node has such a name.
const (
	siteKey    = "*site"
	zonePrefix = "*zone/"
)

// ReceiveZoneDigest stores the sum of an availability zone, as sent by its relay.
func (d *Dispatcher) ReceiveZoneDigest(zone string, sum Digest, now time.Time) {
	d.ReceiveDigest(zonePrefix+zone, sum, now)
}

// ReceiveSiteDigest replaces all peer digests by a relay's answer to this node's digest. The sum covers all nodes and
// includes that digest, which is subtracted.
func (d *Dispatcher) ReceiveSiteDigest(sum, own Digest, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := newDigest()
	others.Nodes = max(sum.nodes()-1, 1)
	others.add(sum, 1)
	others.add(own, -1)
	others.Suspects = sum.Suspects
	others.Limits = sum.Limits
	others.Brittle = sum.Brittle
	for name := range d.peers {
		d.dropPeer(name)
	}
	d.storePeer(siteKey, others, now)
}

// ZoneSum returns the sum of this node and of the nodes that send it their digests.
func (d *Dispatcher) ZoneSum(now time.Time) Digest {
	return d.sumDigests(now, func(peer string) bool { return !strings.HasPrefix(peer, zonePrefix) })
}

// SiteSum returns the sum of this node, the nodes that send it their digests, and the zones of other relays.
func (d *Dispatcher) SiteSum(now time.Time) Digest {
	return d.sumDigests(now, func(string) bool { return true })
}

// sumDigests returns the sum of this node and of the included peers.
func (d *Dispatcher) sumDigests(now time.Time, include func(peer string) bool) Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expirePeers(now)
	total := d.localDigest(now)
	total.Nodes = 1
	for _, name := range slices.Sorted(maps.Keys(d.peers)) {
		if peer := d.peers[name]; name != siteKey && include(name) {
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
		PoolRequests:  map[string]PoolRequests{},
		Evidence:      map[string]calibration.Evidence{},
		Leaving:       map[string]int{},
	}
}

// nodes returns the number of nodes that a digest covers.
func (g Digest) nodes() int { return max(g.Nodes, 1) }

// add adds sign times another digest. Digests of different times may not match, so results are at least zero.
func (g Digest) add(other Digest, sign int) {
	for name, otherLoad := range other.Loads {
		load := g.Loads[name].plus(otherLoad, sign)
		g.Loads[name] = Load{
			Waiting: max(load.Waiting, 0),
			Running: max(load.Running, 0),
			Down:    max(load.Down, 0),
		}
	}
	for pool, evidence := range other.Evidence {
		g.Evidence[pool] = g.Evidence[pool].Plus(evidence, float64(sign))
	}
	for pool, requests := range other.PoolRequests {
		g.PoolRequests[pool] = g.PoolRequests[pool].plus(requests, sign)
	}
	if sign > 0 {
		maps.Copy(g.Leaving, other.Leaving)
	}
	for pool, otherDemand := range other.EngineDemands {
		demand := g.EngineDemands[pool].plus(otherDemand, float64(sign))
		g.EngineDemands[pool] = EngineDemand{
			Interactive: max(demand.Interactive, 0),
			Bulk:        max(demand.Bulk, 0),
		}
	}
}

// storePeer replaces the digest of a peer. It keeps the maps of the digest without copying them; the lock must be
// held.
func (d *Dispatcher) storePeer(peer string, digest Digest, now time.Time) {
	if d.peers == nil {
		d.peers = map[string]peerDigest{}
	}
	d.dropPeer(peer)
	d.quarantine.Merge(digest.Suspects, now)
	digest.Suspects = nil
	d.mergeReports(&d.limits, digest.Limits, now)
	d.mergeReports(&d.brittle, digest.Brittle, now)
	digest.Limits, digest.Brittle = nil, nil
	d.peers[peer] = peerDigest{
		Digest:     digest,
		receivedAt: now,
	}
	d.addPeerLoads(digest.Loads, 1)
	d.markLeaving(digest.Leaving)
}

// mergeReports records what another node has told of listed upstreams; the lock must be held.
func (d *Dispatcher) mergeReports(into *ratelimit.Limits, reports []ratelimit.Report, now time.Time) {
	snapshot := d.Table.Load()
	for _, report := range reports {
		if lookup(snapshot, report.Upstream) != nil {
			into.Merge(report, now)
		}
	}
}

// markLeaving marks the boots of upstreams that said so to another node as leaving; the lock must be held. This node's
// own digests then repeat it, so that it passes through relays.
func (d *Dispatcher) markLeaving(boots map[string]int) {
	snapshot := d.Table.Load()
	for name, boot := range boots {
		if r, known := snapshot.Replica(name); known && r.Boot() == boot {
			r.MarkLeaving()
			d.state(r).health.saidLeaving = true
		}
	}
}

// dropPeer removes the digest of a peer; the lock must be held.
func (d *Dispatcher) dropPeer(peer string) {
	d.addPeerLoads(d.peers[peer].Loads, -1)
	delete(d.peers, peer)
}
