package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// oddEntries entries of oddBytes take 5 MB, of the 400 MB that the store holds in all; each is shorter than a record may be.
	oddEntries = 20
	oddBytes   = 250_000
	// oddEntriesPerCall entries take about half of what a call may.
	oddEntriesPerCall = 4
	// linger is how long a replica serves after the bound for draining, "at times many seconds".
	linger = 9 * time.Second
)

// playOddEntries has another writer put entries that can't be read among those of the replicas; then all replicas of a service are
// replaced by new ones. No request may reach a leaving replica after the bound.
func playOddEntries(folder string) (breaks []string, err error) {
	s, err := NewSite(folder, 3)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	old, err := s.AddReplicas(2, Spec{
		Service: "orders",
		Version: "v1",
		Work:    60 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	if err := s.StartNodes(); err != nil {
		return nil, err
	}
	stop := s.Consume("/order/1", 3*time.Second, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	if s.Trouble {
		s.writeOddEntries()
	}
	time.Sleep(5 * time.Second)
	if _, err := s.AddReplicas(len(old), old[0].Spec); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	leftAt := map[string]time.Time{}
	for _, r := range old {
		leftAt[r.Name] = r.Drain()
	}
	time.Sleep(drainBound + linger)
	for _, r := range old {
		r.Exit()
	}
	time.Sleep(5 * time.Second)
	s.summarize(stop(), time.Now().Add(-5*time.Second))
	return s.lateRuns(leftAt, drainBound), nil
}

// writeOddEntries writes entries of bytes that can't be read, a few in each call.
func (s *Site) writeOddEntries() {
	for first := 0; first < oddEntries; first += oddEntriesPerCall {
		var records []record
		for i := range oddEntriesPerCall {
			records = append(records, record{
				key:   fmt.Sprintf("odd-%d", first+i),
				value: strings.Repeat("\xff\x00\x17", oddBytes/3),
			})
		}
		s.Store.Put(names["topic-replicas"], records...)
	}
	s.Journal.Note("another writer has put %d entries of %d bytes that can't be read among those of the replicas", oddEntries, oddBytes)
}

// lateRuns returns the runs at replicas later than a bound after they left.
func (s *Site) lateRuns(leftAt map[string]time.Time, bound time.Duration) (breaks []string) {
	for _, run := range s.Journal.Runs() {
		left, leaving := leftAt[run.Replica]
		if !leaving || run.At.Sub(left) <= bound {
			continue
		}
		text := fmt.Sprintf("request %s reached %s at %.3f s, %.3f s after the store accepted that it leaves", run.ID, run.Replica,
			s.Journal.Since(run.At), run.At.Sub(left).Seconds())
		s.Journal.Note("broken: %s", text)
		breaks = append(breaks, text)
	}
	return breaks
}

// summarize notes how the requests ended, and how those that were sent after a time did.
func (s *Site) summarize(answers []Answer, after time.Time) {
	all, late := map[string]int{}, map[string]int{}
	for _, a := range answers {
		end := fmt.Sprint(a.Status)
		if !a.Whole {
			end += " not whole"
		}
		all[end]++
		if a.SentAt.After(after) {
			late[end]++
		}
	}
	s.Journal.Note("requests by their ends: %v; of those sent after %.3f s: %v", all, s.Journal.Since(after), late)
	fmt.Printf("requests by their ends: %v; of the last ones: %v\n", all, late)
}
