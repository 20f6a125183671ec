package origin

import "time"

const (
	// minBound is the least take-up bound: callers retry for longer than the shortest routes allow.
	minBound = 30 * time.Second
	// removalMargin is how much longer than the take-up bound a version stays in the record. Nodes learn that a version has
	// left within seconds of each other; one that lists it for longest must not take it for recorded after its removal.
	removalMargin = 10 * time.Second
)

// Bound returns the take-up bound of a pool, whose routes allow a stream at most the given time: how long after its beginning
// a stream may be taken up. A route's timeout limits one of a caller's attempts, and the caller's own limit covers them all.
func Bound(longestTimeout time.Duration) time.Duration { return max(2*longestTimeout, minBound) }

// Window returns how far back the versions are to be known where the take-up bound is the given one.
func Window(bound time.Duration) time.Duration { return bound + removalMargin }
