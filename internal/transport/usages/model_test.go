package usages

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/usage"
	"lagoongw/internal/protocol/wire"
)

const (
	testWindow = 5 * time.Second
	testOff    = 0.05
	testLate   = 10 * time.Second
	// modelLease and modelClaimWait are the length of a lease, and how long after its end another node claims.
	modelLease     = 2500 * time.Millisecond
	modelClaimWait = time.Second
	modelTeams     = 5
	// requestGap is the time between two requests at a node.
	requestGap = 50 * time.Millisecond
)

var (
	errModel   = errors.New("no answer")
	errRefused = errors.New("connection refused")
)

// site is a model of nodes, a store and the platform API, in the fake time of a synctest bubble.
type site struct {
	t *testing.T

	mu sync.Mutex
	// random and the fields below are guarded by mu.
	random *rand.Rand
	nodes  []*modelNode
	store  modelStore
	api    modelAPI
	// holder holds the lease until leaseUntil; end is the end of the log that it knows.
	holder     *modelNode
	number     int
	leaseUntil time.Time
	end        int
	records    map[string][]byte
	truth      map[int]map[string]int
	leftOut    map[usage.Reason]int
	// doubt is the probability that a call to the store or to the API gets no answer; half of them are executed late.
	doubt     float64
	storeDown bool
	apiDown   bool
}

// modelNode is one start of a node.
type modelNode struct {
	name    string
	service *Service
	started time.Time
	// ended is when it was killed, zero while it runs.
	ended  time.Time
	bootAt time.Duration
	wall   time.Duration
	cutOff bool
	frozen bool
	cancel context.CancelFunc
}

// modelStore is a log with conditional appends.
type modelStore struct {
	era  int
	keys []string
	vals [][]byte
}

// modelAPI is the platform's side of usage reports.
type modelAPI struct {
	highest   int
	accepted  map[int]map[string]int
	at        map[int]time.Time
	conflicts []string
	calls     int
}

func newSite(t *testing.T, seed uint64, nodes int) *site {
	s := &site{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		truth:   map[int]map[string]int{},
		leftOut: map[usage.Reason]int{},
	}
	s.store.era = 1
	s.api.accepted = map[int]map[string]int{}
	s.api.at = map[int]time.Time{}
	for i := range nodes {
		s.start(fmt.Sprintf("vm-%02d", i))
	}
	return s
}

// start starts a node; the caller must hold s.mu, except before the model runs.
func (s *site) start(name string) {
	ctx, cancel := context.WithCancel(s.t.Context())
	n := &modelNode{
		name:    name,
		started: time.Now(),
		bootAt:  time.Duration(s.random.Int64N(int64(time.Hour))),
		wall:    time.Duration(s.random.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond,
		cancel:  cancel,
	}
	n.service = &Service{
		Name:     name,
		Boot:     s.random.Uint64() >> 12,
		Window:   testWindow,
		Off:      testOff,
		Late:     testLate,
		BootTime: func() time.Duration { return time.Since(n.started) + n.bootAt },
		WallTime: func() time.Time {
			s.mu.Lock()
			defer s.mu.Unlock()
			return time.Now().Add(n.wall)
		},
		Held: func() (int, bool) { return s.held(n) },
		Save: func(ctx context.Context, number int, key string, value []byte) error {
			return s.save(ctx, n, number, key, value)
		},
		Records:     s.newest,
		Heard:       func(string, int) {},
		Unreachable: func(since time.Duration) { s.unreachable(n, since) },
		Report: func(ctx context.Context, number, window int, counts map[string]int) error {
			return s.report(ctx, n, number, window, counts)
		},
		Nodes: s.members,
		Call: func(ctx context.Context, to string, call wire.UsageCall) (wire.UsageCounts, error) {
			return s.call(ctx, n, to, call)
		},
		Ended:  func(err error) bool { return errors.Is(err, errRefused) },
		Logger: zerolog.Nop(),
	}
	n.service.Prepare()
	s.nodes = append(s.nodes, n)
	go s.runNode(ctx, n)
}

// runNode ticks a node until it is killed.
func (s *site) runNode(ctx context.Context, n *modelNode) {
	for ctx.Err() == nil {
		time.Sleep(tickInterval)
		s.mu.Lock()
		stopped := !n.ended.IsZero() || n.frozen
		s.mu.Unlock()
		if !stopped {
			n.service.Tick(ctx)
		}
	}
}

// kill ends a node; the caller must hold s.mu.
func (s *site) kill(n *modelNode) {
	n.ended = time.Now()
	n.cancel()
}

func (s *site) running() []*modelNode {
	var running []*modelNode
	for _, n := range s.nodes {
		if n.ended.IsZero() {
			running = append(running, n)
		}
	}
	return running
}

// members returns the nodes as the membership protocol shows them: a killed one is live for 1.2 s and known for 5 s.
func (s *site) members() []usage.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	byName := map[string]usage.Node{}
	for _, n := range s.nodes {
		ended := time.Since(n.ended)
		if n.ended.IsZero() || ended < 5*time.Second {
			byName[n.name] = usage.Node{
				Name: n.name,
				Live: n.ended.IsZero() || ended < 1200*time.Millisecond,
			}
		}
	}
	return slices.Collect(maps.Values(byName))
}

