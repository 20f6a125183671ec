package duties

import "github.com/rotisserie/eris"

// ErrRefused is the error of a call that the platform API answered with 409: it has seen a higher number or, for an order
// of spot upstreams, it has none.
var ErrRefused = eris.New("platform API refuses the call")

// ErrBusy is the error of a call that the platform API answered with 429 or 503, or that was not sent because of its
// limit of calls or the back-off.
var ErrBusy = eris.New("platform API is busy")

// ErrRejected is the error of a call that the platform API answered with another status of 300 to 499: it has not executed the
// call and would reject it again.
var ErrRejected = eris.New("platform API rejects the call")

// ErrFailed is the error of a call that the platform API answered with another status: it may have executed the call.
var ErrFailed = eris.New("platform API failed to answer the call as expected")

// ErrNotHolder is the error of a call or a save of a node that does not hold the lease.
var ErrNotHolder = eris.New("this node does not hold the lease of the duties")

// ErrConflict is the error of a conditional append whose partition does not end at the expected offset.
var ErrConflict = eris.New("partition does not end at the expected offset")
