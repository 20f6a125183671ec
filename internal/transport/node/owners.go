package node

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/quota"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/schedule"
)

const (
	ownerTimeout   = time.Second
	maxSlicesAsked = 4096
)

// owners holds the slices that this node grants to others.
type owners struct {
	mu    sync.Mutex
	owner *quota.Owner
}

func (o *owners) init() {
	o.owner = quota.NewOwner()
}

// runOwners asks the teams' owners for slices, a batch for each owner.
func (n *Node) runOwners(ctx context.Context) {
	schedule.Every(ctx, quota.SliceRequestInterval, func(now time.Time) {
		n.askOwners(ctx, now)
		n.owners.mu.Lock()
		n.owners.owner.RemoveExpired(now)
		n.owners.mu.Unlock()
	})
}

func (n *Node) askOwners(ctx context.Context, now time.Time) {
	names := n.members.LiveNames("")
	batches := map[string][]wire.SliceRequest{}
	for _, request := range n.limiter.SliceRequests(now) {
		owner := rendezvous.Owner("team/"+request.Team, names)
		batches[owner] = append(batches[owner], request)
	}
	for owner, requests := range batches {
		batch := wire.SliceBatch{
			From:     n.Name,
			Requests: requests,
		}
		if owner == n.Name {
			n.limiter.InstallSlices(n.grant(batch).Slices, time.Now())
			continue
		}
		go n.askOwner(ctx, owner, batch)
	}
}

func (n *Node) askOwner(ctx context.Context, owner string, batch wire.SliceBatch) {
	row, known := n.members.Lookup(owner)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var grants wire.SliceGrants
	if n.client.Call(ctx, row.Address, peer.MethodSlices, batch, &grants) == nil {
		n.limiter.InstallSlices(grants.Slices, time.Now())
	}
}

func (n *Node) handleSlices(_ context.Context, params json.RawMessage) (any, error) {
	var batch wire.SliceBatch
	if err := json.Unmarshal(params, &batch); err != nil {
		return nil, eris.Wrap(err, "decode slice batch")
	}
	if batch.From == "" || len(batch.Requests) > maxSlicesAsked {
		return nil, eris.New("slice batch without sender or with too many requests")
	}
	return n.grant(batch), nil
}

func (n *Node) grant(batch wire.SliceBatch) wire.SliceGrants {
	var grants wire.SliceGrants
	file := n.rules.File()
	if file == nil {
		return grants
	}
	nodes := len(n.members.Live())
	n.owners.mu.Lock()
	defer n.owners.mu.Unlock()
	for _, request := range batch.Requests {
		team, known := file.Team(request.Team)
		if !known {
			continue
		}
		limit := quota.Limit{
			RequestsPerSecond: team.RequestsPerSecond(),
			TokensPerSecond:   team.TokensPerSecond(),
		}
		grants.Slices = append(grants.Slices, n.owners.owner.Grant(batch.From, request, limit, nodes, time.Now()))
	}
	return grants
}

// runDemand tells the holder of the engine pool's lease what this node's callers ask for.
func (n *Node) runDemand(ctx context.Context) {
	schedule.Every(ctx, n.DemandReportInterval, func(now time.Time) { n.reportDemand(ctx, now) })
}

func (n *Node) reportDemand(ctx context.Context, now time.Time) {
	report := wire.DemandReport{
		From:    n.Name,
		Demands: n.meter.Rates(now),
	}
	holder, _, _ := strings.Cut(n.leases.HolderName(), "/")
	if holder == n.Name {
		n.leases.Report(report)
		return
	}
	row, known := n.members.Lookup(holder)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var answer struct{}
	_ = n.client.Call(ctx, row.Address, peer.MethodDemand, report, &answer)
}
