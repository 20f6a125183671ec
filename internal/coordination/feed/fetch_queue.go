package feed

// Target is a peer that has newer records of a topic.
type Target struct {
	Address string
	// Version is the version of the routes at the peer, 0 if it isn't known.
	Version int
}

// FetchQueue allows one fetch of a whole topic at a time and keeps the newest request that comes meanwhile; it is not
// safe for concurrent use.
type FetchQueue struct {
	inFlight bool
	waiting  *Target
}

// Request reports whether to fetch from a target now. If a fetch is in flight, the target waits for its end, in place of
// the one that waited before.
func (q *FetchQueue) Request(target Target) (start bool) {
	if q.inFlight {
		q.waiting = &target
		return false
	}
	q.inFlight = true
	return true
}

// Done ends the fetch in flight and returns the target that waited for its end, which is then in flight.
func (q *FetchQueue) Done() (next Target, more bool) {
	if q.waiting == nil {
		q.inFlight = false
		return Target{}, false
	}
	next = *q.waiting
	q.waiting = nil
	return next, true
}
