package usages

import (
	"context"
	"maps"
	"slices"
	"time"

	"lagoongw/internal/coordination/usage"
	"lagoongw/internal/protocol/wire"
)

// startRound calls all nodes, except those whose last call is in flight still; the caller must hold s.mu.
func (s *Service) startRound(ctx context.Context, boot time.Duration) {
	nodes := s.Nodes()
	s.tally.SetNodes(nodes)
	known := make(map[string]bool, len(nodes))
	s.live = nil
	for _, node := range nodes {
		known[node.Name] = true
		if node.Live {
			s.live = append(s.live, node.Name)
		}
	}
	maps.DeleteFunc(s.nodes, func(name string, calls *nodeCalls) bool { return !known[name] && !calls.calling })
	s.consensus.Settle(s.live)
	s.checkMajority(boot)
	for _, node := range nodes {
		calls := s.nodes[node.Name]
		if calls == nil {
			calls = &nodeCalls{}
			s.nodes[node.Name] = calls
		}
		if !calls.calling {
			calls.calling = true
			s.calling++
			places := s.places
			if calls.failed {
				places = s.retries
			}
			s.tasks.Go(func(context.Context) { s.collect(ctx, node.Name, calls, places) })
		}
	}
}

// checkMajority tells the holder of the lease while less than half of the live nodes are heard.
func (s *Service) checkMajority(boot time.Duration) {
	heard := 0
	for _, name := range s.live {
		if calls := s.nodes[name]; calls != nil && calls.heard > 0 && boot-calls.heard <= heardWithin {
			heard++
		}
	}
	s.stats.Heard = heard
	if 2*heard >= len(s.live) {
		s.majorityHeard = boot
		return
	}
	s.Unreachable(boot - s.majorityHeard)
}

// collect calls a node and adds its counts to the tally.
func (s *Service) collect(ctx context.Context, name string, calls *nodeCalls, places chan struct{}) {
	places <- struct{}{}
	s.mu.Lock()
	number := s.number
	sent := s.BootTime()
	boot, since := s.tally.Revision(name)
	call := wire.UsageCall{
		Holder: s.Name,
		Number: number,
		Boot:   int(boot),
		Since:  since,
	}
	if now, known := s.consensus.Now(sent + calls.roundTrip/2); known {
		call.TimeUs = int(now.UnixMicro())
	}
	s.mu.Unlock()
	answer, err := s.ask(ctx, name, call)
	<-places
	received := s.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	calls.calling, calls.failed = false, err != nil
	s.calling--
	if s.number != number {
		return
	}
	defer s.roundDone(ctx)
	sentAt, timeKnown := s.consensus.Now(sent)
	if err != nil {
		if timeKnown && s.Ended(err) {
			s.tally.Ended(name, sentAt)
		}
		return
	}
	calls.heard = received
	if trip := received - sent; calls.roundTrip == 0 || trip < calls.roundTrip {
		calls.roundTrip = trip
	}
	s.consensus.Observe(name, time.UnixMicro(int64(answer.WallUs)), sent, received)
	if !timeKnown || answer.Current == 0 {
		return
	}
	receivedAt, _ := s.consensus.Now(received)
	s.tally.Receive(name, decodeCounts(answer), sentAt, receivedAt)
}

// roundDone saves a checkpoint once the last call of a round was answered, so that the counts in it are as new as they can
// be; the caller must hold s.mu.
func (s *Service) roundDone(ctx context.Context) {
	if s.calling > 0 || !s.loaded {
		return
	}
	s.checkpointDue = true
	if now, known := s.consensus.Now(s.BootTime()); known && !s.saving {
		s.checkpoint(ctx, now)
	}
}

func (s *Service) ask(ctx context.Context, name string, call wire.UsageCall) (wire.UsageCounts, error) {
	if name == s.Name {
		return s.answer(call), nil
	}
	return s.Call(ctx, name, call)
}

func encodeCounts(counts usage.Counts, wall time.Time) wire.UsageCounts {
	answer := wire.UsageCounts{
		Boot:     int(counts.Boot),
		WallUs:   int(wall.UnixMicro()),
		Current:  counts.Current,
		Revision: counts.Revision,
		UpMs:     int(counts.Up.Milliseconds()),
	}
	for _, window := range slices.Sorted(maps.Keys(counts.Windows)) {
		byTeam := counts.Windows[window]
		row := wire.UsageWindow{
			Window: window,
			Teams:  slices.Sorted(maps.Keys(byTeam)),
			Counts: make([]int, 0, len(byTeam)),
		}
		for _, team := range row.Teams {
			row.Counts = append(row.Counts, byTeam[team])
		}
		answer.Windows = append(answer.Windows, row)
	}
	return answer
}

func decodeCounts(answer wire.UsageCounts) usage.Counts {
	counts := usage.Counts{
		Boot:     uint64(answer.Boot),
		Current:  answer.Current,
		Revision: answer.Revision,
		Up:       time.Duration(answer.UpMs) * time.Millisecond,
		Windows:  make(map[int]map[string]int, len(answer.Windows)),
	}
	for _, row := range answer.Windows {
		byTeam := make(map[string]int, len(row.Teams))
		for i, team := range row.Teams {
			if i < len(row.Counts) {
				byTeam[team] = row.Counts[i]
			}
		}
		counts.Windows[row.Window] = byTeam
	}
	return counts
}