func (s *site) held(n *modelNode) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != n || !n.ended.IsZero() || !time.Now().Before(s.leaseUntil) {
		return 0, false
	}
	return s.number, true
}

func (s *site) unreachable(n *modelNode, since time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == n && since >= 3*time.Second {
		s.leaseUntil = time.Now()
	}
}

// appendAt appends a record if the log ends at an offset; the caller must hold s.mu.
func (s *site) appendAt(at int, key string, value []byte) bool {
	if len(s.store.keys) != at {
		return false
	}
	s.store.keys = append(s.store.keys, key)
	s.store.vals = append(s.store.vals, value)
	return true
}

// newest returns the newest record of each key as they were when the holder gained the lease.
func (s *site) newest() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

// save is the holder's conditional append. After an append in doubt the holder reads where the log ends.
func (s *site) save(ctx context.Context, n *modelNode, number int, key string, value []byte) error {
	s.mu.Lock()
	at, era, down := s.end, s.store.era, s.storeDown || n.cutOff
	mine := s.holder == n && s.number == number && time.Now().Before(s.leaseUntil)
	delay := time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
	inDoubt, late := s.random.Float64() < s.doubt, s.random.IntN(2) == 0
	lateBy := time.Duration(s.random.Int64N(int64(4 * time.Second)))
	s.mu.Unlock()
	if !mine {
		return errModel
	}
	if inDoubt || down {
		if late && !down {
			go func() {
				time.Sleep(lateBy)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.appendAt(at, key, value)
			}()
		}
		time.Sleep(700 * time.Millisecond)
		s.resume(n, number)
		return errModel
	}
	time.Sleep(delay)
	s.mu.Lock()
	done := s.appendAt(at, key, value)
	if done && s.holder == n && s.number == number {
		s.end = at + 1
	}
	sameEra := s.store.era == era
	s.mu.Unlock()
	if !done || !sameEra {
		s.resume(n, number)
		return errModel
	}
	time.Sleep(delay)
	return ctx.Err()
}

// resume reads where the log ends; a holder whose number is no longer the newest there, or whose era is over, has lost the
// lease.
func (s *site) resume(n *modelNode, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != n || s.number != number {
		return
	}
	if s.store.era != number>>eraBits {
		s.leaseUntil = time.Now()
		return
	}
	s.end = len(s.store.keys)
}

// tendLease renews the lease of a running holder and lets another node claim some time after it has ended.
func (s *site) tendLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	h := s.holder
	if h != nil && now.Before(s.leaseUntil) && h.ended.IsZero() && !h.frozen && !h.cutOff && !s.storeDown &&
		s.store.era == s.number>>eraBits {
		if now.Sub(s.leaseUntil) > -modelLease+time.Second && s.appendAt(s.end, "lease", nil) {
			s.end++
			s.leaseUntil = now.Add(modelLease)
		}
		return
	}
	if s.storeDown || h != nil && now.Before(s.leaseUntil.Add(modelClaimWait)) {
		return
	}
	running := slices.DeleteFunc(s.running(), func(n *modelNode) bool { return n.frozen || n.cutOff })
	if len(running) == 0 {
		return
	}
	s.number = s.store.era<<eraBits | (len(s.store.keys) + 1)
	s.appendAt(len(s.store.keys), "lease", nil)
	s.end = len(s.store.keys)
	s.holder = running[s.random.IntN(len(running))]
	s.leaseUntil = now.Add(modelLease)
	s.records = map[string][]byte{}
	for i, key := range s.store.keys {
		s.records[key] = s.store.vals[i]
	}
}

// restore takes the store back by some records; the caller must hold s.mu.
func (s *site) restore(lost int) {
	kept := max(len(s.store.keys)-lost, 0)
	s.store.keys, s.store.vals = s.store.keys[:kept:kept], s.store.vals[:kept:kept]
	s.store.era++
}

