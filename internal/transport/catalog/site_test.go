package catalog

import (
	"cmp"
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/schedule"
)

var errStoreUnavailable = errors.New("store unavailable")

// fakeTopic is an in-memory topic of the store with injected faults.
type fakeTopic struct {
	mu          sync.Mutex
	records     []wire.FeedRecord
	changed     chan struct{}
	unavailable bool
	// deleted makes reads fail with ErrRecordsDeleted until Newest is called.
	deleted bool
	// maxRead, if set, is the largest number of records in the answer to a read.
	maxRead int
	// refuses makes Save refuse all records; saves counts the calls of it.
	refuses bool
	saves   int
	// hangReads makes every waiting read time out, as on a connection that has gone silent.
	hangReads bool
	calls     int
	// era counts the restores.
	era int
}

func newTopic() *fakeTopic { return &fakeTopic{changed: make(chan struct{})} }

func (s *fakeTopic) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, wire.FeedRecord{
		Key:    key,
		Value:  value,
		Offset: len(s.records),
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore replaces the records by the first ones and begins a new era.
func (s *fakeTopic) restore(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:records:records]
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeTopic) Save(_ context.Context, records []wire.FeedRecord) error {
	s.mu.Lock()
	s.saves++
	refuses := s.refuses
	s.mu.Unlock()
	if refuses {
		return ErrRefused
	}
	for _, record := range records {
		s.put(record.Key, record.Value)
	}
	return nil
}

func (s *fakeTopic) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeTopic) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeTopic) Newest(context.Context) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return Batch{}, errStoreUnavailable
	}
	newest := map[string]wire.FeedRecord{}
	for _, record := range s.records {
		newest[record.Key] = record
	}
	var records []wire.FeedRecord
	for _, record := range newest {
		if record.Value != "" {
			records = append(records, record)
		}
	}
	s.deleted = false
	return Batch{
		Records: records,
		Next:    len(s.records),
		Era:     s.era,
	}, nil
}

func (s *fakeTopic) Read(ctx context.Context, from int, wait time.Duration) (Batch, error) {
	const timeout = 700 * time.Millisecond
	s.mu.Lock()
	s.calls++
	hang, unavailable, deleted, changed := s.hangReads && wait > 0, s.unavailable, s.deleted, s.changed
	empty := from >= len(s.records)
	s.mu.Unlock()
	switch {
	case hang:
		schedule.Pause(ctx, wait+timeout)
		return Batch{}, context.DeadlineExceeded
	case unavailable:
		return Batch{}, errStoreUnavailable
	case deleted:
		return Batch{}, ErrRecordsDeleted
	}
	if empty && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from > len(s.records) {
		return Batch{}, ErrRecordsDeleted
	}
	if s.maxRead > 0 && len(s.records)-from > s.maxRead {
		return Batch{
			Next: from,
			More: true,
			Era:  s.era,
		}, nil
	}
	return Batch{
		Records: append([]wire.FeedRecord{}, s.records[from:]...),
		Next:    len(s.records),
		Era:     s.era,
	}, nil
}

func (s *fakeTopic) Receiving() bool { return false }

// gatedTopic is a topic whose reads fail for one node when its gate does.
type gatedTopic struct {
	*fakeTopic
	gate func(ctx context.Context) error
}

func (g gatedTopic) Newest(ctx context.Context) (Batch, error) {
	if err := g.gate(ctx); err != nil {
		return Batch{}, err
	}
	return g.fakeTopic.Newest(ctx)
}

func (g gatedTopic) Read(ctx context.Context, from int, wait time.Duration) (Batch, error) {
	if err := g.gate(ctx); err != nil {
		return Batch{}, err
	}
	return g.fakeTopic.Read(ctx, from, wait)
}

// gate makes the reads of a node pass a gate.
func gate(node *Service, routes, upstreams *fakeTopic, pass func(ctx context.Context) error) {
	node.Routes = gatedTopic{
		fakeTopic: routes,
		gate:      pass,
	}
	node.Upstreams = gatedTopic{
		fakeTopic: upstreams,
		gate:      pass,
	}
}

// site is a set of nodes, one service each, that push updates to each other without delay; a node's rank as a reader is
// its index.
type site struct {
	services []*Service

	mu       sync.Mutex
	isolated map[int]bool
	// lost reports which pushes are lost on the way.
	lost func(from, to int) bool
	// omits makes nodes leave the records out of their pushes.
	omits bool
}

func newSite() *site {
	return &site{
		isolated: map[int]bool{},
		lost:     func(int, int) bool { return false },
	}
}

// isolate drops all pushes to and from a node.
func (s *site) isolate(node int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated[node] = true
}

// lose sets which pushes are lost.
func (s *site) lose(lost func(from, to int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

// omitRecords makes nodes leave the records out of their pushes.
func (s *site) omitRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omits = true
}

func (s *site) omitsRecords() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.omits
}

func (s *site) delivers(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from != to && !s.isolated[from] && !s.isolated[to] && !s.lost(from, to)
}

type sitePeers struct {
	site *site
	self int
}

func (p sitePeers) Push(update wire.FeedUpdate) {
	if p.site.omitsRecords() && len(update.Records) > 0 {
		update = wire.FeedUpdate{
			Topic:     update.Topic,
			Era:       update.Era,
			FreshFrom: update.FreshFrom,
			From:      update.Next,
			Next:      update.Next,
			Omitted:   true,
		}
	}
	for i, other := range p.site.services {
		if !p.site.delivers(p.self, i) {
			continue
		}
		go func() {
			gap := other.HandleUpdate(update)
			if gap && update.Omitted {
				other.CatchUp(context.Background(), "", update.Topic)
				return
			}
			if gap {
				whole, known := p.site.services[p.self].Snapshot(update.Topic)
				if known {
					other.HandleUpdate(whole)
				}
			}
		}()
	}
}

