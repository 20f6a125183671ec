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
	if err := p.callPeer(ctx, permit.Holder, peer.MethodTakeLimit, encodeLimit(permit.Report), &answer); err != nil {
		return ratelimit.Grant{}, eris.Wrapf(err, "ask %s for a send", permit.Holder)
	}
	return ratelimit.Grant{
		Granted: answer.Granted,
		Wait:    time.Duration(answer.WaitMs) * time.Millisecond,
	}, nil
}

func (p *Process) handleTakeLimit(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.UpstreamLimit
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode request for a send")
	}
	grant := p.dispatcher.GrantPermit(decodeLimit(request), time.Now())
	return wire.LimitGrant{
		Granted: grant.Granted,
		WaitMs:  int((grant.Wait + time.Millisecond - 1).Milliseconds()),
	}, nil
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
