package entryvm

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/transport/peer"
)

const (
	// loadsEvery is the time between two tells of this node's load to the others; a prompt is read in a few hundred
	// milliseconds.
	loadsEvery = 250 * time.Millisecond
	// idleLoadsEvery is the time between two tells of a node that has nothing anywhere, within the life of its word.
	idleLoadsEvery = time.Second
	// maxLoadPeers is the largest site on which every node tells every other one; on larger ones relays sum up.
	maxLoadPeers = 16
	// relayEvery is the time between two tells to a relay, and of the relays to each other; what the delay costs is compared
	// in docs/MODEL.md.
	relayEvery = 500 * time.Millisecond
	// relayAfterFailure is how long a relay that did not answer is passed over, as long as members take to suspect it.
	relayAfterFailure = 4 * time.Second
	// relayFor is how long a node that was told loads acts as a relay.
	relayFor = 2 * time.Second
	// relaysKey ranks the nodes of a zone as relays.
	relaysKey = "relays"
)

// loads tells the other nodes what this one has at the upstreams.
type loads struct {
	process *Process

	mu       sync.Mutex
	toldAt   time.Time
	toldZone time.Time
	// relayed is when another node last told its load to this one as its relay.
	relayed time.Time
	// failed is when relays last gave no answer.
	failed map[string]time.Time
}

// tell is called every loadsEvery.
func (l *loads) tell(now time.Time) {
	live := l.process.members.Live()
	if len(live) <= maxLoadPeers {
		l.tellAll(live, now)
		return
	}
	relay := l.relayOf(live, l.process.AvailabilityZone, now)
	if relay.Name != l.process.Name && l.due(&l.toldAt, relayEvery, now) {
		go l.tellRelay(relay)
	}
	if l.isRelay(relay, now) && l.due(&l.toldZone, relayEvery, now) {
		l.tellZones(live, now)
	}
}

// due reports whether so much time has passed, and begins anew if so.
func (l *loads) due(last *time.Time, every time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

func (l *loads) tellAll(live []wire.Member, now time.Time) {
	own := l.process.dispatcher.Advertise(now)
	if len(own.Loads) == 0 && !l.due(&l.toldAt, idleLoadsEvery, now) {
		return
	}
	l.process.tell(live, peer.MethodLoadDigest, encodeLoads(l.process.Name, own))
}

// relayOf returns the relay of an availability zone, the same at all nodes that know the same members and had an answer.
func (l *loads) relayOf(live []wire.Member, zone string, now time.Time) wire.Member {
	byName := map[string]wire.Member{}
	var names []string
	for _, row := range live {
		if row.AvailabilityZone == zone {
			byName[row.Name] = row
			names = append(names, row.Name)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ranked := rendezvous.Rank(relaysKey, names)
	at := max(slices.IndexFunc(ranked, func(name string) bool { return now.Sub(l.failed[name]) >= relayAfterFailure }), 0)
	if len(ranked) == 0 {
		return wire.Member{Name: l.process.Name}
	}
	return byName[ranked[at]]
}

// isRelay reports whether this node sums up for others: by its own view of the members, or because they told it.
func (l *loads) isRelay(relay wire.Member, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return relay.Name == l.process.Name || now.Sub(l.relayed) < relayFor
}

// tellRelay tells a relay this node's load and takes in the sum of the site, which it answers.
func (l *loads) tellRelay(relay wire.Member) {
	p := l.process
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var answer wire.LoadDigest
	told := encodeLoads(p.Name, p.dispatcher.Advertise(time.Now()))
	if err := p.client.Call(ctx, relay.Address, peer.MethodRelayLoads, told, &answer); err != nil {
		p.Logger.Warn().Err(err).Str("decision", "relay").Str("step", peer.MethodRelayLoads).Str("peer", relay.Name).
			Msg("relay of loads did not answer; passed over for a while")
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.failed == nil {
			l.failed = map[string]time.Time{}
		}
		l.failed[relay.Name] = time.Now()
		return
	}
	p.dispatcher.ReceiveSiteDigest(decodeLoads(answer), time.Now())
}

// tellZones tells the relays of the other availability zones the sum of this one.
func (l *loads) tellZones(live []wire.Member, now time.Time) {
	sum := encodeLoads(l.process.AvailabilityZone, l.process.dispatcher.ZoneSum(now))
	seen := map[string]bool{l.process.AvailabilityZone: true}
	var relays []wire.Member
	for _, row := range live {
		if !seen[row.AvailabilityZone] {
			seen[row.AvailabilityZone] = true
			relays = append(relays, l.relayOf(live, row.AvailabilityZone, now))
		}
	}
	l.process.tell(relays, peer.MethodZoneLoads, sum)
}

// handler takes in digests that peers tell.
func handler(hear hearing) peer.Handler {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		return struct{}{}, hear.take(params)
	}
}

// handleRelayLoads takes in a node's load and answers with the sum of the site.
func (l *loads) handleRelayLoads(_ context.Context, params json.RawMessage) (any, error) {
	if err := hearing(l.process.dispatcher.ReceiveDigest).take(params); err != nil {
		return nil, err
	}
	now := time.Now()
	l.mu.Lock()
	l.relayed = now
	l.mu.Unlock()
	return encodeLoads(l.process.Name, l.process.dispatcher.SiteSum(now)), nil
}

// hearing is given a digest and who told it.
type hearing func(from string, digest dispatch.Digest, now time.Time)

func (hear hearing) take(params json.RawMessage) error {
	var digest wire.LoadDigest
	if err := json.Unmarshal(params, &digest); err != nil {
		return eris.Wrap(err, "decode load digest")
	}
	hear(digest.From, decodeLoads(digest), time.Now())
	return nil
}

func encodeLoads(from string, told dispatch.Digest) wire.LoadDigest {
	digest := wire.LoadDigest{
		From:  from,
		Nodes: told.Nodes,
	}
	for name, load := range told.Loads {
		digest.Rows = append(digest.Rows, wire.UpstreamLoad{
			Upstream: name,
			Running:  load.Running,
			Waiting:  load.Waiting,
			Down:     load.Down,
		})
	}
	for pool, work := range told.EngineDemands {
		digest.Work = append(digest.Work, wire.PoolWork{
			Pool:        pool,
			Interactive: work.Interactive,
			Bulk:        work.Bulk,
		})
	}
	return digest
}

func decodeLoads(digest wire.LoadDigest) dispatch.Digest {
	told := dispatch.Digest{
		Nodes:         digest.Nodes,
		Loads:         make(map[string]dispatch.Load, len(digest.Rows)),
		EngineDemands: make(map[string]dispatch.EngineDemand, len(digest.Work)),
	}
	for _, row := range digest.Rows {
		told.Loads[row.Upstream] = dispatch.Load{
			Waiting: row.Waiting,
			Running: row.Running,
			Down:    row.Down,
		}
	}
	for _, row := range digest.Work {
		told.EngineDemands[row.Pool] = dispatch.EngineDemand{
			Interactive: row.Interactive,
			Bulk:        row.Bulk,
		}
	}
	return told
}
