package entryvm

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/peer"
)

const (
	// peerTimeout bounds a call to a peer: several round trips between regions.
	peerTimeout = 400 * time.Millisecond
	// readersKey ranks the nodes as readers of the store.
	readersKey = "readers"
)

var errStarting = eris.New("starting: routes and upstreams are not known yet")

// onceReady refuses peers until this node can serve, so that none of them lists it as an entry.
func (p *Process) onceReady(handle peer.Handler) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		if !p.Catalog.Ready() {
			return nil, errStarting
		}
		return handle(ctx, params)
	}
}

// peers leads the catalog to the other nodes.
type peers struct {
	process *Process
}

// Push sends an update to every live peer and does not wait.
func (p peers) Push(update wire.FeedUpdate) {
	update.Sender = p.process.Name
	p.process.tell(p.process.members.Live(), peer.MethodFeedUpdate, update)
}

// Fetch asks the peer at an address for a whole topic.
func (p peers) Fetch(ctx context.Context, address, topic string) (wire.FeedUpdate, error) {
	return p.process.fetch(ctx, address, topic)
}

// FetchFromSeeds asks the peers of the settings for a whole topic, one after the other.
func (p peers) FetchFromSeeds(ctx context.Context, topic string) (update wire.FeedUpdate, err error) {
	err = eris.Errorf("fetch %s: no seeds", topic)
	for _, address := range p.process.tunables.Load().Seeds {
		if address == p.process.Listen.Peers {
			continue
		}
		if update, err = p.process.fetch(ctx, address, topic); err == nil {
			return update, nil
		}
	}
	return update, err
}

// ReaderRank is this node's place among the readers of the store: a node that has not joined yet reads for itself, one that
// leaves comes last.
func (p peers) ReaderRank() int {
	names := p.process.members.LiveNames("")
	if len(names) == 0 {
		return 0
	}
	rank := slices.Index(rendezvous.Rank(readersKey, names), p.process.Name)
	if rank < 0 {
		return len(names)
	}
	return rank
}

func (p *Process) fetch(ctx context.Context, address, topic string) (wire.FeedUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var update wire.FeedUpdate
	err := p.client.Call(ctx, address, peer.MethodFeedFetch, wire.FeedFetch{Topic: topic}, &update)
	return update, err
}

// tell calls a method at peers and does not wait for the answers, which say nothing.
func (p *Process) tell(to []wire.Member, method string, params any) {
	for _, row := range to {
		if row.Name == p.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			var answer struct{}
			if err := p.client.Call(ctx, row.Address, method, params, &answer); err != nil {
				p.Logger.Debug().Err(err).Str("step", method).Str("peer", row.Name).Msg("peer call failed")
			}
		}()
	}
}

func (p *Process) handleFeed(_ context.Context, params json.RawMessage) (any, error) {
	var update wire.FeedUpdate
	if err := json.Unmarshal(params, &update); err != nil {
		return nil, eris.Wrap(err, "decode feed update")
	}
	// An update that does not follow on this node's copy is made good by the sender's whole topic.
	if p.Catalog.HandleUpdate(update) && !update.Whole {
		if sender, known := p.members.Lookup(update.Sender); known {
			go p.Catalog.Refetch(context.Background(), sender.Address, update.Topic)
		}
	}
	return struct{}{}, nil
}

func (p *Process) handleFetch(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.FeedFetch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode feed fetch")
	}
	update, known := p.Catalog.Snapshot(request.Topic)
	if !known {
		return nil, errStarting
	}
	update.Sender = p.Name
	return update, nil
}

// heardDigest fetches the routes from a member that has read further than this node.
func (p *Process) heardDigest(digest wire.Digest) {
	if digest.Revision > p.Catalog.RoutesOffset() {
		go p.Catalog.Refetch(context.Background(), digest.From.Address, catalog.TopicRoutes)
	}
}
