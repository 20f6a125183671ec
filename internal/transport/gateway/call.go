package gateway

import (
	"net/http"
	"time"

	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/state/prompt"
)

// Call is a caller's request as the codec decoded it.
type Call struct {
	// ID identifies the request. The gateway doesn't recognize a caller's retry: it is another request, whatever its ID.
	ID string
	// Key is the caller's API key, empty for none.
	Key string
	// Timeout is how long the caller waits for the answer, 0 if it does not say.
	Timeout time.Duration
	// Prompt describes the prompt for a model engine; it is empty for a plain service.
	Prompt prompt.Prompt
	// ResumeAfter is the ID of the last event that the caller has received, empty for none.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of the stream which this one takes up, empty for none.
	Resumes string
	// Header holds the caller's headers that are sent to the upstream unchanged.
	Header http.Header
}

// SendParams is what one send tells the upstream in addition to the caller's headers.
type SendParams struct {
	// Upstream is the name of the intended upstream; any other refuses the request.
	Upstream string
	// Team is the name of the caller's team, empty for none.
	Team string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// PriorityLevel is the priority level of the request, 0 for the most urgent.
	PriorityLevel int
	// Engine reports whether the upstream is a model engine, which schedules by the priority level.
	Engine bool
	// ResumeAfter is the ID of the last event that the caller has received, empty for none.
	ResumeAfter string
	// Weights is the version of the weights that an upstream must have to run the request, empty for any.
	Weights string
}

// Reply is what the header of an upstream's answer says.
type Reply struct {
	// ID is the ID of the request that the answer belongs to, empty if the answer does not say.
	ID string
	// NotRun reports that the upstream has not run the request and never will.
	NotRun bool
	// IdleTimeout is how long the upstream keeps an idle connection open, 0 if it does not say.
	IdleTimeout time.Duration
	// Instance is the name of the upstream that answered, empty if the answer does not say.
	Instance string
	// Leaving reports that the upstream is leaving and must be sent no new requests.
	Leaving bool
	// RetryAfter is how long the upstream asks to be sent no requests, 0 if it does not ask.
	RetryAfter time.Duration
	// Limit is how many requests a second the upstream takes from all nodes together, 0 if it names no limit.
	Limit float64
	// Brittle is how many requests a second the upstream may turn away for want of room without falling over, 0 for any number.
	Brittle float64
	// Load is the load that the upstream tells, without a time; its Slots are 0 if it tells none.
	Load ratelimit.ServerLoad
	// Weights is the version of the weights that the upstream runs the request with, empty if it does not say.
	Weights string
}

// Codec translates between HTTP messages and the types of this package.
type Codec interface {
	// Decode reads a caller's request; the error is sent to the caller with status 400.
	Decode(r *http.Request) (Call, error)
	// Encode returns the headers of one send to an upstream.
	Encode(call *Call, send SendParams) http.Header
	// DecodeReply reads the header of an upstream's answer.
	DecodeReply(r *http.Response) Reply
	// DecodeWeights returns the version of the weights from the last of the events on that name a change of it, empty if none does.
	DecodeWeights(events []byte) string
}
