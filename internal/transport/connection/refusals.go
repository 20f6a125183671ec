package connection

import (
	"hash/maphash"
	"slices"
)

// maxRefusals is the number of refused requests that a connection is kept for; they take half a kilobyte.
const maxRefusals = 64

// refusals holds the digests of the requests that were refused on a connection. A faulty upstream may send an earlier refusal
// once more, which would be taken for the answer to the same request if that came again.
type refusals struct {
	digests []uint64
}

var refusalSeed = maphash.MakeSeed()

func (r *refusals) add(requestID string) {
	r.digests = append(r.digests, maphash.String(refusalSeed, requestID))
}

func (r *refusals) has(requestID string) bool {
	return len(r.digests) > 0 && slices.Contains(r.digests, maphash.String(refusalSeed, requestID))
}

func (r *refusals) full() bool { return len(r.digests) >= maxRefusals }
