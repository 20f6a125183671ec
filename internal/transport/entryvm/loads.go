package entryvm

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/transport/peer"
)

const (
	// loadReportInterval is the time between two reports of this node's load to the other nodes. It is of the order of the
	// few hundred milliseconds that an upstream takes to read a prompt.
	loadReportInterval = 250 * time.Millisecond
	// idleLoadReportInterval is the time between two reports of a node without load; it is shorter than the time after
	// which the other nodes discard a digest.
	idleLoadReportInterval = time.Second
	// maxFullMeshNodes is the largest number of live nodes at which each node reports to all others; on a larger site each
	// node reports to a relay, which aggregates the loads.
	maxFullMeshNodes = 16
	// relayReportInterval is the time between two reports to a relay, and between two reports of a relay to the others;
	// docs/MODEL.md compares what the delay costs.
	relayReportInterval = 500 * time.Millisecond
	// relayRetryDelay is how long a relay that did not answer is skipped: as long as the membership protocol suspects a
	// member before it declares it dead.
	relayRetryDelay = 4 * time.Second
	// relayRoleTimeout is how long a node acts as a relay after another node last reported to it.
	relayRoleTimeout = 2 * time.Second
	// relaysKey is the rendezvous hashing key that ranks the nodes of an availability zone as relays.
	relaysKey = "relays"
)

// loadReporter reports this node's load at the upstreams to the other nodes.
type loadReporter struct {
	process *Process

	mu             sync.Mutex
	lastOwnReport  time.Time
	lastZoneReport time.Time
	// lastRelayed is when another node last used this one as its relay, by a call of MethodRelayLoads.
	lastRelayed time.Time
	// lastFailure holds, by name, when a relay last did not answer.
	lastFailure map[string]time.Time
}

// report sends the reports that are due; it is called every loadReportInterval.
func (l *loadReporter) report(now time.Time) {
	l.process.updateNodes(now)
	live := l.process.members.Live()
	if len(live) <= maxFullMeshNodes {
		l.reportToAll(live, now)
		return
	}
	relay := l.relayOf(live, l.process.AvailabilityZone, now)
	if relay.Name != l.process.Name && l.due(&l.lastOwnReport, relayReportInterval, now) {
		l.process.tasks.Go(func(ctx context.Context) { l.reportToRelay(ctx, relay) })
	}
	if l.isRelay(relay, now) && l.due(&l.lastZoneReport, relayReportInterval, now) {
		l.reportToOtherZones(live, now)
	}
}

