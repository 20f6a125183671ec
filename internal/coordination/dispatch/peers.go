package dispatch

import (
	"maps"
	"slices"
	"time"

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/coordination/ratelimit"
)

// peerDigestLifetime is how long a digest received from another node is valid.
const peerDigestLifetime = 2 * time.Second

// Load is the load that one node's requests put on one upstream, or the sum over several nodes.
type Load struct {
	// Waiting is the number of prompt tokens that wait for prefill.
	Waiting int
	// Running is the number of requests past their first event.
	Running int
	// Down is the number of nodes that are in backoff from the upstream by their own observations.
	Down int
}

// plus returns the sum of the load and sign times another load.
func (l Load) plus(other Load, sign int) Load {
	return Load{
		Waiting: l.Waiting + sign*other.Waiting,
		Running: l.Running + sign*other.Running,
		Down:    l.Down + sign*other.Down,
	}
}

// EngineDemand is how many engines of a pool are needed by interactive requests, which need short pauses between
// events, and by all other requests.
type EngineDemand struct {
	Interactive float64
	Bulk        float64
}

// plus returns the sum of the demand and factor times another demand.
func (e EngineDemand) plus(other EngineDemand, factor float64) EngineDemand {
	return EngineDemand{
		Interactive: e.Interactive + factor*other.Interactive,
		Bulk:        e.Bulk + factor*other.Bulk,
	}
}

// Digest is the load and the demand that one node advertises to the others, or the sum over several nodes.
type Digest struct {
	// Nodes is the number of nodes that the digest covers; 0 counts as one.
	Nodes int
	// Loads is keyed by upstream name, EngineDemands by pool name.
	Loads         map[string]Load
	EngineDemands map[string]EngineDemand
	// PoolRequests holds the requests at the upstreams of each pool that has scaling.
	PoolRequests map[string]PoolRequests
	// Evidence is what was observed of the engines of each pool.
	Evidence map[string]calibration.Evidence
	// Leaving holds the boots of the upstreams that said that they are leaving, by name.
	Leaving map[string]int
	// Suspects is the evidence about what crashes upstreams. A node repeats what it was told, so that it
	// passes through relays.
	Suspects []quarantine.Row
	// Limits are the limits that upstreams have named, repeated in the same way.
	Limits []ratelimit.Report
	// Brittle is how many requests a second brittle upstreams may turn away, repeated in the same way.
	Brittle []ratelimit.Report
}

// peerDigest is the last digest received from a peer.
type peerDigest struct {
	Digest
	receivedAt time.Time
}

// ReceiveDigest stores the digest of another node in place of its previous one.
func (d *Dispatcher) ReceiveDigest(peer string, digest Digest, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropPeer(siteKey) // a node that receives digests adds them up itself; the sum would count them twice
	d.storePeer(peer, digest, now)
}

// addPeerLoads adds sign times the loads of a peer to the sums by upstream; the lock must be held.
func (d *Dispatcher) addPeerLoads(loads map[string]Load, sign int) {
	for name, other := range loads {
		load := d.peerLoad(name)
		*load = load.plus(other, sign)
	}
}

// peerLoad returns the sum of the peers' loads at an upstream, creating it if needed; the lock must be held.
func (d *Dispatcher) peerLoad(name string) *Load {
	if d.peerLoads == nil {
		d.peerLoads = map[string]*Load{}
	}
	load := d.peerLoads[name]
	if load == nil {
		load = &Load{}
		d.peerLoads[name] = load
	}
	return load
}

// expirePeers drops digests older than peerDigestLifetime. It returns the ratio of all other nodes to those that the
// remaining digests cover, at least 1, which extrapolates the sums to the missing nodes; the lock must be held.
func (d *Dispatcher) expirePeers(now time.Time) (scale float64) {
	covered := 0
	for name, peer := range d.peers {
		if now.Sub(peer.receivedAt) >= peerDigestLifetime {
			d.dropPeer(name)
			continue
		}
		covered += peer.nodes()
	}
	others := d.Nodes() - 1
	if covered == 0 || others <= covered {
		return 1
	}
	return float64(others) / float64(covered)
}

// Advertise returns the digest of this node to send to the others.
func (d *Dispatcher) Advertise(now time.Time) Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.localDigest(now)
}

// localDigest returns this node's load at each upstream and demand in each pool; the lock must be held.
func (d *Dispatcher) localDigest(now time.Time) Digest {
	digest := newDigest()
	for r, upstream := range d.states {
		load := Load{
			Waiting: upstream.forecast.backlog(lastTier, now),
			Running: upstream.forecast.running,
		}
		if upstream.health.backedOff(now) && !upstream.health.fromHere || upstream.health.paused(now) {
			load.Down = 1
		}
		if upstream.health.saidLeaving {
			digest.Leaving[r.Name()] = r.Boot()
		}
		if load != (Load{}) {
			digest.Loads[r.Name()] = load
		}
	}
	digest.PoolRequests = d.scaledRequests(now)
	digest.Suspects = d.quarantine.Rows(now)
	digest.Limits = d.limits.Reports(now)
	digest.Brittle = d.brittle.Reports(now)
	for pool := range d.splits {
		digest.EngineDemands[pool] = d.demand(pool, now)
	}
	for pool, p := range d.paces {
		digest.Evidence[pool] = p.estimator.Evidence(now)
	}
	return digest
}

// sortedPeers returns the digests received from other nodes in the order of their names, so that sums of fractions are
// the same each time; the lock must be held.
func (d *Dispatcher) sortedPeers() []peerDigest {
	digests := make([]peerDigest, 0, len(d.peers))
	for _, name := range slices.Sorted(maps.Keys(d.peers)) {
		digests = append(digests, d.peers[name])
	}
	return digests
}

// totalDemand returns how many engines of a pool the requests of all nodes need; the lock must be held.
func (d *Dispatcher) totalDemand(pool string, scale float64, now time.Time) EngineDemand {
	var others EngineDemand
	for _, peer := range d.sortedPeers() {
		others = others.plus(peer.EngineDemands[pool], 1)
	}
	return d.demand(pool, now).plus(others, scale)
}

// splitDemand returns the demand by which the engines of a pool are divided; the lock must be held. On a site with relays it is
// zero until the demand of the nodes that started together with this one has passed through them: by that of a few nodes too few
// engines would be reserved for interactive requests, and filled by those of all nodes.
func (d *Dispatcher) splitDemand(pool string, scale float64, now time.Time) EngineDemand {
	if d.Nodes() > maxDirectNodes && now.Sub(d.split(pool).firstAt) < siteObservation {
		return EngineDemand{}
	}
	return d.totalDemand(pool, scale, now)
}
