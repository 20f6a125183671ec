package main

import "time"

const (
	// canaries is how often the new version is tried, at one replica after the other.
	canaries = 6
	// canaryDown is how long a replica is down between two versions, and canaryEvents the number of events after which the new
	// version crashes; a sound one runs for soundCanaryUp.
	canaryDown    = 500 * time.Millisecond
	canaryEvents  = 3
	soundCanaryUp = 4 * time.Second
	// canaryWait is how long a canary waits for such a moment, and canaryPause the time between two canaries.
	canaryWait  = time.Second
	canaryPause = 4 * time.Second
	// canaryStream is the number of events of a stream, which takes 2 s, and canaryBurst the number of streams that begin
	// together, just after a canary has started.
	canaryStream = 20
	canaryBurst  = 24
)

// playCrashingCanary has a replica that runs nothing start again under its name with newer software, crash early in a stream and
// start again with the former software, one replica after the other. No answer may join pieces that two versions made.
func playCrashingCanary(folder string) (breaks []string, err error) {
	s, err := NewSite(folder, 3)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	replicas, err := s.AddReplicas(3, Spec{
		Service: "models",
		Version: "v1",
		Events:  canaryStream,
	})
	if err != nil {
		return nil, err
	}
	if err := s.StartNodes(); err != nil {
		return nil, err
	}
	stop := s.Consume(shortPath, 15*time.Second, 250*time.Millisecond)
	time.Sleep(12 * time.Second)
	var answers []Answer
	for i := range canaries {
		burst, err := s.tryCanary(replicas[i%len(replicas)])
		if err != nil {
			return nil, err
		}
		time.Sleep(canaryPause)
		answers = append(answers, burst()...)
	}
	answers = append(answers, stop()...)
	s.summarize(answers, time.Now().Add(-canaryPause))
	return s.joined(answers), nil
}

// tryCanary starts a replica as the new version, and then as the former one again. The function that it returns waits for the streams
// that began meanwhile.
func (s *Site) tryCanary(canary *Replica) (burst func() []Answer, err error) {
	canary.Await(0, canaryWait)
	if err := canary.restartAs("v2", canaryDown); err != nil {
		return nil, err
	}
	burst = s.Burst("/quote/1", 15*time.Second, canaryBurst)
	if s.Trouble {
		canary.Await(canaryEvents, canaryWait)
	} else {
		time.Sleep(soundCanaryUp)
		canary.Await(0, canaryWait)
	}
	return burst, canary.restartAs("v1", canaryDown)
}
