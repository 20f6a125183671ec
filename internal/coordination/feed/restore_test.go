package feed

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lagoongw/internal/protocol/wire"
)

// rankEntry ranks values of the form STATE@BOOT, where the state is ready or leaving.
func rankEntry(record wire.FeedRecord) Rank {
	state, boot, _ := strings.Cut(record.Value, "@")
	version, err := strconv.Atoi(boot)
	if err != nil {
		return HighestRank
	}
	precedence := 0
	if state == "leaving" {
		precedence = 1
	}
	return Rank{
		Version:    version,
		Precedence: precedence,
	}
}

// rankVersion ranks values that are versions.
func rankVersion(record wire.FeedRecord) Rank {
	version, err := strconv.Atoi(record.Value)
	if err != nil {
		return LowestRank
	}
	return Rank{Version: version}
}

// restorableStore is a topic of a store that can be restored from an older copy.
type restorableStore struct {
	records []wire.FeedRecord
	era     int
	// deletedBelow is the first offset that can still be read.
	deletedBelow int
}

func (s *restorableStore) write(key, value string) {
	s.records = append(s.records, put(key, value, len(s.records)))
}

func (s *restorableStore) restore(length int) {
	s.records = s.records[:length:length]
	s.era++
}

func (s *restorableStore) newest(key string) string {
	for i := len(s.records) - 1; i >= 0; i-- {
		if s.records[i].Key == key {
			return s.records[i].Value
		}
	}
	return ""
}

// read returns what a node reads: the records from its offset on, or the newest of each key.
func (s *restorableStore) read(node *Topic) wire.FeedUpdate {
	if node.Loaded() && node.Era() == s.era && node.Next() >= s.deletedBelow && node.Next() <= len(s.records) {
		return wire.FeedUpdate{
			Era:       s.era,
			FreshFrom: node.FreshFrom(),
			From:      node.Next(),
			Next:      len(s.records),
			Records:   append([]wire.FeedRecord{}, s.records[node.Next():]...),
		}
	}
	update := wire.FeedUpdate{
		Era:       s.era,
		FreshFrom: node.FreshFrom(),
		Next:      len(s.records),
		Whole:     true,
	}
	if node.Era() != s.era {
		update.FreshFrom = len(s.records)
	}
	seen := map[string]bool{}
	for i := len(s.records) - 1; i >= 0; i-- {
		if record := s.records[i]; !seen[record.Key] {
			seen[record.Key] = true
			if record.Value != "" {
				update.Records = append(update.Records, record)
			}
		}
	}
	return update
}

// modelSite is three nodes whose reads and pushes happen in any order, and the writers of the records.
type modelSite struct {
	store  restorableStore
	nodes  [3]Topic
	pushes []wire.FeedUpdate
	// written holds the last words of the writers, which they write again after a restore.
	written map[string]string
	check   func(node int, record wire.FeedRecord)
	rank    func(record wire.FeedRecord) Rank
	first   bool
}

func newModelSite(rank func(record wire.FeedRecord) Rank, rankFirst bool) *modelSite {
	s := &modelSite{
		written: map[string]string{},
		rank:    rank,
		first:   rankFirst,
	}
	for i := range s.nodes {
		s.restart(i)
	}
	return s
}

func (s *modelSite) restart(node int) {
	s.nodes[node] = Topic{
		Rank:      s.rank,
		RankFirst: s.first,
	}
}

func (s *modelSite) write(key, value string) {
	s.written[key] = value
	s.store.write(key, value)
}

// rewrite writes again what the store lost; a removed key's writer is gone, and the store itself removes the key.
func (s *modelSite) rewrite() {
	for key, value := range s.written {
		s.store.write(key, value)
	}
}

func (s *modelSite) apply(node int, update wire.FeedUpdate) (gap bool) {
	changed, gap := s.nodes[node].Apply(update)
	for _, record := range changed {
		s.check(node, record)
	}
	return gap
}

