package entryvm

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/peer"
)

const (
	// peerTimeout bounds a call to a peer; it covers several round trips between regions.
	peerTimeout = 400 * time.Millisecond
	// fetchSilence is how long a peer that sends a whole topic may send nothing. It covers the time in which a small node
	// encodes it. maxFetchTime limits the transfer, however steadily it arrives, so that the store can be read in time after
	// it; after transfers that were cut off, up to longestFetchTime.
	fetchSilence     = 800 * time.Millisecond
	maxFetchTime     = 1500 * time.Millisecond
	longestFetchTime = 12 * time.Second
	// pushTimeout bounds the push of an update to a peer, which shares the link of this node with those to all others.
	pushTimeout = 1500 * time.Millisecond
	// linkBytesPerSecond is the rate of the slowest link of a node, 10 Mbit/s.
	linkBytesPerSecond = 10_000_000 / 8
	// maxPushBytes is the largest size of an update on the link times the number of nodes that it is pushed to.
	maxPushBytes = linkBytesPerSecond * int(pushTimeout/time.Millisecond) / 1000
	// maxUpdateBytes is the largest size of an update that is pushed. Encoded, it takes up to twice as much.
	maxUpdateBytes = peer.MaxRequestBytes / 4
	// maxWaitingFetches is the number of fetches of a topic that wait for another one. Of packed answers, which take some 50 KB
	// with 2,500 routes, maxPackedFetches are sent at once, and maxWaitingPackedFetches wait.
	maxWaitingFetches       = 2
	maxPackedFetches        = 4
	maxWaitingPackedFetches = 32
	// readersKey is the rendezvous hashing key that ranks the nodes as readers of the store.
	readersKey = "readers"
	// regionSources is the number of nodes of a region that are asked for topics that are out of date.
	regionSources = 6
)

var (
	errStarting      = eris.New("starting: routes and upstreams are not known yet")
	errNoRegionPeers = eris.New("no other node of this region is known")
)

// requireReady makes a handler fail until this node can serve, so that no peer lists it as an entry VM before.
func (p *Process) requireReady(handle peer.Handler) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		if !p.Catalog.Ready() {
			return nil, errStarting
		}
		return handle(ctx, params)
	}
}

// catalogPeers implements catalog.Peers on the process's peer connections.
type catalogPeers struct {
	process *Process
}

// Push sends an update to every live peer without waiting for the answers. One whose records would keep the link of this node
// busy for long goes to a few peers with its records, which pass it on, and to the others without.
func (p catalogPeers) Push(update wire.FeedUpdate) {
	live := p.process.members.Live()
	pushed := omitLargeRecords(update, len(live))
	if pushed.Omitted {
		if packed, err := feed.Pack(update); err == nil && feed.Size(packed) <= maxUpdateBytes {
			p.process.spread(live, packed)
			return
		}
	}
	p.process.push(live, pushed)
}

// push sends an update to peers.
func (p *Process) push(targets []wire.Member, update wire.FeedUpdate) {
	update.Sender = p.Name
	p.outgoing.send(targets, peer.MethodFeedUpdate+" "+update.Topic, updateMessage(update))
}

// spread sends a packed update to a few of the targets, which pass it on to the others. These are told that it is coming.
func (p *Process) spread(targets []wire.Member, packed wire.FeedUpdate) {
	targets = slices.DeleteFunc(slices.Clone(targets), func(row wire.Member) bool { return row.Name == p.Name })
	for _, branch := range feed.Branches(targets, p.AvailabilityZone) {
		packed.PassOn = nil
		for _, row := range branch.Rest {
			packed.PassOn = append(packed.PassOn, row.Name)
		}
		p.push([]wire.Member{branch.Head}, packed)
		p.push(branch.Rest, feed.Omit(packed))
	}
}

// passOn sends a packed update to the nodes that its sender has named.
func (p *Process) passOn(packed wire.FeedUpdate) {
	var targets []wire.Member
	for _, row := range p.members.Live() {
		if slices.Contains(packed.PassOn, row.Name) {
			targets = append(targets, row)
		}
	}
	p.spread(targets, packed)
}

// omitLargeRecords removes the records of an update that would keep the link of this node busy for long if it were sent
// to all nodes.
func omitLargeRecords(update wire.FeedUpdate, nodes int) wire.FeedUpdate {
	switch size := feed.Size(update); {
	case size > maxUpdateBytes || size*nodes > MaxOutgoingBytes:
		return feed.Omit(update)
	case size*nodes > maxPushBytes && peer.FrameBytes(update)*nodes > maxPushBytes:
		return feed.Omit(update)
	}
	return update
}