func (s *site) call(ctx context.Context, from *modelNode, to string, call wire.UsageCall) (wire.UsageCounts, error) {
	s.mu.Lock()
	there := time.Duration(s.random.Int64N(int64(30 * time.Millisecond)))
	back := time.Duration(s.random.Int64N(int64(30 * time.Millisecond)))
	dropped := s.random.Float64() < s.doubt
	s.mu.Unlock()
	time.Sleep(there)
	s.mu.Lock()
	var target *modelNode
	for _, n := range s.running() {
		if n.name == to {
			target = n
		}
	}
	silent := target != nil && (target.frozen || target.cutOff) || from.cutOff || dropped
	s.mu.Unlock()
	if target == nil && !silent {
		return wire.UsageCounts{}, errRefused
	}
	if silent {
		time.Sleep(400 * time.Millisecond)
		return wire.UsageCounts{}, errModel
	}
	answer := target.service.Answer(call)
	time.Sleep(back)
	return answer, ctx.Err()
}

// report executes a report at once, late or never.
func (s *site) report(ctx context.Context, n *modelNode, number, window int, counts map[string]int) error {
	if current, held := s.held(n); !held || current != number {
		return errModel
	}
	s.mu.Lock()
	inDoubt, late := s.random.Float64() < s.doubt, s.random.IntN(2) == 0
	lateBy := time.Duration(s.random.Int64N(int64(6 * time.Second)))
	down := s.apiDown
	s.mu.Unlock()
	if inDoubt || down {
		if late {
			go func() {
				time.Sleep(lateBy)
				s.execute(number, window, counts)
			}()
		}
		time.Sleep(time.Second)
		return errModel
	}
	time.Sleep(20 * time.Millisecond)
	if !s.execute(number, window, counts) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.holder == n && s.number == number {
			s.leaseUntil = time.Now()
		}
		return errModel
	}
	return ctx.Err()
}

// execute is the platform API: it refuses lower numbers and records what it accepts.
func (s *site) execute(number, window int, counts map[string]int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.api.calls++
	if number < s.api.highest {
		return false
	}
	s.api.highest = number
	if before, found := s.api.accepted[window]; found && !maps.Equal(before, counts) {
		s.api.conflicts = append(s.api.conflicts, fmt.Sprintf("window %d: %v then %v", window, before, counts))
	}
	if _, found := s.api.accepted[window]; !found {
		s.api.accepted[window] = maps.Clone(counts)
		s.api.at[window] = time.Now()
	}
	return true
}

// run lets time pass: requests begin at every node, and the lease is tended. It calls each at every step, with s.mu held.
func (s *site) run(length time.Duration, each func()) {
	const step = 10 * time.Millisecond
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(step) {
		s.tendLease()
		s.mu.Lock()
		each()
		serving := s.running()
		for i, n := range serving {
			if n.frozen {
				serving[i] = nil
			}
		}
		s.mu.Unlock()
		for i, n := range serving {
			tick := time.Now().UnixNano()/int64(step) + int64(i)
			if n == nil || tick%int64(requestGap/step) != 0 {
				continue
			}
			team := fmt.Sprintf("team-%d", (tick/int64(requestGap/step)+int64(i))%modelTeams)
			n.service.Began(team)
			window := usage.WindowAt(time.Now(), testWindow)
			if s.truth[window] == nil {
				s.truth[window] = map[string]int{}
			}
			s.truth[window][team]++
		}
	}
}

// finish stops all nodes and waits for what is in flight.
func (s *site) finish() {
	s.mu.Lock()
	for _, n := range s.nodes {
		if n.ended.IsZero() {
			s.kill(n)
		}
	}
	nodes := slices.Clone(s.nodes)
	s.mu.Unlock()
	for _, n := range nodes {
		for reason, windows := range n.service.Stats().LeftOut {
			s.leftOut[reason] += windows
		}
	}
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

// outcome is what the API has of the windows in a span of time.
type outcome struct {
	windows, reported, late, off int
	worst                        float64
}

// outcome compares the reports of the windows that lie within a span with the truth.
func (s *site) outcome(from, to time.Time) outcome {
	var o outcome
	for window := usage.WindowAt(from, testWindow) + 1; window < usage.WindowAt(to, testWindow); window++ {
		o.windows++
		counts, found := s.api.accepted[window]
		if !found {
			continue
		}
		o.reported++
		if s.api.at[window].Sub(time.Unix(int64(window+1)*int64(testWindow/time.Second), 0)) > testLate {
			o.late++
		}
		worst := 0.0
		for team, count := range s.truth[window] {
			worst = max(worst, math.Abs(float64(counts[team]-count))/float64(count))
		}
		o.worst = max(o.worst, worst)
		if worst > testOff {
			o.off++
		}
	}
	return o
}
