package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/transport/peer"
)

// claimHolderNames returns the holders of a partition of the claims, which are the members of this availability zone
// that read its log stream, the preferred one first.
//
// Nodes that disagree about the holders can only delay the decision of a claim, since every holder derives it from the
// same log.
func (n *Node) claimHolderNames(partition int) []string {
	names := n.members.LiveNames(n.AvailabilityZone)
	if len(names) <= n.ClaimHolders {
		return names
	}
	return rendezvous.Rank(fmt.Sprintf("claims/%s/%d", n.AvailabilityZone, partition), names)[:n.ClaimHolders]
}

// holdsClaims reports whether this node is a holder of a partition. A leaving node is not a live member, so it is a
// holder only if its zone has no live members. The claims service goes on reading a partition that this node no longer
// holds until its open claims are decided and its records written.
func (n *Node) holdsClaims(partition int) bool {
	names := n.claimHolderNames(partition)
	return len(names) == 0 || slices.Contains(names, n.Name)
}

// claimHolderAddresses returns the peer addresses of the holders of a partition, without this node.
func (n *Node) claimHolderAddresses(partition int) []string {
	var addresses []string
	for _, name := range n.claimHolderNames(partition) {
		if member, known := n.members.Lookup(name); known && name != n.Name {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func (n *Node) claimRemote(ctx context.Context, address string, request wire.ClaimRequest) (wire.ClaimDecision, error) {
	var decision wire.ClaimDecision
	err := n.client.Call(ctx, address, peer.MethodClaim, request, &decision)
	return decision, err
}

func (n *Node) appendRemote(ctx context.Context, address string, r wire.ClaimRecord) error {
	var answer struct{}
	return n.client.Call(ctx, address, peer.MethodClaimNote, r, &answer)
}

func (n *Node) handleClaim(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.ClaimRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode claim request")
	}
	if request.Attempt == "" || request.Key == "" {
		return nil, eris.New("claim request without attempt or key")
	}
	return n.claims.HandleClaim(request), nil
}

func (n *Node) handleClaimNote(_ context.Context, params json.RawMessage) (any, error) {
	var r wire.ClaimRecord
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode claim note")
	}
	if !n.claims.HandleNote(r) {
		return nil, eris.New("this node does not read the claims of this key")
	}
	return struct{}{}, nil
}
