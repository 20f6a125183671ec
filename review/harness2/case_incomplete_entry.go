package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// allDown is how long all replicas of the service are down.
const allDown = 2 * time.Second

// playIncompleteEntry has another writer put an entry that lacks fields, which names no replica to use, and all replicas of the
// service crash for a while. The server at the entry's address must not run any request.
func playIncompleteEntry(folder string) (breaks []string, err error) {
	s, err := NewSite(folder, 3)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	sound, err := s.AddReplicas(2, Spec{
		Service: "orders",
		Version: "v1",
		Work:    60 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	foreign, err := s.AddReplicas(1, Spec{
		Service: "foreign",
		Version: "v0",
		Work:    60 * time.Millisecond,
		Foreign: true,
	})
	if err != nil {
		return nil, err
	}
	if err := s.StartNodes(); err != nil {
		return nil, err
	}
	stop := s.Consume("/order/1", 3*time.Second, 50*time.Millisecond)
	time.Sleep(6 * time.Second)
	if s.Trouble {
		s.writeIncompleteEntry(foreign[0])
	}
	time.Sleep(3 * time.Second)
	for _, r := range sound {
		r.Exit()
	}
	time.Sleep(allDown)
	for _, r := range sound {
		if err := r.Start(); err != nil {
			return nil, err
		}
	}
	s.Journal.Note("the replicas of the service are back")
	time.Sleep(10 * time.Second)
	s.summarize(stop(), time.Now().Add(-10*time.Second))
	for _, run := range s.Journal.Runs() {
		if run.Replica == foreign[0].Name {
			text := fmt.Sprintf("request %s was run at %.3f s by %s, which no entry with all fields names", run.ID,
				s.Journal.Since(run.At), run.Replica)
			s.Journal.Note("broken: %s", text)
			breaks = append(breaks, text)
		}
	}
	return breaks, nil
}

// writeIncompleteEntry writes an entry for a server that has the service, the address and the state of a replica, but no other field.
func (s *Site) writeIncompleteEntry(foreign *Replica) {
	entry, _ := json.Marshal(map[string]string{
		"service": "orders",
		"address": foreign.address,
		"state":   stateReady,
	})
	s.Store.Put(names["topic-replicas"], record{
		key:   foreign.Name,
		value: string(entry),
	})
	s.Journal.Note("another writer has put an entry for %s without zone, version, slots, cold_left_ms and seq", foreign.Name)
}
