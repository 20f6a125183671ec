package dispatch

import "time"

// peerLife is how long another node's word about its load counts.
const peerLife = 2 * time.Second

// Load is what one node has at one upstream.
type Load struct {
	// Waiting is the prompt tokens that are still to be read.
	Waiting int
	// Running is the requests past their first event.
	Running int
	// Down counts the nodes that leave the upstream alone by what they saw of it themselves.
	Down int
}

// plus adds another load, as often as sign says.
func (l Load) plus(other Load, sign int) Load {
	return Load{
		Waiting: l.Waiting + sign*other.Waiting,
		Running: l.Running + sign*other.Running,
		Down:    l.Down + sign*other.Down,
	}
}

// EngineDemand is how many engines of a pool are needed: by requests whose answers may not pause, and by the others.
type EngineDemand struct {
	Interactive float64
	Bulk        float64
}

// plus adds another need, as often as times says.
func (w EngineDemand) plus(other EngineDemand, times float64) EngineDemand {
	return EngineDemand{
		Interactive: w.Interactive + times*other.Interactive,
		Bulk:        w.Bulk + times*other.Bulk,
	}
}

// Digest is what one node tells the others, or the sum of what several tell.
type Digest struct {
	// Nodes is how many nodes it stands for; 0 counts as one.
	Nodes int
	// Loads is by upstream, Work by pool.
	Loads         map[string]Load
	EngineDemands map[string]EngineDemand
}

// peerDigest is what another node last told.
type peerDigest struct {
	Digest
	at time.Time
}

// ReceiveDigest takes in what another node has at the upstreams.
func (d *Dispatcher) ReceiveDigest(peer string, digest Digest, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drop(siteKey) // a node that others tell is a relay and sums up itself
	d.take(peer, digest, now)
}

// sum adds a node's rows to what was heard, or takes them away; the lock must be held.
func (d *Dispatcher) sum(rows map[string]Load, sign int) {
	for name, row := range rows {
		load := d.heardAt(name)
		*load = load.plus(row, sign)
	}
}

// heardAt returns the sum of what the other nodes told of an upstream; the lock must be held.
func (d *Dispatcher) heardAt(name string) *Load {
	if d.heard == nil {
		d.heard = map[string]*Load{}
	}
	load := d.heard[name]
	if load == nil {
		load = &Load{}
		d.heard[name] = load
	}
	return load
}

// dropSilent forgets nodes that have not told their load for too long, and returns by how much the sums stand for fewer
// nodes than there are: those that were heard stand for those that were not.
func (d *Dispatcher) dropSilent(now time.Time) (scale float64) {
	heard := 0
	for name, peer := range d.peers {
		if now.Sub(peer.at) >= peerLife {
			d.drop(name)
			continue
		}
		heard += peer.nodes()
	}
	others := d.Nodes() - 1
	if heard == 0 || others <= heard {
		return 1
	}
	return float64(others) / float64(heard)
}

// Advertise returns what this node tells the others.
func (d *Dispatcher) Advertise(now time.Time) Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = d.own(now)
	return d.told
}

// own returns what this node has at each upstream and needs of each pool; the lock must be held.
func (d *Dispatcher) own(now time.Time) Digest {
	digest := newDigest()
	for r, known := range d.states {
		load := Load{
			Waiting: known.forecast.backlog(lastTier, now),
			Running: known.forecast.running,
		}
		if known.health.avoid(now) {
			load.Down = 1
		}
		if load != (Load{}) {
			digest.Loads[r.Name()] = load
		}
	}
	for pool, known := range d.splits {
		digest.EngineDemands[pool] = known.rate(now)
	}
	return digest
}

// need returns how many engines of a pool the requests of all nodes need; the lock must be held.
func (d *Dispatcher) need(pool string, scale float64, now time.Time) EngineDemand {
	var others EngineDemand
	for _, peer := range d.peers {
		others = others.plus(peer.EngineDemands[pool], 1)
	}
	return d.split(pool).rate(now).plus(others, scale)
}
