package feed

// Target is a peer that has newer records of a topic.
type Target struct {
	Address string
	// Version is the version of the routes at the peer, 0 if it isn't known.
	Version int
}

// FetchQueue allows one fetch of a whole topic at a time and keeps the best requests that come meanwhile: the newest one
// without a version, which is of records that are missing, and the one of the highest version. It is not safe for
// concurrent use.
type FetchQueue struct {
	inFlight  bool
	missing   *Target
	versioned *Target
}

// Request reports whether to fetch from a target now. If a fetch is in flight, the target waits for its end, unless a
// better one does.
func (q *FetchQueue) Request(target Target) (start bool) {
	switch {
	case !q.inFlight:
		q.inFlight = true
		return true
	case target.Version == 0:
		q.missing = &target
	case q.versioned == nil || target.Version >= q.versioned.Version:
		q.versioned = &target
	}
	return false
}

// Done ends the fetch in flight and returns a target that waited for its end, which is then in flight.
func (q *FetchQueue) Done() (next Target, more bool) {
	waiting := &q.missing
	if q.missing == nil {
		waiting = &q.versioned
	}
	if *waiting == nil {
		q.inFlight = false
		return Target{}, false
	}
	next = **waiting
	*waiting = nil
	return next, true
}
