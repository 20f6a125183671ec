package gateway

import (
	"errors"
	"mime"
	"net/http"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/attempt"
)

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

var (
	errNoContinuation = errors.New("answer doesn't go on with the stream that was begun")
	errNoFurtherEvent = errors.New("answer to a resumed stream has no event")
)

// refuseContinuation returns a result and an error if a stream was begun and the answer can't be the rest of it: nothing of it may
// reach the caller then.
func (x *exchange) refuseContinuation(s *upstreamSend) (attempt.Result, error) {
	err := x.checkContinuation(s.response.Response)
	if err == nil {
		return attempt.Answered, nil
	}
	if status := s.response.StatusCode; status == http.StatusOK || status >= http.StatusInternalServerError {
		return x.failStream(s, err)
	}
	s.response.Discard()
	return attempt.Lost, err
}

// checkContinuation returns an error unless the head of an answer is that of the rest of a begun stream: of success, and, as far as it
// says, of events in the encoding of those before.
func (x *exchange) checkContinuation(r *http.Response) error {
	if r.StatusCode != http.StatusOK {
		return eris.Wrapf(errNoContinuation, "status %d", r.StatusCode)
	}
	begun := x.progress.head
	if kind := mediaType(r.Header); kind != "" && kind != eventStreamType && kind != mediaType(begun) {
		return eris.Wrapf(errNoContinuation, "type %s", kind)
	}
	if encoding := r.Header.Get("Content-Encoding"); encoding != begun.Get("Content-Encoding") {
		return eris.Wrapf(errNoContinuation, "encoding %q", encoding)
	}
	return nil
}

// mediaType returns the type that a Content-Type states without its parameters, an empty string if there is none, or the whole
// text if that can't be parsed.
func mediaType(header http.Header) string {
	text := header.Get("Content-Type")
	if kind, _, err := mime.ParseMediaType(text); err == nil {
		return kind
	}
	return text
}

// noteIDs records the IDs of events that are about to be sent to the caller. It returns an error for those that can't follow in a
// stream that was begun by another answer. A stream whose last event has no ID can't go on elsewhere.
func (x *exchange) noteIDs(ids []string, begun bool) error {
	if !begun {
		x.progress.sequence.Add(ids)
	} else if err := x.progress.sequence.Follow(ids); err != nil {
		return err
	}
	x.attempts.Repeatable = x.route.Repeatable() && x.progress.sequence.Resumable()
	return nil
}
