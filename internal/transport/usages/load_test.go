package usages

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/usage"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/peer"
)

const (
	loadTeams = 7500
	// requestsPerNode is the number of requests a second at each node.
	requestsPerNode = 20
	secondsOfLoad   = 12
)

// loadSite is a tally with the counters of many nodes, without calls.
type loadSite struct {
	now      time.Time
	counters []*usage.Counter
	tally    usage.Tally
	random   *rand.Rand
	// sent is the number of bytes of all calls and answers.
	sent int
}

func newLoadSite(nodes int) *loadSite {
	s := &loadSite{
		now:    time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(1, 1)),
		tally: usage.Tally{
			Window: testWindow,
			Off:    testOff,
			Late:   testLate,
		},
	}
	began := s.now
	for i := range nodes {
		counter := &usage.Counter{
			Boot:     uint64(i + 1),
			Window:   testWindow,
			Kept:     usage.KeptWindows(testWindow, testLate),
			BootTime: func() time.Duration { return s.now.Sub(began) },
		}
		counter.Correct(s.now)
		s.counters = append(s.counters, counter)
	}
	_ = s.tally.Gain(1, nil, s.now)
	return s
}

// second lets a second pass and calls each node once.
func (s *loadSite) second() {
	for range requestsPerNode {
		s.now = s.now.Add(time.Second / requestsPerNode)
		for _, counter := range s.counters {
			counter.Began(fmt.Sprintf("hule%d", s.random.IntN(loadTeams)))
		}
	}
	s.round()
}

// round calls each node once.
func (s *loadSite) round() {
	var nodes []usage.Node
	for i, counter := range s.counters {
		name := fmt.Sprintf("front-lom-a-%d", i)
		nodes = append(nodes, usage.Node{
			Name: name,
			Live: true,
		})
		boot, since := s.tally.Revision(name)
		call := wire.UsageCall{
			Holder: "front-lom-a-1",
			Number: 1<<40 | 1,
			TimeUs: int(s.now.UnixMicro()),
			Boot:   int(boot),
			Since:  since,
		}
		answer := encodeCounts(counter.Counts(since), s.now)
		s.sent += peer.FrameBytes(call) + peer.FrameBytes(answer)
		body, _ := json.Marshal(answer)
		var received wire.UsageCounts
		_ = json.Unmarshal(body, &received)
		s.tally.Receive(name, decodeCounts(received), s.now, s.now)
	}
	s.tally.SetNodes(nodes)
}

// TestLoadOfLargeSites guards against calls and records that grow beyond the links and the store: a checkpoint holds 64 KB
// at most, and the store takes no record of more than a few hundred kilobytes.
func TestLoadOfLargeSites(t *testing.T) {
	for _, nodes := range []int{8, 81, 300} {
		is := is.New(t)
		s := newLoadSite(nodes)
		checkpoint, fixed := 0, 0
		for range secondsOfLoad {
			s.second()
			record, err := s.tally.Checkpoint(s.now)
			is.NoErr(err)
			checkpoint = max(checkpoint, len(record))
			for _, action := range s.tally.Due(s.now) {
				if action.Kind == usage.Fix {
					record, err := usage.EncodeFixed(action.Window, action.Counts)
					is.NoErr(err)
					fixed = max(fixed, len(record))
					s.tally.Fixed(action.Window)
				}
			}
		}
		t.Logf("%d nodes: %d bytes per node and second, checkpoint %d bytes, fixed window %d bytes",
			nodes, s.sent/nodes/secondsOfLoad, checkpoint, fixed)
		is.True(checkpoint <= usage.MaxCheckpointBytes)
		is.True(fixed > 0)
		is.True(fixed <= 200<<10)
	}
}

// BenchmarkRound measures a second of the holder: the calls and answers of all nodes as JSON, the tally and a checkpoint.
func BenchmarkRound(b *testing.B) {
	for _, nodes := range []int{8, 81, 300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s := newLoadSite(nodes)
			for b.Loop() {
				b.StopTimer()
				for range requestsPerNode {
					s.now = s.now.Add(time.Second / requestsPerNode)
					for _, counter := range s.counters {
						counter.Began(fmt.Sprintf("hule%d", s.random.IntN(loadTeams)))
					}
				}
				b.StartTimer()
				s.round()
				_, _ = s.tally.Checkpoint(s.now)
				for _, action := range s.tally.Due(s.now) {
					if action.Kind == usage.Fix {
						s.tally.Fixed(action.Window)
					}
				}
			}
		})
	}
}

// BenchmarkBegan measures what a request costs at its node.
func BenchmarkBegan(b *testing.B) {
	s := newLoadSite(1)
	teams := make([]string, loadTeams)
	for i := range teams {
		teams[i] = fmt.Sprintf("hule%d", i)
	}
	for i := 0; b.Loop(); i++ {
		s.counters[0].Began(teams[i%loadTeams])
	}
}