func (s *modelSite) read(node int) {
	update := s.store.read(&s.nodes[node])
	s.apply(node, update)
	update.FreshFrom = s.nodes[node].FreshFrom()
	if update.Whole {
		update = s.nodes[node].Snapshot()
	}
	s.pushes = append(s.pushes, update)
}

// converge lets the writers write twice, as upstreams do with each heartbeat, and every node read after each time: what
// a node reads first in an era may be restored, and what it reads later is not.
func (s *modelSite) converge() {
	for range 2 {
		s.rewrite()
		for node := range s.nodes {
			s.read(node)
		}
	}
}

// step draws one event that any topic may meet.
func (s *modelSite) step(t *rapid.T, restarted func(node int)) {
	node := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
	switch rapid.SampledFrom([]string{
		"read", "read", "push", "push", "snapshot", "restore", "rewrite", "delete", "restart",
	}).Draw(t, "event") {
	case "read":
		s.read(node)
	case "push":
		if len(s.pushes) > 0 {
			s.apply(node, rapid.SampledFrom(s.pushes).Draw(t, "update"))
		}
	case "snapshot":
		from := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "from")
		if s.nodes[from].Loaded() {
			s.apply(node, s.nodes[from].Snapshot())
		}
	case "restore":
		s.store.restore(rapid.IntRange(len(s.store.records)/2, len(s.store.records)).Draw(t, "length"))
	case "rewrite":
		s.rewrite()
	case "delete":
		s.store.deletedBelow = len(s.store.records)
	case "restart":
		s.restart(node)
		restarted(node)
	}
}

// TestVersionsSurviveRestores checks in any order of reads, pushes, restores and restarts that no process goes back to a
// lower version, and that all nodes have the last one once it is written again.
func TestVersionsSurviveRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newModelSite(rankVersion, true)
		var inForce [3]int
		s.check = func(node int, record wire.FeedRecord) {
			if version := rankVersion(record).Version; version < inForce[node] {
				t.Fatalf("node %d went back from version %d to %d", node, inForce[node], version)
			}
			inForce[node] = rankVersion(record).Version
		}
		version := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if rapid.IntRange(0, 3).Draw(t, "new version") == 0 {
				version++
				s.write("config", strconv.Itoa(version))
			}
			s.step(t, func(node int) { inForce[node] = 0 })
		}
		version++
		s.write("config", strconv.Itoa(version))
		s.converge()
		for node, got := range inForce {
			if got != version {
				t.Fatalf("node %d has version %d, want %d", node, got, version)
			}
		}
	})
}

// TestDeparturesSurviveRestores checks in any order of reads, pushes, restores and restarts that no process lists a boot
// of an upstream as ready again once it knew that the boot was leaving, and that all nodes agree with the store once
// everything is written again.
func TestDeparturesSurviveRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newModelSite(rankEntry, false)
		known := [3]map[string]bool{{}, {}, {}}
		s.check = func(node int, record wire.FeedRecord) {
			state, boot, _ := strings.Cut(record.Value, "@")
			departed := record.Key + "@" + boot
			if state == "leaving" {
				known[node][departed] = true
			}
			if state == "ready" && known[node][departed] {
				t.Fatalf("node %d lists the leaving %s as ready", node, departed)
			}
		}
		boots := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			key := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream")
			switch rapid.IntRange(0, 7).Draw(t, "write") {
			case 0:
				boots[key]++
				s.write(key, fmt.Sprintf("ready@%d", boots[key]))
			case 1:
				if boots[key] > 0 {
					s.write(key, fmt.Sprintf("leaving@%d", boots[key]))
				}
			case 2:
				s.write(key, "")
			}
			s.step(t, func(node int) { known[node] = map[string]bool{} })
		}
		s.converge()
		for node := range s.nodes {
			for key := range s.written {
				got := ""
				for _, record := range s.nodes[node].Records() {
					if record.Key == key {
						got = record.Value
					}
				}
				if got != s.store.newest(key) {
					t.Fatalf("node %d has %q for %s, but the store has %q", node, got, key, s.store.newest(key))
				}
			}
		}
	})
}
