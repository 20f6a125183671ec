package httpapi

import (
	"fmt"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
)

// bridge writes go-zero's own log lines through zerolog.
type bridge struct {
	logger zerolog.Logger
}

func (b bridge) write(event *zerolog.Event, v any, fields []logx.LogField) {
	for _, field := range fields {
		event = event.Interface(field.Key, field.Value)
	}
	event.Str("source", "go-zero").Msg(fmt.Sprint(v))
}

// Alert writes an error line.
func (b bridge) Alert(v any) { b.write(b.logger.Error(), v, nil) }

// Close does nothing.
func (bridge) Close() error { return nil }

// Debug writes a debug line.
func (b bridge) Debug(v any, fields ...logx.LogField) { b.write(b.logger.Debug(), v, fields) }

// Error writes an error line.
func (b bridge) Error(v any, fields ...logx.LogField) { b.write(b.logger.Error(), v, fields) }

// Info writes a debug line, as go-zero's information is of no use to operators.
func (b bridge) Info(v any, fields ...logx.LogField) { b.write(b.logger.Debug(), v, fields) }

// Severe writes an error line.
func (b bridge) Severe(v any) { b.write(b.logger.Error(), v, nil) }

// Slow writes a warning line.
func (b bridge) Slow(v any, fields ...logx.LogField) { b.write(b.logger.Warn(), v, fields) }

// Stack writes an error line.
func (b bridge) Stack(v any) { b.write(b.logger.Error(), v, nil) }

// Stat writes a debug line.
func (b bridge) Stat(v any, fields ...logx.LogField) { b.write(b.logger.Debug(), v, fields) }
