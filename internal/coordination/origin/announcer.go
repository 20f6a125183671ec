package origin

import (
	"slices"
	"time"
)

const (
	// announceLifetime is how long after its first event the keepers of a stream are told of it.
	announceLifetime = 30 * time.Second
	// retryDelay is the time before a keeper that did not answer is told again.
	retryDelay = 500 * time.Millisecond
	// maxReports is the largest number of streams in one message.
	maxReports = 256
	// maxAnnounced limits the streams of an Announcer; beyond it the keepers of new ones are not told.
	maxAnnounced = 1 << 12
)

// Announcer decides which nodes to tell of the streams that began at this one. Keepers that could not be told, or were
// not keepers yet, are told later. It is not safe for concurrent use.
type Announcer struct {
	// Self is the name of this node.
	Self string

	nodes   []Node
	streams map[ID]*announced
	// writer is the node that appends the streams of the pools in logged to the store; it is told of them as the keepers are.
	writer string
	logged []string
	// unfinished holds the streams of which a keeper has not been told.
	unfinished map[ID]*announced
	// links holds the nodes to which messages were sent.
	links map[string]*link
}

// announced is a stream that began at this node.
type announced struct {
	origin  Origin
	at      time.Time
	keepers []string
	told    []string
}

// link is what is known of the way to one node.
type link struct {
	inFlight []ID
	// retryAt is when the node may be told again after it did not answer.
	retryAt time.Time
}

// SetNodes replaces the live nodes, including this one.
func (a *Announcer) SetNodes(nodes []Node) {
	if slices.Equal(nodes, a.nodes) {
		return
	}
	a.nodes = slices.Clone(nodes)
	for id, stream := range a.streams {
		a.choose(id, stream)
	}
}

// SetWriter replaces the node that appends streams to the store, and the pools whose streams it appends.
func (a *Announcer) SetWriter(name string, logged []string) {
	if name == a.writer && slices.Equal(logged, a.logged) {
		return
	}
	a.writer, a.logged = name, slices.Clone(logged)
	for id, stream := range a.streams {
		a.choose(id, stream)
	}
}

// Began records that a stream began at this node.
func (a *Announcer) Began(stream ID, o Origin, now time.Time) {
	if len(a.streams) >= maxAnnounced {
		return
	}
	if a.streams == nil {
		a.streams = map[ID]*announced{}
		a.unfinished = map[ID]*announced{}
		a.links = map[string]*link{}
	}
	began := &announced{
		origin: o,
		at:     now,
	}
	a.streams[stream] = began
	a.choose(stream, began)
}

// choose sets the keepers of a stream.
func (a *Announcer) choose(id ID, stream *announced) {
	others := slices.DeleteFunc(slices.Clone(a.nodes), func(n Node) bool { return n.Name == a.Self })
	stream.keepers = Keepers(id, others)
	if a.writer != "" && a.writer != a.Self && slices.Contains(a.logged, stream.origin.Pool) &&
		!slices.Contains(stream.keepers, a.writer) {
		stream.keepers = append(stream.keepers, a.writer)
	}
	if stream.finished() {
		delete(a.unfinished, id)
	} else {
		a.unfinished[id] = stream
	}
}

// finished reports whether all keepers were told.
func (s *announced) finished() bool {
	return !slices.ContainsFunc(s.keepers, func(name string) bool { return !slices.Contains(s.told, name) })
}

// Due returns the reports to send now by node, one message to each node at a time. Done must be called for each node.
func (a *Announcer) Due(now time.Time) map[string][]Report {
	due := map[string][]Report{}
	for id, stream := range a.unfinished {
		for _, name := range stream.keepers {
			if !slices.Contains(stream.told, name) && a.open(name, now) && len(due[name]) < maxReports {
				due[name] = append(due[name], Report{
					Stream: id,
					Origin: stream.origin,
					Age:    now.Sub(stream.at),
				})
			}
		}
	}
	for name, reports := range due {
		l := a.links[name]
		for _, report := range reports {
			l.inFlight = append(l.inFlight, report.Stream)
		}
	}
	return due
}

// open reports whether a message may be sent to a node.
func (a *Announcer) open(name string, now time.Time) bool {
	l := a.links[name]
	if l == nil {
		l = &link{}
		a.links[name] = l
	}
	return len(l.inFlight) == 0 && !now.Before(l.retryAt)
}

// Done records whether a node took the reports that were sent to it.
func (a *Announcer) Done(name string, taken bool, now time.Time) {
	l := a.links[name]
	sent := l.inFlight
	l.inFlight = nil
	if !taken {
		l.retryAt = now.Add(retryDelay)
		return
	}
	for _, id := range sent {
		stream := a.streams[id]
		if stream == nil {
			continue
		}
		stream.told = append(stream.told, name)
		if stream.finished() {
			delete(a.unfinished, id)
		}
	}
}

// Forget drops the streams that began long ago, and the nodes that are gone.
func (a *Announcer) Forget(now time.Time) {
	for id, stream := range a.streams {
		if now.Sub(stream.at) >= announceLifetime {
			delete(a.streams, id)
			delete(a.unfinished, id)
		}
	}
	for name, l := range a.links {
		known := slices.ContainsFunc(a.nodes, func(n Node) bool { return n.Name == name })
		if !known && len(l.inFlight) == 0 {
			delete(a.links, name)
		}
	}
}

// Owes reports whether a node is still to be told of a stream.
func (a *Announcer) Owes(name string) bool {
	for _, stream := range a.unfinished {
		if slices.Contains(stream.keepers, name) && !slices.Contains(stream.told, name) {
			return true
		}
	}
	return false
}

// Unfinished returns the number of streams of which a keeper has not been told.
func (a *Announcer) Unfinished() int { return len(a.unfinished) }
