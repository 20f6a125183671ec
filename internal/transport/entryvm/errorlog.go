package entryvm

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// maxErrorLogBytes is the part of a message of an HTTP server that is logged; the stack of a panic is longer.
const maxErrorLogBytes = 4 << 10

// errorLog passes the messages of an HTTP server on to the logger.
type errorLog struct {
	logger zerolog.Logger
}

// newErrorLog returns the ErrorLog of an HTTP server.
func newErrorLog(logger zerolog.Logger) *log.Logger { return log.New(errorLog{logger: logger}, "", 0) }

// Write logs one message.
func (e errorLog) Write(message []byte) (int, error) {
	shown := bytes.TrimRight(message[:min(len(message), maxErrorLogBytes)], "\n")
	e.logger.Warn().Str("step", "serve-http").Bytes("error", shown).Msg("HTTP server reports an error")
	return len(message), nil
}
