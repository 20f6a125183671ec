package gateway

import (
	"net/http"
	"time"

	"lagoongw/internal/state/prompt"
)

// Call is a caller's request as the codec read it.
type Call struct {
	// ID names the request; a caller's retry is another request.
	ID string
	// Key is the caller's API key, empty for none.
	Key string
	// Timeout is how long the caller waits, zero where it does not say.
	Timeout time.Duration
	// Prompt describes work for a model engine; it is empty for a plain service.
	Prompt prompt.Prompt
	// ResumeAfter is the ID of the last event that the caller has, empty for none.
	ResumeAfter string
	// Header is what is passed on to the upstream as it came.
	Header http.Header
}

// SendParams is what one send tells the upstream besides the caller's headers.
type SendParams struct {
	// Upstream is the name of the upstream that is meant; any other refuses.
	Upstream string
	Team     string
	// TimeLeft is the time after which nobody waits for the answer.
	TimeLeft time.Duration
	// PriorityLevel is the rank of the request, 0 first; Engine tells whether the upstream schedules by it.
	PriorityLevel int
	Engine        bool
	// ResumeAfter is the ID of the last event that was relayed, empty for none.
	ResumeAfter string
}

// Reply is what the head of an upstream's answer says.
type Reply struct {
	// ID is the request that the answer belongs to, empty where it does not say.
	ID string
	// NotRun: the upstream has not run the request and never will.
	NotRun bool
	// IdleTimeout is how long the upstream keeps an idle connection, zero where it does not say.
	IdleTimeout time.Duration
}

// Codec translates between HTTP messages and what the gateway works with.
type Codec interface {
	// Decode reads a caller's request; the error says what is wrong with it.
	Decode(r *http.Request) (Call, error)
	// Encode returns the headers of one send.
	Encode(call *Call, send SendParams) http.Header
	// DecodeReply reads the head of an upstream's answer.
	DecodeReply(r *http.Response) Reply
}