// due reports whether the interval has passed since last, and sets last to now if so.
func (l *loadReporter) due(last *time.Time, interval time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// reportToAll sends this node's load to all live nodes, less often while it has none.
func (l *loadReporter) reportToAll(live []wire.Member, now time.Time) {
	digest := l.process.dispatcher.Advertise(now)
	if len(digest.Loads) == 0 && !l.due(&l.lastOwnReport, idleLoadReportInterval, now) {
		return
	}
	l.process.outgoing.sendLoads(live, peer.MethodLoadDigest, encodeLoads(l.process.Name, digest))
}

// relayOf returns the relay of an availability zone. All nodes that know the same members choose the same one, except
// those that skip it because it did not answer them. If every node of the zone is to be skipped, the first one is used.
// If the zone has no live node, this node is its own relay.
func (l *loadReporter) relayOf(live []wire.Member, zone string, now time.Time) wire.Member {
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
	index := max(slices.IndexFunc(ranked, func(name string) bool {
		return now.Sub(l.lastFailure[name]) >= relayRetryDelay
	}), 0)
	if len(ranked) == 0 {
		return wire.Member{Name: l.process.Name}
	}
	return byName[ranked[index]]
}

// isRelay reports whether this node is a relay, by its own view of the members or because another node uses it as one.
func (l *loadReporter) isRelay(relay wire.Member, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return relay.Name == l.process.Name || now.Sub(l.lastRelayed) < relayRoleTimeout
}

// reportToRelay sends this node's load to the relay and applies the site's total from its answer.
func (l *loadReporter) reportToRelay(ctx context.Context, relay wire.Member) {
	p := l.process
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var answer wire.LoadDigest
	own := p.dispatcher.Advertise(time.Now())
	if err := p.client.Call(
		ctx, relay.Address, peer.MethodRelayLoads, encodeLoads(p.Name, own), &answer); err != nil {
		p.Logger.Warn().Err(err).Str("decision", "relay").Str("step", peer.MethodRelayLoads).Str("peer", relay.Name).
			Msg("load relay did not answer; trying another one for a while")
		l.recordFailure(relay.Name, time.Now())
		return
	}
	p.dispatcher.ReceiveSiteDigest(decodeLoads(answer), own, time.Now())
}

// recordFailure records that a relay did not answer, and forgets the failures that relayOf no longer considers.
func (l *loadReporter) recordFailure(relay string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastFailure == nil {
		l.lastFailure = map[string]time.Time{}
	}
	maps.DeleteFunc(l.lastFailure, func(_ string, failed time.Time) bool { return now.Sub(failed) >= relayRetryDelay })
	l.lastFailure[relay] = now
}

// reportToOtherZones sends the total of this availability zone to the relays of the others.
func (l *loadReporter) reportToOtherZones(live []wire.Member, now time.Time) {
	sum := encodeLoads(l.process.AvailabilityZone, l.process.dispatcher.ZoneSum(now))
	seen := map[string]bool{l.process.AvailabilityZone: true}
	var relays []wire.Member
	for _, row := range live {
		if !seen[row.AvailabilityZone] {
			seen[row.AvailabilityZone] = true
			relays = append(relays, l.relayOf(live, row.AvailabilityZone, now))
		}
	}
	l.process.outgoing.sendLoads(relays, peer.MethodZoneLoads, sum)
}

// loadDigestHandler returns a handler that decodes a peer's load digest and passes it to receive.
func loadDigestHandler(receive loadDigestReceiver) peer.Handler {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		return struct{}{}, receive.handle(params)
	}
}

// handleRelayLoads applies a node's load and answers with the site's total.
func (l *loadReporter) handleRelayLoads(_ context.Context, params json.RawMessage) (any, error) {
	if err := loadDigestReceiver(l.process.dispatcher.ReceiveDigest).handle(params); err != nil {
		return nil, err
	}
	now := time.Now()
	l.mu.Lock()
	l.lastRelayed = now
	l.mu.Unlock()
	return encodeLoads(l.process.Name, l.process.dispatcher.SiteSum(now)), nil
}

// loadDigestReceiver is called with a load digest and the name of the node or availability zone whose load it holds.
type loadDigestReceiver func(from string, digest dispatch.Digest, now time.Time)

func (receive loadDigestReceiver) handle(params json.RawMessage) error {
	var message wire.LoadDigest
	if err := json.Unmarshal(params, &message); err != nil {
		return eris.Wrap(err, "decode load digest")
	}
	receive(message.From, decodeLoads(message), time.Now())
	return nil
}

