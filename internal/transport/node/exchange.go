package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/peer"
)

const (
	maxLeavingTold = 16
	fetchTimeout   = 3 * time.Second
	unanchored     = -2
)

// fillDigest adds what this node tells its peers with every digest.
func (n *Node) fillDigest(digest *wire.Digest) {
	digest.Revision = n.rules.Revision()
	digest.Pools = n.pools.rows(time.Now())
	leaving := n.upstreams.Leaving()
	digest.LeavingUpstreams = leaving[:min(len(leaving), maxLeavingTold)]
}

// heard takes in what a peer tells with its digest.
func (n *Node) heard(digest wire.Digest) {
	n.pools.hear(digest.From.Name, digest.Pools, time.Now())
	for _, name := range digest.LeavingUpstreams {
		n.upstreams.MarkLeaving(name, "peer "+digest.From.Name)
	}
	if digest.Revision > n.rules.Revision() {
		go n.fetchRules(digest.From)
	}
}

// fetchRules asks a peer for a newer rule file; only one such call runs at a time.
func (n *Node) fetchRules(from wire.Member) {
	if !n.fetching.TryLock() {
		return
	}
	defer n.fetching.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	revision := n.rules.Revision()
	if n.rules.File() == nil {
		revision = unanchored
	}
	var delta wire.RuleDelta
	if err := n.client.Call(ctx, from.Address, peer.MethodRulesSince, wire.RuleFetch{Revision: revision}, &delta); err != nil {
		n.Logger.Warn().Err(err).Str("step", "fetch rules").Str("peer", from.Name).Msg("peer call failed")
		return
	}
	n.rules.Merge(delta)
}

func (n *Node) handleRules(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.RuleFetch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode rule fetch")
	}
	return n.rules.DeltaSince(request.Revision), nil
}

func (n *Node) handleDemand(_ context.Context, params json.RawMessage) (any, error) {
	var report wire.DemandReport
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, eris.Wrap(err, "decode demand report")
	}
	n.leases.Report(report)
	return struct{}{}, nil
}

func (n *Node) handleStatus(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.StatusRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode status request")
	}
	status, known := n.caller.Outcomes.Get(request.ID)
	if !known {
		return nil, eris.New("request not remembered")
	}
	return status, nil
}

// askPeer asks a member what became of a request that it took.
func (n *Node) askPeer(ctx context.Context, member, id string) (wire.RequestStatus, bool) {
	row, known := n.members.Lookup(member)
	if !known {
		return wire.RequestStatus{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var status wire.RequestStatus
	err := n.client.Call(ctx, row.Address, peer.MethodRequestStatus, wire.StatusRequest{ID: id}, &status)
	return status, err == nil
}
