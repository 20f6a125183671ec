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

// claimHolderNames ranks the members of this zone that read a partition of the claims.
//
// Nodes that disagree about who holds can only delay a verdict: it is read from the log, whoever reads it.
func (n *Node) claimHolderNames(partition int) []string {
	names := n.members.LiveNames(n.AvailabilityZone)
	if len(names) <= n.ClaimHolders {
		return names
	}
	return rendezvous.Rank(fmt.Sprintf("claims/%s/%d", n.AvailabilityZone, partition), names)[:n.ClaimHolders]
}

// holdsClaims reports whether this node reads a partition; a node that leaves goes on, for what it has open.
func (n *Node) holdsClaims(partition int) bool {
	names := n.claimHolderNames(partition)
	return len(names) == 0 || slices.Contains(names, n.Name)
}

func (n *Node) claimHolders(partition int) []string {
	var addresses []string
	for _, name := range n.claimHolderNames(partition) {
		if row, known := n.members.Lookup(name); known && name != n.Name {
			addresses = append(addresses, row.Address)
		}
	}
	return addresses
}

func (n *Node) askClaim(ctx context.Context, address string, request wire.ClaimRequest) (wire.ClaimDecision, error) {
	var decision wire.ClaimDecision
	err := n.client.Call(ctx, address, peer.MethodClaim, request, &decision)
	return decision, err
}

func (n *Node) tellClaim(ctx context.Context, address string, r wire.ClaimRecord) error {
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

func (n *Node) handleNote(_ context.Context, params json.RawMessage) (any, error) {
	var r wire.ClaimRecord
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode claim note")
	}
	if !n.claims.HandleNote(r) {
		return nil, eris.New("this node does not read the claims of this key")
	}
	return struct{}{}, nil
}
