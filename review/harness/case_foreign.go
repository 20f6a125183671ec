package main

import (
	"net/http"
	"time"
)

const (
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = time.Second
	// recoveryTime is the bound recovery_s of the deployment.
	recoveryTime = 12 * time.Second
	// countedTime is how long requests are counted before the final fault and after the recovery.
	countedTime   = 8 * time.Second
	requestPause  = 100 * time.Millisecond
	servedQuarter = 4
)

// unreadable is an entry of another writer: the first bytes of a compressed file.
const unreadable = "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff\x4b\x2e\xca"

// releaseStep is the time between two replacements of a release.
const releaseStep = time.Second

// playForeignEntry has another writer put an entry that can't be read into the list of the replicas, kills all processes at
// once, and replaces the replicas one after the other once the processes are back. The rule is RECOVER: a quarter of the requests
// is served from recovery_s after the machines are back.
func playForeignEntry(j *journal, s *site, trouble bool) (held bool, err error) {
	var replicas []*replica
	for _, id := range []string{"i-0bd818ce", "i-4c1f07e2", "i-aace57a9"} {
		r, err := startReplica(s.store, j, id, poolOrders, 6)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := s.startNodes(); err != nil {
		return false, err
	}
	if trouble {
		s.store.put(names["topic-servers"], "i-e07c55aa", unreadable)
		j.note("another writer puts the entry i-e07c55aa, of bytes that can't be read")
	}
	sent, served := sendStatus(j, s, countedTime)
	j.note("before the final fault: %d of %d requests served", served, sent)
	if served*servedQuarter < sent {
		j.note("not a quarter was served before the fault")
		return false, nil
	}
	for _, n := range s.nodes {
		n.kill()
	}
	j.note("all processes are killed")
	time.Sleep(restartDelay)
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	j.note("all processes are started again")
	recovered := time.Now().Add(recoveryTime)
	s.awaitReady(time.Second)
	if err := release(j, s, replicas); err != nil {
		return false, err
	}
	time.Sleep(time.Until(recovered))
	sent, served = sendStatus(j, s, countedTime)
	j.note("from %v after the start on: %d of %d requests served, %d of %d processes ready", recoveryTime, served, sent,
		s.readyCount(), len(s.nodes))
	return served*servedQuarter >= sent, nil
}

// release replaces replicas one after the other: the new one starts first, and the old one drains.
func release(j *journal, s *site, replicas []*replica) error {
	for i, old := range replicas {
		if i > 0 {
			time.Sleep(releaseStep)
		}
		id := []string{"i-51d0c3e8", "i-8e26b9f4", "i-d97f40a1"}[i]
		if _, err := startReplica(s.store, j, id, old.service, old.slots); err != nil {
			return err
		}
		j.note("replica %s has started", id)
		go old.leave()
	}
	return nil
}

// sendStatus sends safe requests to the entry VMs in turn for a time, and returns how many were sent and served.
func sendStatus(j *journal, s *site, length time.Duration) (sent, served int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(requestPause) {
		n := s.nodes[sent%len(s.nodes)]
		sent++
		c, err := connect(j, n)
		if err != nil {
			j.note("no connection to %s: %v", n.Name, err)
			continue
		}
		got := c.ask(status())
		c.close()
		if got.status == http.StatusOK && got.stamp != "" && got.whole {
			served++
		}
	}
	return sent, served
}