func (p sitePeers) Fetch(context.Context, string, string) (wire.FeedUpdate, error) {
	return wire.FeedUpdate{}, errStoreUnavailable
}

func (p sitePeers) FetchFromSeeds(_ context.Context, topic string) (wire.FeedUpdate, error) {
	for i, other := range p.site.services {
		if whole, known := other.Snapshot(topic); i != p.self && known {
			return whole, nil
		}
	}
	return wire.FeedUpdate{}, errStoreUnavailable
}

func (p sitePeers) FetchFromOneSeed(ctx context.Context, topic string, _ int) (wire.FeedUpdate, error) {
	return p.FetchFromSeeds(ctx, topic)
}

// FetchFromRegion requests a topic from one of the first nodes, which are those of the only region. One that doesn't reach this node
// leaves the request unanswered.
func (p sitePeers) FetchFromRegion(ctx context.Context, topic string, at Position, round int) (wire.FeedUpdate, error) {
	const sources = 6
	source := round % sources
	if !p.site.delivers(source, p.self) {
		<-ctx.Done()
		return wire.FeedUpdate{}, ctx.Err()
	}
	update, known, err := p.site.services[source].News(topic, at)
	switch {
	case !known:
		return update, errStoreUnavailable
	case err != nil || update.Packed == "":
		return update, err
	}
	return feed.Unpack(update)
}

func (p sitePeers) ReaderOrder() feed.Order {
	return feed.Order{
		Rank:       p.self,
		RegionRank: p.self,
	}
}

// newNode returns a node that follows two topics, with empty copies of its own.
func newNode(peers Peers, routes, upstreams *fakeTopic) *Service {
	return &Service{
		Routes:              routes,
		RoutesCopy:          newTopic(),
		Upstreams:           upstreams,
		UpstreamsCopy:       newTopic(),
		RoutesKey:           "config",
		DecodeRoutes:        decodeVersion,
		DecodeRoutesVersion: decodeVersionOnly,
		DecodeUpstream:      decodeState,
		Peers:               peers,
		Table:               replica.NewTable(),
		OnUpstreamsChange:   func() {},
		Logger:              zerolog.Nop(),
	}
}

// runSite runs a test against three nodes, 5 s after they started on a store with version 1 of the routes and one
// upstream.
func runSite(t *testing.T, test func(s *site, routes, upstreams *fakeTopic)) {
	runSiteOf(t, func(*Service) {}, test)
}

// runSiteOf is runSite with a function that configures each node.
func runSiteOf(t *testing.T, configure func(s *Service), test func(s *site, routes, upstreams *fakeTopic)) {
	runNodes(t, 3, 5*time.Second, func(s *Service, _ sitePeers, _, _ *fakeTopic) { configure(s) }, test)
}

// runNodes runs a test against a number of nodes that have run for a time on a store with version 1 of the routes and one upstream,
// with a function that configures each node.
func runNodes(
	t *testing.T, count int, uptime time.Duration, configure func(s *Service, peers sitePeers, routes, upstreams *fakeTopic),
	test func(s *site, routes, upstreams *fakeTopic),
) {
	synctest.Test(t, func(*testing.T) {
		routes, upstreams := newTopic(), newTopic()
		routes.put("config", "1")
		upstreams.put("u1", "ready")
		routesCopy, upstreamsCopy := newTopic(), newTopic()
		s := newSite()
		for i := range count {
			peers := sitePeers{
				site: s,
				self: i,
			}
			service := newNode(peers, routes, upstreams)
			service.RoutesCopy, service.UpstreamsCopy = routesCopy, upstreamsCopy
			configure(service, peers, routes, upstreams)
			s.services = append(s.services, service)
		}
		for _, service := range s.services {
			service.Prepare()
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for _, service := range s.services {
			group.Go(func() { service.Run(ctx) })
		}
		defer func() {
			cancel()
			group.Wait()
		}()
		time.Sleep(uptime)
		test(s, routes, upstreams)
	})
}

func decodeVersion(data []byte) (*route.Table, []string, error) {
	version, err := strconv.Atoi(string(data))
	return route.NewTable(route.TableSpec{Version: version}), nil, err
}

func decodeVersionOnly(data []byte) (int, error) { return strconv.Atoi(string(data)) }

// decodeState decodes an entry of the form STATE, STATE@BOOT or STATE@BOOT/VERSION.
func decodeState(upstream string, data []byte) (wire.Machine, error) {
	state := map[string]string{"ready": "", "draining": replica.StateLeaving}
	text, version, _ := strings.Cut(string(data), "/")
	name, bootText, _ := strings.Cut(text, "@")
	known, ok := state[name]
	if !ok {
		return wire.Machine{}, errors.New("unknown state")
	}
	boot, err := strconv.Atoi(cmp.Or(bootText, "0"))
	if err != nil {
		return wire.Machine{}, err
	}
	return wire.Machine{
		Name:    upstream,
		Kind:    replica.KindService,
		Pool:    "p",
		Address: "10.0.0.1:1",
		State:   known,
		Boot:    boot,
		Version: version,
	}, nil
}

func (s *site) versions() []int {
	var versions []int
	for _, service := range s.services {
		versions = append(versions, service.CurrentRoutes().Version())
	}
	return versions
}

// leaving reports, for each service, whether it sends no new requests to u1.
func (s *site) leaving() []bool {
	var leaving []bool
	for _, service := range s.services {
		r, known := service.Table.Load().Replica("u1")
		leaving = append(leaving, !known || r.Leaving())
	}
	return leaving
}
