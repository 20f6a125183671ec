package outbox

// Message is what is sent to a peer.
type Message[M any] interface {
	// Size returns the number of bytes that the message holds.
	Size() int
	// Merge returns the message to send in place of this one, which waits, and a newer one of its kind.
	Merge(newer M) M
	// Reduce returns a message without its large parts, which the peer then requests; ok is false if there is none.
	Reduce() (reduced M, ok bool)
}

// Lane is the messages of one kind to one peer.
type Lane struct {
	Peer string
	Kind string
}

// Outbox holds one message in flight and one waiting for each lane, and a limited number of bytes in all; it is not safe
// for concurrent use.
type Outbox[M Message[M]] struct {
	// MaxBytes is the largest sum of the sizes of all messages in flight and waiting. A message that would exceed it is
	// reduced, or dropped if it can't be. Reduced messages are not limited: their number is, by the lanes.
	MaxBytes int

	lanes map[Lane]*pair[M]
	bytes int
}

// pair is the messages of one lane that has one in flight.
type pair[M any] struct {
	inFlight M
	waiting  M
	waits    bool
}

// Bytes returns the sum of the sizes of all messages in flight and waiting.
func (o *Outbox[M]) Bytes() int { return o.bytes }

// Len returns the number of lanes with a message in flight.
func (o *Outbox[M]) Len() int { return len(o.lanes) }

// Add adds a message to a lane. It returns the message to send now, if none is in flight there; Done must be called once
// it was sent.
func (o *Outbox[M]) Add(lane Lane, message M) (send M, start bool) {
	current := o.lanes[lane]
	if current != nil && current.waits {
		message = current.waiting.Merge(message)
		o.bytes -= current.waiting.Size()
		current.waits = false
	}
	message, ok := o.fit(message)
	switch {
	case !ok:
		return send, false
	case current != nil:
		current.waiting = message
		current.waits = true
	default:
		if o.lanes == nil {
			o.lanes = map[Lane]*pair[M]{}
		}
		o.lanes[lane] = &pair[M]{inFlight: message}
	}
	o.bytes += message.Size()
	return message, current == nil
}

func (o *Outbox[M]) fit(message M) (M, bool) {
	if o.bytes+message.Size() <= o.MaxBytes {
		return message, true
	}
	return message.Reduce()
}

// Done ends the message in flight in a lane and returns the one that waited, which is then in flight.
func (o *Outbox[M]) Done(lane Lane) (next M, more bool) {
	current := o.lanes[lane]
	o.bytes -= current.inFlight.Size()
	if !current.waits {
		delete(o.lanes, lane)
		return next, false
	}
	next = current.waiting
	o.lanes[lane] = &pair[M]{inFlight: next}
	return next, true
}