// Fetch requests a snapshot of a topic from the peer at an address.
func (p catalogPeers) Fetch(ctx context.Context, address, topic string) (wire.FeedUpdate, error) {
	return p.process.fetch(ctx, address, topic)
}

// FetchFromSeeds requests a snapshot of a topic from the seeds, in a random order, since many nodes may start together. A node that
// is no seed itself had better wait for a seed that refuses, which is starting or busy.
func (p catalogPeers) FetchFromSeeds(ctx context.Context, topic string) (wire.FeedUpdate, error) {
	all := p.process.tunables.Load().Seeds
	seeds := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return address == p.process.Listen.Peers })
	isSeed := len(seeds) < len(all)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	update, err := askSeeds(ctx, seeds, func(ctx context.Context, address string) (wire.FeedUpdate, error) {
		began := time.Now()
		update, err := p.process.fetch(ctx, address, topic)
		if peer.IsRefusal(err) && !isSeed {
			p.process.seedTimes.note(address, time.Since(began))
			p.process.Catalog.AwaitSeeds()
		}
		return update, err
	})
	return update, eris.Wrapf(err, "fetch %s from the seeds", topic)
}

// FetchFromOneSeed requests a snapshot of a topic from one of the seeds that have refused, another one in each round.
func (p catalogPeers) FetchFromOneSeed(ctx context.Context, topic string, round int) (wire.FeedUpdate, error) {
	address, known := p.process.seedTimes.pick(round)
	if !known {
		return wire.FeedUpdate{}, errNoSeeds
	}
	update, err := p.process.fetch(ctx, address, topic)
	return update, eris.Wrapf(err, "fetch %s from seed %s", topic, address)
}

// ReaderOrder returns this node's place among the readers of the store. A node that knows no live members reads for itself; one
// that is not among the live members, as when it leaves, comes last.
func (p catalogPeers) ReaderOrder() (order feed.Order) {
	live, self := p.process.members.Live(), p.process.Name
	isLive := slices.ContainsFunc(live, func(row wire.Member) bool { return row.Name == self })
	for _, row := range live {
		if isLive && rendezvous.Compare(readersKey, row.Name, self) >= 0 {
			continue
		}
		order.Rank++
		if row.Region == p.process.Region {
			order.RegionRank++
		}
	}
	return order
}

// FetchFromRegion requests a topic from one of the first readers of this region, another one in each round.
func (p catalogPeers) FetchFromRegion(
	ctx context.Context, topic string, at catalog.Position, round int,
) (wire.FeedUpdate, error) {
	sources := slices.DeleteFunc(p.process.members.Live(), func(row wire.Member) bool {
		return row.Name == p.process.Name || row.Region != p.process.Region
	})
	if len(sources) == 0 {
		return wire.FeedUpdate{}, errNoRegionPeers
	}
	slices.SortFunc(sources, func(a, b wire.Member) int { return rendezvous.Compare(readersKey, a.Name, b.Name) })
	row := sources[round%min(len(sources), regionSources)]
	update, err := p.process.download(ctx, row.Address, wire.FeedFetch{
		Topic:  topic,
		Packed: true,
		Era:    at.Era,
		Next:   at.Next,
	})
	return update, eris.Wrapf(err, "fetch %s from %s", topic, row.Name)
}

func (p *Process) fetch(ctx context.Context, address, topic string) (wire.FeedUpdate, error) {
	return p.download(ctx, address, wire.FeedFetch{
		Topic:  topic,
		Packed: true,
	})
}

// download requests a topic, and unpacks it.
func (p *Process) download(ctx context.Context, address string, request wire.FeedFetch) (wire.FeedUpdate, error) {
	topic := request.Topic
	limited, cancel := context.WithTimeout(ctx, p.fetchTimes.limit(topic))
	defer cancel()
	var update wire.FeedUpdate
	err := p.client.Download(limited, address, peer.MethodFeedFetch, request, &update, p.fetchTimes.silence(topic))
	if ctx.Err() == nil {
		cutOff := errors.Is(limited.Err(), context.DeadlineExceeded) || errors.Is(err, context.Canceled)
		p.fetchTimes.ended(topic, err != nil && cutOff)
	}
	if err != nil || update.Packed == "" {
		return update, err
	}
	p.unpacking.Lock()
	defer p.unpacking.Unlock()
	return feed.Unpack(update)
}

