package main

import "time"

const (
	// outage is how long the partition with the replicas' entries is unavailable, and restart how long the nodes are down.
	outage  = 4 * time.Second
	restart = time.Second
	// beforeRemoval ends between two reads of the list, which are 1.5 s apart.
	beforeRemoval = 9_600 * time.Millisecond
	// ghostLinger is how long the replica serves after the bound for draining, "at times many seconds".
	ghostLinger = 21 * time.Second
)

// playGhostReplica has the entry of a replica removed that leaves without a report. Right after the store has accepted that, all
// node processes are killed, and the partition with the entries is unavailable while they start again. Later than the bound after
// that, once all is calm, no request may reach the replica.
func playGhostReplica(folder string) (breaks []string, err error) {
	s, err := NewSite(folder, 3)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	replicas, err := s.AddReplicas(3, Spec{
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
	time.Sleep(beforeRemoval)
	leaving := replicas[0]
	leftAt := leaving.RemoveEntry()
	calmAt := leftAt
	if s.Trouble {
		if calmAt, err = s.restartInOutage(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(leftAt.Add(drainBound + ghostLinger)))
	leaving.Exit()
	time.Sleep(time.Second)
	s.summarize(stop(), calmAt)
	return s.lateRuns(map[string]time.Time{leaving.Name: leftAt}, max(drainBound, calmAt.Sub(leftAt))), nil
}

// restartInOutage kills all nodes and starts them again while the partition with the replicas' entries is unavailable. It returns
// when all nodes are in touch again: nothing was amiss for the bound of that before.
func (s *Site) restartInOutage() (calmAt time.Time, err error) {
	time.Sleep(20 * time.Millisecond)
	s.KillNodes()
	s.Store.SetAway(func(topic string) bool { return topic == names["topic-replicas"] })
	s.Journal.Note("the partition with the replicas' entries is unavailable")
	began := time.Now()
	time.Sleep(restart)
	if err := s.StartNodes(); err != nil {
		return calmAt, err
	}
	time.Sleep(time.Until(began.Add(outage)))
	s.Store.SetAway(nil)
	s.Journal.Note("the partition is available again")
	return time.Now().Add(contactBound + drainBound), nil
}
