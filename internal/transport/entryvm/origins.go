package entryvm

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/origins"
	"lagoongw/internal/transport/peer"
)

// currentListAge is the age up to which the list of upstreams counts as current: the time within which another node reads it
// if the reader does not.
const currentListAge = 3 * time.Second

func (p *Process) newOrigins() *origins.Service {
	return &origins.Service{
		Name:       p.Name,
		Nodes:      p.originNodes,
		Tell:       p.tellOrigins,
		Ask:        p.askOrigin,
		AskSighted: p.askVersions,
		Versions:   p.servingVersions,
		Logger:     p.Logger,
	}
}

func (p *Process) originNodes() []origin.Node {
	var nodes []origin.Node
	for _, row := range p.members.Live() {
		nodes = append(nodes, origin.Node{
			Name:             row.Name,
			AvailabilityZone: row.AvailabilityZone,
		})
	}
	return nodes
}

func (p *Process) tellOrigins(ctx context.Context, name string, reports []origin.Report) error {
	params := wire.TellOrigins{Origins: make([]wire.StreamOrigin, 0, len(reports))}
	for _, report := range reports {
		params.Origins = append(params.Origins, wire.StreamOrigin{
			Stream:  report.Stream.String(),
			Pool:    report.Origin.Pool,
			Version: report.Origin.Version,
			AgeMs:   int(report.Age.Milliseconds()),
		})
	}
	var answer struct{}
	return p.callPeer(ctx, name, peer.MethodTellOrigins, params, &answer)
}

func (p *Process) handleTellOrigins(_ context.Context, params json.RawMessage) (any, error) {
	var message wire.TellOrigins
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, eris.Wrap(err, "decode origins of streams")
	}
	var reports []origin.Report
	for _, row := range message.Origins {
		stream, valid := origin.ParseID(row.Stream)
		if !valid {
			return nil, eris.Errorf("origin of a stream with the invalid ID %q", row.Stream)
		}
		reports = append(reports, origin.Report{
			Stream: stream,
			Origin: origin.Origin{
				Pool:    row.Pool,
				Version: row.Version,
			},
			Age: time.Duration(row.AgeMs) * time.Millisecond,
		})
	}
	p.origins.Told(reports)
	return struct{}{}, nil
}

func (p *Process) askOrigin(ctx context.Context, name string, stream origin.ID) (origin.Answer, error) {
	var found wire.FoundOrigin
	if err := p.callPeer(ctx, name, peer.MethodFindOrigin, wire.FindOrigin{Stream: stream.String()}, &found); err != nil {
		return origin.Answer{}, err
	}
	return origin.Answer{
		Known:     found.Known,
		Ambiguous: found.Ambiguous,
		Origin: origin.Origin{
			Pool:    found.Pool,
			Version: found.Version,
		},
	}, nil
}

func (p *Process) handleFindOrigin(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.FindOrigin
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode request for the origin of a stream")
	}
	stream, valid := origin.ParseID(request.Stream)
	if !valid {
		return nil, eris.Errorf("request for the origin of a stream with the invalid ID %q", request.Stream)
	}
	answer := p.origins.Known(stream)
	return wire.FoundOrigin{
		Known:     answer.Known,
		Ambiguous: answer.Ambiguous,
		Pool:      answer.Origin.Pool,
		Version:   answer.Origin.Version,
	}, nil
}

// servingVersions returns the software versions of the listed upstreams by pool, and whether the list is current.
func (p *Process) servingVersions() (byPool map[string][]string, current bool) {
	byPool = map[string][]string{}
	snapshot := p.table.Load()
	for _, pool := range snapshot.PoolNames() {
		for _, r := range snapshot.PoolReplicas(pool) {
			if !slices.Contains(byPool[pool], r.Version()) {
				byPool[pool] = append(byPool[pool], r.Version())
			}
		}
	}
	return byPool, p.Catalog.Ready() && p.Catalog.UpstreamsAge() < currentListAge
}

func (p *Process) askVersions(ctx context.Context, name, pool string) (origin.Sighted, error) {
	var found wire.FoundVersions
	if err := p.callPeer(ctx, name, peer.MethodFindVersions, wire.FindVersions{Pool: pool}, &found); err != nil {
		return origin.Sighted{}, err
	}
	return origin.Sighted{
		Versions: found.Versions,
		Observed: time.Duration(found.ObservedMs) * time.Millisecond,
	}, nil
}

func (p *Process) handleFindVersions(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.FindVersions
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode request for the versions in a pool")
	}
	sighted := p.origins.Sighted(request.Pool)
	return wire.FoundVersions{
		Versions:   append([]string{}, sighted.Versions...),
		ObservedMs: int(sighted.Observed.Milliseconds()),
	}, nil
}
