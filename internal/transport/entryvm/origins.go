package entryvm

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
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
		StableFor:  p.stability.since,
		Tell:       p.tellOrigins,
		Ask:        p.askOrigin,
		AskSighted: p.askVersions,
		Versions:   p.servingVersions,
		Timeouts: func() map[string]time.Duration {
			if table := p.Catalog.CurrentRoutes(); table != nil {
				return table.ResumableTimeouts()
			}
			return nil
		},
		VersionRecord: p.VersionRecord,
		StreamLog:     p.StreamLog,
		Writer:        p.storeReader,
		Era:           p.Catalog.UpstreamsEra,
		TellVersions:  p.tellVersions,
		AskRecord:     p.askRecord,
		Refresh:       p.Catalog.RefreshUpstreams,
		RefreshIn:     p.Catalog.UpstreamsRetryIn,
		ListReadAt:    p.Catalog.UpstreamsReadAt,
		Logger:        p.Logger,
	}
}

// upstreamsChanged is called when the list of upstreams has changed.
func (p *Process) upstreamsChanged() {
	p.dispatcher.Prune()
	p.origins.Serving(p.listedVersions())
}

// storeReader returns the name of the node that reads the store for all.
func (p *Process) storeReader() string {
	names := p.members.LiveNames("")
	if len(names) == 0 {
		return p.Name
	}
	return rendezvous.Rank(readersKey, names)[0]
}

// tickOrigins notes which nodes are live, and has the origins of streams told.
func (p *Process) tickOrigins(now time.Time) {
	p.stability.observe(p.members.Members(), now)
	p.origins.Tick(now)
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
	return p.listedVersions(), p.Catalog.Ready() && p.Catalog.UpstreamsAge() < currentListAge
}

// listedVersions returns the software versions of the listed upstreams by pool.
func (p *Process) listedVersions() map[string][]string {
	byPool := map[string][]string{}
	snapshot := p.table.Load()
	for _, pool := range snapshot.PoolNames() {
		for _, r := range snapshot.PoolReplicas(pool) {
			if !slices.Contains(byPool[pool], r.Version()) {
				byPool[pool] = append(byPool[pool], r.Version())
			}
		}
	}
	return byPool
}

func (p *Process) tellVersions(ctx context.Context, name string, entries []origin.Entry) error {
	params := wire.TellVersions{Entries: make([]wire.VersionEntry, 0, len(entries))}
	for _, e := range entries {
		params.Entries = append(params.Entries, wire.VersionEntry{
			Key:       e.Key,
			Pool:      e.Pool,
			Version:   e.Version,
			Era:       e.Era,
			Complete:  e.Complete,
			Gone:      e.Gone,
			Confirmed: e.Confirmed,
		})
	}
	var answer struct{}
	return p.callPeer(ctx, name, peer.MethodTellVersions, params, &answer)
}

func (p *Process) askRecord(ctx context.Context, name string, versions map[string][]string) error {
	var answer struct{}
	return p.callPeer(ctx, name, peer.MethodRecordVersions, wire.RecordVersions{Versions: versions}, &answer)
}

func (p *Process) handleRecordVersions(ctx context.Context, params json.RawMessage) (any, error) {
	var request wire.RecordVersions
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode versions to record")
	}
	return struct{}{}, p.origins.RecordFor(ctx, request.Versions)
}

func (p *Process) handleTellVersions(ctx context.Context, params json.RawMessage) (any, error) {
	var message wire.TellVersions
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, eris.Wrap(err, "decode versions")
	}
	var entries []origin.Entry
	for _, row := range message.Entries {
		entries = append(entries, origin.Entry{
			Key:       row.Key,
			Pool:      row.Pool,
			Version:   row.Version,
			Era:       row.Era,
			Complete:  row.Complete,
			Gone:      row.Gone,
			Confirmed: row.Confirmed,
		})
	}
	p.origins.ToldVersions(ctx, entries)
	return struct{}{}, nil
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
