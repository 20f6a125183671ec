package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Site is a small deployment: the store, nodes and replicas.
type Site struct {
	Store   *Store
	Nodes   []*Node
	Journal *Journal
	// Trouble reports whether the disruption of the case is played.
	Trouble bool

	replicas int
	dir      string
}

// Bounds of the deployment as its settings name them.
const (
	drainBound   = 3 * time.Second
	contactBound = 4 * time.Second
)

// NewSite starts a store with the manifest and prepares nodes; the record is written into a folder.
func NewSite(folder string, nodes int) (*Site, error) {
	dir, err := os.MkdirTemp("", "lagoongw-review-")
	if err != nil {
		return nil, err
	}
	journal, err := NewJournal(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &Site{
		Store:   NewStore(),
		Journal: journal,
		Trouble: os.Getenv("TROUBLE") != "0",
		dir:     dir,
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it lives as long as the process
	if err != nil {
		return s, err
	}
	server := &http.Server{
		Handler:           s.Store,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	s.Store.Put(names["topic-operator"], record{
		key:   manifestKey,
		value: manifestJSON,
	})
	s.Nodes, err = NewNodes(nodes, listener.Addr().String(), dir)
	return s, err
}

// AddReplicas starts replicas of a service, which are named after it and numbered.
func (s *Site) AddReplicas(count int, spec Spec) (replicas []*Replica, err error) {
	for range count {
		s.replicas++
		r := &Replica{
			Spec:    spec,
			Name:    fmt.Sprintf("%s-%d", spec.Service, s.replicas),
			store:   s.Store,
			journal: s.Journal,
		}
		if err := r.Start(); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	return replicas, nil
}

// StartNodes starts all nodes and waits until they are ready.
func (s *Site) StartNodes() error {
	for _, n := range s.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range s.Nodes {
		if err := n.AwaitReady(); err != nil {
			return err
		}
	}
	s.Journal.Note("all nodes are ready")
	return nil
}

// KillNodes ends the processes of all nodes at the same moment.
func (s *Site) KillNodes() {
	s.Journal.Note("all node processes are killed")
	for _, n := range s.Nodes {
		if n.command != nil {
			_ = n.command.Process.Kill()
		}
	}
	for _, n := range s.Nodes {
		n.Kill()
	}
}

// Consume starts consumers of a path; the function that it returns stops them and returns their answers.
func (s *Site) Consume(path string, limit, pause time.Duration) (stop func() []Answer) {
	c := &Consumer{
		Path:    path,
		Limit:   limit,
		Pause:   pause,
		nodes:   s.Nodes,
		journal: s.Journal,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	return func() []Answer {
		cancel()
		<-done
		return c.Answers()
	}
}

// Burst sends requests at the same moment, to one node after the other; the function that it returns waits for the answers.
func (s *Site) Burst(path string, limit time.Duration, count int) (wait func() []Answer) {
	c := &Consumer{
		Path:    path,
		Limit:   limit,
		nodes:   s.Nodes,
		journal: s.Journal,
	}
	var group sync.WaitGroup
	for i := range count {
		address := s.Nodes[i%len(s.Nodes)].Address(portCallers)
		group.Go(func() { c.keep(c.Send(address, "")) })
	}
	return func() []Answer {
		group.Wait()
		return c.Answers()
	}
}

// Close ends all processes and removes the temporary folder, unless KEEP names a folder to move it to.
func (s *Site) Close() {
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.Journal.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}
