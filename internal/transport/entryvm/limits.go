package entryvm

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/peer"
)

// updateNodes tells the dispatcher which nodes there are.
func (p *Process) updateNodes(now time.Time) {
	known := 0
	for _, row := range p.members.Members() {
		if membership.State(row.State) != membership.Left {
			known++
		}
	}
	p.dispatcher.Tick(p.members.LiveNames(""), known, now)
}

// askHolder asks the node that holds the limit of an upstream for one send.
func (p *Process) askHolder(ctx context.Context, permit dispatch.Permit) (ratelimit.Grant, error) {
	var answer wire.LimitGrant
	if err := p.callPeer(ctx, permit.Holder, peer.MethodTakeLimit, encodePermit(permit), &answer); err != nil {
		return ratelimit.Grant{}, eris.Wrapf(err, "ask %s for a send", permit.Holder)
	}
	return ratelimit.Grant{
		Granted: answer.Granted,
		Wait:    time.Duration(answer.WaitMs) * time.Millisecond,
		Ticket:  uint64(answer.Ticket),
	}, nil
}

// tellHolder returns a place to the node that gave it; the lease ends it if that fails.
func (p *Process) tellHolder(permit dispatch.Permit, refused bool) {
	p.tellPeer(permit.Holder, peer.MethodReleasePlace, wire.PermitRelease{
		Upstream: permit.Place.Upstream.Name,
		Boot:     permit.Place.Upstream.Boot,
		Ticket:   int(permit.Ticket),
		Refused:  refused,
	})
}

func (p *Process) handleReleasePlace(_ context.Context, params json.RawMessage) (any, error) {
	var release wire.PermitRelease
	if err := json.Unmarshal(params, &release); err != nil {
		return nil, eris.Wrap(err, "decode release of a place")
	}
	upstream := ratelimit.Upstream{
		Name: release.Upstream,
		Boot: release.Boot,
	}
	p.dispatcher.ReleasePermit(upstream, uint64(release.Ticket), release.Refused, time.Now())
	return struct{}{}, nil
}

func (p *Process) handleTakeLimit(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.PermitRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode request for a send")
	}
	now := time.Now()
	report, place := decodePermit(request, now)
	grant := p.dispatcher.GrantPermit(report, place, now)
	return wire.LimitGrant{
		Granted: grant.Granted,
		Ticket:  int(grant.Ticket),
		WaitMs:  int((grant.Wait + time.Millisecond - 1).Milliseconds()),
	}, nil
}

func encodePermit(permit dispatch.Permit) wire.PermitRequest {
	request := wire.PermitRequest{
		Limit:     encodeLimit(permit.Report),
		Refusals:  permit.Place.Refusals,
		Slots:     permit.Place.Slots,
		LeaseMs:   int(permit.Place.Lease.Milliseconds()),
		Running:   permit.Place.Load.Running,
		Waiting:   permit.Place.Load.Waiting,
		LoadSlots: permit.Place.Load.Slots,
	}
	if request.LoadSlots > 0 {
		request.LoadAgeMs = int(time.Since(permit.Place.Load.At).Milliseconds())
	}
	return request
}

func decodePermit(request wire.PermitRequest, now time.Time) (ratelimit.Report, ratelimit.Place) {
	report := decodeLimit(request.Limit)
	place := ratelimit.Place{
		Upstream: report.Upstream,
		Slots:    request.Slots,
		Refusals: request.Refusals,
		Lease:    time.Duration(request.LeaseMs) * time.Millisecond,
	}
	if request.LoadSlots > 0 {
		place.Load = ratelimit.ServerLoad{
			Running: request.Running,
			Waiting: request.Waiting,
			Slots:   request.LoadSlots,
			At:      now.Add(-time.Duration(request.LoadAgeMs) * time.Millisecond),
		}
	}
	return report, place
}

func encodeLimit(report ratelimit.Report) wire.UpstreamLimit {
	return wire.UpstreamLimit{
		Upstream: report.Upstream.Name,
		Boot:     report.Upstream.Boot,
		Limit:    report.Limit,
		AgeMs:    int(report.Age.Milliseconds()),
	}
}

func decodeLimit(row wire.UpstreamLimit) ratelimit.Report {
	return ratelimit.Report{
		Upstream: ratelimit.Upstream{
			Name: row.Upstream,
			Boot: row.Boot,
		},
		Limit: row.Limit,
		Age:   time.Duration(row.AgeMs) * time.Millisecond,
	}
}