func (p *Process) handleFeedUpdate(_ context.Context, params json.RawMessage) (any, error) {
	var update wire.FeedUpdate
	if err := json.Unmarshal(params, &update); err != nil {
		return nil, eris.Wrap(err, "decode feed update")
	}
	gap, err := p.applyUpdate(update)
	if err != nil {
		return nil, err
	}
	// After a gap between this node's copy and the update, the sender's snapshot supplies the missing records.
	if gap {
		sender, known := p.members.Lookup(update.Sender)
		switch {
		case known && update.Coming:
			p.tasks.Go(func(ctx context.Context) { p.Catalog.AwaitRecords(ctx, sender.Address, update) })
		case known && update.Omitted && update.Packed == "":
			p.tasks.Go(func(ctx context.Context) { p.Catalog.CatchUp(ctx, sender.Address, update.Topic) })
		case known:
			p.tasks.Go(func(ctx context.Context) { p.Catalog.Refetch(ctx, sender.Address, update.Topic) })
		}
	}
	return struct{}{}, nil
}

// applyUpdate applies a peer's update, and passes a packed one on; gap reports that records are missing.
func (p *Process) applyUpdate(update wire.FeedUpdate) (gap bool, err error) {
	if update.Packed == "" {
		return p.Catalog.HandleUpdate(update) && !update.Whole, nil
	}
	p.unpacking.Lock()
	defer p.unpacking.Unlock()
	unpacked, err := feed.Unpack(update)
	if err != nil {
		return false, err
	}
	p.passOn(update)
	return p.Catalog.HandleUpdate(unpacked) && !unpacked.Whole, nil
}

// topicLane makes the fetches of a topic wait for each other, but not for those of the other topic. Packed answers are small, so
// that several are sent at once.
func topicLane(method string, params json.RawMessage) peer.Lane {
	if method != peer.MethodFeedFetch {
		return peer.Lane{}
	}
	var request wire.FeedFetch
	_ = json.Unmarshal(params, &request) // the handler refuses what it can't decode
	lane := peer.Lane{
		Kind:    method,
		InWork:  1,
		Waiting: maxWaitingFetches,
	}
	switch request.Topic {
	case catalog.TopicRoutes, catalog.TopicUpstreams:
		lane.Kind += " " + request.Topic
	}
	if request.Packed {
		lane.Kind += " packed"
		lane.InWork = maxPackedFetches
		lane.Waiting = maxWaitingPackedFetches
	}
	return lane
}

func (p *Process) handleFeedFetch(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.FeedFetch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode feed fetch")
	}
	update, known, err := p.snapshot(request)
	switch {
	case err != nil:
		return nil, err
	case !known:
		return nil, errStarting
	}
	update.Sender = p.Name
	return update, nil
}

// snapshot returns a whole topic in the form that a peer asks for; known is false until this node has loaded it.
func (p *Process) snapshot(request wire.FeedFetch) (update wire.FeedUpdate, known bool, err error) {
	switch {
	case request.Packed && request.Next > 0:
		return p.Catalog.News(request.Topic, catalog.Position{
			Era:  request.Era,
			Next: request.Next,
		})
	case request.Packed:
		return p.Catalog.PackedSnapshot(request.Topic)
	}
	update, known = p.Catalog.Snapshot(request.Topic)
	return update, known, nil
}

// fetchNewerRoutes fetches the routes from the sender of a membership digest if its version of them is newer than this
// node's; the digest's Revision is the version.
func (p *Process) fetchNewerRoutes(digest wire.Digest) {
	p.Catalog.NoteVersion(digest.Revision)
	if digest.Revision > p.Catalog.RoutesVersion() {
		p.tasks.Go(func(ctx context.Context) { p.Catalog.FetchNewerRoutes(ctx, digest.From.Address, digest.Revision) })
	}
}

// callPeer calls a method of a member.
func (p *Process) callPeer(ctx context.Context, name, method string, params, result any) error {
	row, known := p.members.Lookup(name)
	if !known {
		return eris.Errorf("node %s is not known any more", name)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.client.Call(ctx, row.Address, method, params, result)
}

// tellPeer calls a method of a member whose answer is empty, without waiting for it.
func (p *Process) tellPeer(name, method string, params any) {
	p.tasks.Go(func(ctx context.Context) {
		var answer struct{}
		if err := p.callPeer(ctx, name, method, params, &answer); err != nil {
			p.Logger.Debug().Err(err).Str("step", method).Str("peer", name).Msg("peer call failed")
		}
	})
}
