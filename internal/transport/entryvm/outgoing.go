package entryvm

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/coordination/outbox"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/peer"
)

const (
	// MaxOutgoingBytes is the largest sum of the sizes of the messages for peers that are being sent or wait.
	MaxOutgoingBytes = 4 << 20
	// maxJoinedBytes is the largest size of an update of a topic that waits for a peer.
	maxJoinedBytes = 64 << 10
	// minToldAge is the time that an update has waited from which a peer is told. The bounds within which nodes must know of
	// changes are seconds.
	minToldAge = 100 * time.Millisecond
)

// outgoing sends messages to peers without waiting for their answers, which are empty. To each peer at most one message
// of a kind is in flight and one waits.
type outgoing struct {
	process *Process
	// calls is the number of messages in flight.
	calls atomic.Int64

	mu     sync.Mutex
	outbox outbox.Outbox[message]
}

// message is the parameters of a call: the update of a topic, or the loads as JSON.
type message struct {
	method string
	update *wire.FeedUpdate
	// madeAt is when the update was current.
	madeAt time.Time
	// encoded returns the update as JSON, which is marshalled once for all peers.
	encoded func() (json.RawMessage, error)
	loads   json.RawMessage
}

func updateMessage(update wire.FeedUpdate) message {
	return message{
		method:  peer.MethodFeedUpdate,
		update:  &update,
		madeAt:  time.Now(),
		encoded: sync.OnceValues(func() (json.RawMessage, error) { return json.Marshal(update) }),
	}
}

// Size returns the number of bytes that the message holds.
func (m message) Size() int {
	if m.update != nil {
		return feed.Size(*m.update)
	}
	return len(m.loads)
}

// Merge returns the newer loads, or both updates as one.
func (m message) Merge(newer message) message {
	if m.update == nil || newer.update == nil {
		return newer
	}
	joined := updateMessage(feed.Join(*m.update, *newer.update, maxJoinedBytes))
	joined.madeAt = newer.madeAt
	return joined
}

// Reduce returns an update without its records; loads are dropped, since newer ones follow.
func (m message) Reduce() (message, bool) {
	if m.update == nil {
		return message{}, false
	}
	reduced := updateMessage(feed.Omit(*m.update))
	reduced.madeAt = m.madeAt
	return reduced, true
}

// params returns the parameters of the call that is made now. An update that has waited tells for how long, since it is current
// as of when it was made.
func (m message) params(now time.Time) (json.RawMessage, error) {
	if m.update == nil {
		return m.loads, nil
	}
	waited := now.Sub(m.madeAt)
	if waited < minToldAge {
		return m.encoded()
	}
	aged := *m.update
	age := int(waited / time.Millisecond)
	if aged.AgeMs != nil {
		age += *aged.AgeMs
	}
	aged.AgeMs = &age
	return json.Marshal(aged)
}

// timeout returns how long the call may take: an update shares the link with those to all other peers.
func (m message) timeout() time.Duration {
	if m.update != nil {
		return pushTimeout
	}
	return peerTimeout
}

// sendLoads sends loads to peers.
func (o *outgoing) sendLoads(targets []wire.Member, method string, loads wire.LoadDigest) {
	params, err := json.Marshal(loads)
	if err != nil {
		o.process.Logger.Error().Err(err).Str("step", method).Msg("loads not sent")
		return
	}
	o.send(targets, method, message{
		method: method,
		loads:  params,
	})
}

// send sends a message of a kind to peers, or holds it until the one before of its kind was answered.
func (o *outgoing) send(targets []wire.Member, kind string, m message) {
	for _, row := range targets {
		if row.Name == o.process.Name {
			continue
		}
		lane := outbox.Lane{
			Peer: row.Name,
			Kind: kind,
		}
		o.mu.Lock()
		next, start := o.outbox.Add(lane, m)
		o.mu.Unlock()
		if start {
			o.calls.Add(1)
			if !o.process.tasks.Go(func(ctx context.Context) { o.run(ctx, row, lane, next) }) {
				o.calls.Add(-1)
			}
		}
	}
}

// run sends a message and those that wait behind it.
func (o *outgoing) run(ctx context.Context, row wire.Member, lane outbox.Lane, m message) {
	defer o.calls.Add(-1)
	for more := true; more; {
		o.call(ctx, row, m)
		o.mu.Lock()
		m, more = o.outbox.Done(lane)
		o.mu.Unlock()
	}
}

func (o *outgoing) call(ctx context.Context, row wire.Member, m message) {
	params, err := m.params(time.Now())
	if err != nil {
		o.process.Logger.Error().Err(err).Str("step", m.method).Msg("message not sent")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	var answer struct{}
	if err := o.process.client.Call(ctx, row.Address, m.method, params, &answer); err != nil {
		o.process.Logger.Debug().Err(err).Str("step", m.method).Str("peer", row.Name).Msg("peer call failed")
	}
}

// bytes returns the sum of the sizes of the messages that are being sent or wait.
func (o *outgoing) bytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outbox.Bytes()
}
