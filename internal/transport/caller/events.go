package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// maxEventBytes is the maximum length of a line in an upstream's stream.
const maxEventBytes = 256 << 10

// eventKind distinguishes the events of a stream.
type eventKind int

const (
	eventData eventKind = iota
	eventHeartbeat
	eventEnd
	eventError
)

// streamEvent is one event of an engine's stream; answer and data are set for eventData only.
type streamEvent struct {
	kind   eventKind
	answer wire.ChatAnswer
	data   []byte
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// readEvents parses server-sent events until the stream ends or ctx is done. A stream that breaks off, or has invalid
// data or a line longer than maxEventBytes, ends with an eventError. The channel is not closed.
func readEvents(ctx context.Context, body io.Reader) <-chan streamEvent {
	const bufferedEvents = 16
	events := make(chan streamEvent, bufferedEvents)
	go func() {
		scanner := bufio.NewScanner(body)
		scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
		for scanner.Scan() {
			event, ok := parseEvent(scanner.Bytes())
			if !ok {
				continue
			}
			if !sendEvent(ctx, events, event) || event.kind != eventData && event.kind != eventHeartbeat {
				return
			}
		}
		sendEvent(ctx, events, streamEvent{kind: eventError})
	}()
	return events
}

// sendEvent sends an event and reports whether it did so before ctx was done.
func sendEvent(ctx context.Context, events chan<- streamEvent, event streamEvent) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// parseEvent parses one line of a stream; ok is false for a line to be ignored. A comment line is a heartbeat.
func parseEvent(line []byte) (streamEvent, bool) {
	switch {
	case len(line) == 0:
		return streamEvent{}, false
	case line[0] == ':':
		return streamEvent{kind: eventHeartbeat}, true
	case !bytes.HasPrefix(line, dataPrefix):
		return streamEvent{}, false
	}
	data := bytes.Clone(line[len(dataPrefix):])
	if bytes.Equal(data, doneMarker) {
		return streamEvent{kind: eventEnd}, true
	}
	var answer wire.ChatAnswer
	if json.Unmarshal(data, &answer) != nil {
		return streamEvent{kind: eventError}, true
	}
	return streamEvent{
		kind:   eventData,
		answer: answer,
		data:   data,
	}, true
}

// streamWriter writes server-sent events to the caller and flushes each one.
type streamWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	requestID    string
	writeTimeout time.Duration
	started      bool
}

func newStreamWriter(w http.ResponseWriter, requestID string, writeTimeout time.Duration) *streamWriter {
	return &streamWriter{
		w:            w,
		controller:   http.NewResponseController(w),
		requestID:    requestID,
		writeTimeout: writeTimeout,
	}
}

// writeEvent writes one event, preceded by the response header if it is the first.
func (sw *streamWriter) writeEvent(data []byte) error {
	if !sw.started {
		sw.started = true
		sw.w.Header().Set("Content-Type", "text/event-stream")
		sw.w.Header().Set("Cache-Control", "no-store")
		sw.w.Header().Set(HeaderRequestID, sw.requestID)
		sw.w.Header().Set("Trailer", HeaderOutcome)
		sw.w.WriteHeader(http.StatusOK)
	}
	sw.extendDeadline()
	event := make([]byte, 0, len(data)+8)
	event = append(event, dataPrefix...)
	event = append(event, data...)
	event = append(event, '\n', '\n')
	if _, err := sw.w.Write(event); err != nil {
		return err
	}
	return sw.controller.Flush()
}

// extendDeadline begins a new write timeout. Without one, a caller that stops reading would hold its permit forever.
func (sw *streamWriter) extendDeadline() {
	_ = sw.controller.SetWriteDeadline(time.Now().Add(sw.writeTimeout))
}

// finish ends the stream with its outcome, as a comment line and as a trailer. Only a complete answer ends with
// doneMarker; any other ends with an error event.
func (sw *streamWriter) finish(result outcome.Outcome, message string) {
	if result == outcome.Completed {
		_ = sw.writeEvent(doneMarker)
	} else {
		detail, _ := json.Marshal(wire.ErrorAnswer{
			Error: wire.ErrorDetail{
				Message: message,
				Type:    string(result),
			},
			RequestID: sw.requestID,
			Outcome:   string(result),
		})
		_ = sw.writeEvent(detail)
	}
	sw.extendDeadline()
	_, _ = io.WriteString(sw.w, ": outcome="+string(result)+"\n\n")
	sw.w.Header().Set(HeaderOutcome, string(result))
	_ = sw.controller.Flush()
}
