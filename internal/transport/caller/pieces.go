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

const maxPieceBytes = 256 << 10

type pieceKind int

const (
	pieceData pieceKind = iota
	pieceHeartbeat
	pieceEnd
	pieceError
)

// piece is one event of an engine's stream.
type piece struct {
	kind   pieceKind
	answer wire.ChatAnswer
	data   []byte
}

var (
	dataPrefix = []byte("data: ")
	endMark    = []byte("[DONE]")
)

// readPieces parses server-sent events until the stream ends or the context does.
func readPieces(ctx context.Context, body io.Reader) <-chan piece {
	const ahead = 16
	pieces := make(chan piece, ahead)
	go func() {
		scanner := bufio.NewScanner(body)
		scanner.Buffer(make([]byte, 0, 4<<10), maxPieceBytes)
		for scanner.Scan() {
			p, ok := parsePiece(scanner.Bytes())
			if !ok {
				continue
			}
			if !sendPiece(ctx, pieces, p) || p.kind != pieceData && p.kind != pieceHeartbeat {
				return
			}
		}
		sendPiece(ctx, pieces, piece{kind: pieceError})
	}()
	return pieces
}

func sendPiece(ctx context.Context, pieces chan<- piece, p piece) bool {
	select {
	case pieces <- p:
		return true
	case <-ctx.Done():
		return false
	}
}

func parsePiece(line []byte) (piece, bool) {
	switch {
	case len(line) == 0:
		return piece{}, false
	case line[0] == ':':
		return piece{kind: pieceHeartbeat}, true
	case !bytes.HasPrefix(line, dataPrefix):
		return piece{}, false
	}
	data := bytes.Clone(line[len(dataPrefix):])
	if bytes.Equal(data, endMark) {
		return piece{kind: pieceEnd}, true
	}
	var answer wire.ChatAnswer
	if json.Unmarshal(data, &answer) != nil {
		return piece{kind: pieceError}, true
	}
	return piece{
		kind:   pieceData,
		answer: answer,
		data:   data,
	}, true
}

// streamWriter writes server-sent events to the caller and flushes each of them.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	silence time.Duration
	started bool
}

func newStreamWriter(w http.ResponseWriter, id string, silence time.Duration) *streamWriter {
	return &streamWriter{
		w:       w,
		control: http.NewResponseController(w),
		id:      id,
		silence: silence,
	}
}

func (o *streamWriter) write(data []byte) error {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.Header().Set(HeaderRequestID, o.id)
		o.w.Header().Set("Trailer", HeaderOutcome)
		o.w.WriteHeader(http.StatusOK)
	}
	// A caller that has gone silent must not hold its place for ever.
	_ = o.control.SetWriteDeadline(time.Now().Add(o.silence))
	event := make([]byte, 0, len(data)+8)
	event = append(event, dataPrefix...)
	event = append(event, data...)
	event = append(event, '\n', '\n')
	if _, err := o.w.Write(event); err != nil {
		return err
	}
	return o.control.Flush()
}

// finish ends the stream with its outcome, as a comment line and as a trailer; only a whole answer gets the end mark.
func (o *streamWriter) finish(result outcome.Outcome, message string) {
	if result == outcome.Completed {
		_ = o.write(endMark)
	} else {
		detail, _ := json.Marshal(wire.ErrorAnswer{
			Error: wire.ErrorDetail{
				Message: message,
				Type:    string(result),
			},
			RequestID: o.id,
			Outcome:   string(result),
		})
		_ = o.write(detail)
	}
	_, _ = io.WriteString(o.w, ": outcome="+string(result)+"\n\n")
	o.w.Header().Set(HeaderOutcome, string(result))
	_ = o.control.Flush()
}
