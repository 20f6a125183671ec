package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// storeOutage is how long the store turns all calls away, and down how long a crashed replica is.
	storeOutage = 8 * time.Second
	down        = time.Second
	// streamEvents is the number of events of a stream, which takes 8 s.
	streamEvents = 80
)

// playJoinedVersion has replicas crash one after the other and start again under their names with newer software, while the store
// is unavailable. No answer may join pieces that two versions made.
func playJoinedVersion(folder string) (breaks []string, err error) {
	s, err := NewSite(folder, 3)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	replicas, err := s.AddReplicas(3, Spec{
		Service: "models",
		Version: "v1",
		Events:  streamEvents,
	})
	if err != nil {
		return nil, err
	}
	if err := s.StartNodes(); err != nil {
		return nil, err
	}
	stop := s.Consume("/quote/1", 15*time.Second, 150*time.Millisecond)
	time.Sleep(12 * time.Second)
	if s.Trouble {
		s.Store.SetAway(func(string) bool { return true })
		s.Journal.Note("the store turns all calls away")
	}
	outageEnds := time.Now().Add(storeOutage)
	for _, r := range replicas {
		time.Sleep(time.Second)
		if err := r.restartAs("v2", down); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(outageEnds))
	s.Store.SetAway(nil)
	s.Journal.Note("the store serves again")
	time.Sleep(4 * time.Second)
	answers := stop()
	s.summarize(answers, outageEnds)
	return s.joined(answers), nil
}

// restartAs has the replica crash and start again, after a time, under its name and at its address with a version.
func (r *Replica) restartAs(version string, after time.Duration) error {
	r.Exit()
	time.Sleep(after)
	r.Version = version
	return r.Start()
}

// joined returns the answers whose events come from more than one version.
func (s *Site) joined(answers []Answer) (breaks []string) {
	for _, a := range answers {
		from := map[string]string{}
		for block := range strings.SplitSeq(a.Body, "\n\n") {
			var id, version string
			var word int
			if _, err := fmt.Sscanf(block, "id: %s\ndata: %s word %d", &id, &version, &word); err == nil && from[version] == "" {
				from[version] = id
			}
		}
		if len(from) > 1 {
			text := fmt.Sprintf("answer %s, status %d, whole %v, joins versions; the first event of each: %v", a.ID, a.Status, a.Whole, from)
			s.Journal.Note("broken: %s", text)
			breaks = append(breaks, text)
		}
	}
	return breaks
}
