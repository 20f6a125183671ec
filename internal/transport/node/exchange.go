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
	maxLeavingReported = 16
	fetchTimeout       = 3 * time.Second
	// wholeStateRevision is sent to a peer to get its whole state. A peer sends its whole state if none of its records is
	// based on the revision asked for, and no record is ever based on this one.
	wholeStateRevision = -2
)

// fillDigest adds the rule revision, the pool rows and the leaving upstreams to a digest for the peers.
func (n *Node) fillDigest(digest *wire.Digest) {
	digest.Revision = n.rules.Revision()
	digest.Pools = n.pools.rows(time.Now())
	leaving := n.upstreams.Leaving()
	digest.LeavingUpstreams = leaving[:min(len(leaving), maxLeavingReported)]
}

// onDigest applies a peer's digest and fetches the rules if the peer has a newer revision of them.
func (n *Node) onDigest(digest wire.Digest) {
	n.pools.updatePeer(digest.From.Name, digest.Pools, time.Now())
	for _, name := range digest.LeavingUpstreams {
		n.upstreams.MarkLeaving(name, "peer "+digest.From.Name)
	}
	if digest.Revision > n.rules.Revision() {
		go n.fetchRules(digest.From)
	}
}

// fetchRules fetches newer rules from a peer, unless another fetch is running. A node without rules, which can't apply
// records, fetches the whole state.
func (n *Node) fetchRules(from wire.Member) {
	if !n.rulesFetchMu.TryLock() {
		return
	}
	defer n.rulesFetchMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	revision := n.rules.Revision()
	if n.rules.File() == nil {
		revision = wholeStateRevision
	}
	var delta wire.RuleDelta
	if err := n.client.Call(ctx, from.Address, peer.MethodRulesSince, wire.RuleFetch{Revision: revision},
		&delta); err != nil {
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

func (n *Node) handleRequestStatus(_ context.Context, params json.RawMessage) (any, error) {
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

// fetchPeerStatus asks the named member for the status of a request that it accepted.
func (n *Node) fetchPeerStatus(ctx context.Context, name, id string) (wire.RequestStatus, bool) {
	member, known := n.members.Lookup(name)
	if !known {
		return wire.RequestStatus{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var status wire.RequestStatus
	err := n.client.Call(ctx, member.Address, peer.MethodRequestStatus, wire.StatusRequest{ID: id}, &status)
	return status, err == nil
}