func encodeLoads(from string, digest dispatch.Digest) wire.LoadDigest {
	message := wire.LoadDigest{
		From:  from,
		Nodes: digest.Nodes,
	}
	for name, load := range digest.Loads {
		message.Rows = append(message.Rows, wire.UpstreamLoad{
			Upstream: name,
			Running:  load.Running,
			Waiting:  load.Waiting,
			Down:     load.Down,
		})
	}
	for name, boot := range digest.Leaving {
		message.Leaving = append(message.Leaving, wire.LeavingUpstream{
			Upstream: name,
			Boot:     boot,
		})
	}
	message.Suspects = encodeSuspects(digest.Suspects)
	for _, report := range digest.Limits {
		message.Limits = append(message.Limits, encodeLimit(report))
	}
	for _, report := range digest.Brittle {
		message.Brittle = append(message.Brittle, encodeLimit(report))
	}
	for pool, evidence := range digest.Evidence {
		demand := digest.EngineDemands[pool]
		work := wire.PoolWork{
			Pool:        pool,
			Interactive: demand.Interactive,
			Bulk:        demand.Bulk,
		}
		work.Steps = encodeGroups(evidence.Steps[:])
		work.Firsts = encodeGroups(evidence.Firsts[:])
		for _, count := range evidence.Pauses {
			work.Pauses = append(work.Pauses, round(count))
		}
		message.Work = append(message.Work, work)
	}
	for pool, requests := range digest.PoolRequests {
		message.Requests = append(message.Requests, wire.PoolRequests{
			Pool:     pool,
			Requests: requests.Requests,
			Tokens:   requests.Tokens,
			Sent:     round(requests.Sent),
			Refused:  round(requests.Refused),
		})
	}
	return message
}

// round shortens a number on the wire; the digits that are lost are far below the noise of the observations.
func round(x float64) float64 { return math.Round(x*100) / 100 }

func decodeLoads(message wire.LoadDigest) dispatch.Digest {
	digest := dispatch.Digest{
		Nodes:         message.Nodes,
		Loads:         make(map[string]dispatch.Load, len(message.Rows)),
		EngineDemands: make(map[string]dispatch.EngineDemand, len(message.Work)),
		PoolRequests:  make(map[string]dispatch.PoolRequests, len(message.Requests)),
		Evidence:      make(map[string]calibration.Evidence, len(message.Work)),
		Leaving:       make(map[string]int, len(message.Leaving)),
		Suspects:      decodeSuspects(message.Suspects),
	}
	for _, row := range message.Rows {
		digest.Loads[row.Upstream] = dispatch.Load{
			Waiting: row.Waiting,
			Running: row.Running,
			Down:    row.Down,
		}
	}
	for _, row := range message.Requests {
		digest.PoolRequests[row.Pool] = dispatch.PoolRequests{
			Requests: row.Requests,
			Tokens:   row.Tokens,
			Sent:     row.Sent,
			Refused:  row.Refused,
		}
	}
	for _, row := range message.Limits {
		digest.Limits = append(digest.Limits, decodeLimit(row))
	}
	for _, row := range message.Brittle {
		digest.Brittle = append(digest.Brittle, decodeLimit(row))
	}
	for _, row := range message.Leaving {
		digest.Leaving[row.Upstream] = row.Boot
	}
	for _, row := range message.Work {
		digest.EngineDemands[row.Pool] = dispatch.EngineDemand{
			Interactive: row.Interactive,
			Bulk:        row.Bulk,
		}
		digest.Evidence[row.Pool] = decodeEvidence(row)
	}
	return digest
}

func encodeGroups(groups []calibration.Group) []wire.ObservationGroup {
	rows := make([]wire.ObservationGroup, len(groups))
	for i, group := range groups {
		rows[i] = wire.ObservationGroup{
			Weight:  round(group.Weight),
			SizeSum: round(group.SizeSum),
			LogSum:  round(group.LogSum),
		}
	}
	return rows
}

// decodeEvidence decodes the evidence in a row. Rows of another length come from another version; missing entries are
// empty.
func decodeEvidence(row wire.PoolWork) (evidence calibration.Evidence) {
	decodeGroups(evidence.Steps[:], row.Steps)
	decodeGroups(evidence.Firsts[:], row.Firsts)
	copy(evidence.Pauses[:], row.Pauses)
	return evidence
}

func decodeGroups(groups []calibration.Group, rows []wire.ObservationGroup) {
	for i := range min(len(groups), len(rows)) {
		groups[i] = calibration.Group{
			Weight:  rows[i].Weight,
			SizeSum: rows[i].SizeSum,
			LogSum:  rows[i].LogSum,
		}
	}
}
