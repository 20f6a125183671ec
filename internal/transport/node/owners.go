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
	peerCallTimeout  = time.Second
	maxSliceRequests = 4096
)

// sliceOwner grants slices of the limits of the teams that this node owns.
type sliceOwner struct {
	mu    sync.Mutex
	owner *quota.Owner
}

func (o *sliceOwner) init() {
	o.owner = quota.NewOwner()
}

// runSliceRequests periodically requests slices from the owners of the teams, and removes the expired grants that this
// node made as an owner.
func (n *Node) runSliceRequests(ctx context.Context) {
	schedule.Every(ctx, quota.SliceRequestInterval, func(now time.Time) {
		n.requestSlices(ctx, now)
		n.sliceOwner.mu.Lock()
		n.sliceOwner.owner.RemoveExpired(now)
		n.sliceOwner.mu.Unlock()
	})
}

// requestSlices sends one batch of slice requests to each owner.
func (n *Node) requestSlices(ctx context.Context, now time.Time) {
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
			n.limiter.InstallSlices(n.grantSlices(batch).Slices, time.Now())
			continue
		}
		go n.requestSlicesFrom(ctx, owner, batch)
	}
}

func (n *Node) requestSlicesFrom(ctx context.Context, owner string, batch wire.SliceBatch) {
	member, known := n.members.Lookup(owner)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var grants wire.SliceGrants
	if n.client.Call(ctx, member.Address, peer.MethodSlices, batch, &grants) == nil {
		n.limiter.InstallSlices(grants.Slices, time.Now())
	}
}

func (n *Node) handleSlices(_ context.Context, params json.RawMessage) (any, error) {
	var batch wire.SliceBatch
	if err := json.Unmarshal(params, &batch); err != nil {
		return nil, eris.Wrap(err, "decode slice batch")
	}
	if batch.From == "" || len(batch.Requests) > maxSliceRequests {
		return nil, eris.New("slice batch without sender or with too many requests")
	}
	return n.grantSlices(batch), nil
}

// grantSlices answers a batch of slice requests, and leaves out those of teams that the rules don't contain.
func (n *Node) grantSlices(batch wire.SliceBatch) wire.SliceGrants {
	var grants wire.SliceGrants
	file := n.rules.File()
	if file == nil {
		return grants
	}
	nodes := len(n.members.Live())
	n.sliceOwner.mu.Lock()
	defer n.sliceOwner.mu.Unlock()
	for _, request := range batch.Requests {
		team, known := file.Team(request.Team)
		if !known {
			continue
		}
		limit := quota.Limit{
			RequestsPerSecond: team.RequestsPerSecond(),
			TokensPerSecond:   team.TokensPerSecond(),
		}
		grants.Slices = append(grants.Slices, n.sliceOwner.owner.Grant(batch.From, request, limit, nodes, time.Now()))
	}
	return grants
}

// runDemandReports periodically reports this node's demand for each model to the holder of the engine pool's lease.
func (n *Node) runDemandReports(ctx context.Context) {
	schedule.Every(ctx, n.DemandReportInterval, func(now time.Time) { n.reportDemand(ctx, now) })
}

func (n *Node) reportDemand(ctx context.Context, now time.Time) {
	report := wire.DemandReport{
		From:    n.Name,
		Demands: n.meter.Rates(now),
	}
	// The name of the lease holder is its node's name and incarnation, separated by a slash.
	holder, _, _ := strings.Cut(n.leases.HolderName(), "/")
	if holder == n.Name {
		n.leases.Report(report)
		return
	}
	member, known := n.members.Lookup(holder)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var answer struct{}
	_ = n.client.Call(ctx, member.Address, peer.MethodDemand, report, &answer)
}
