package httpapi

import (
	"fmt"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
)

// logxWriter writes go-zero's log lines to zerolog; it implements logx.Writer.
type logxWriter struct {
	logger zerolog.Logger
}

func (w logxWriter) write(event *zerolog.Event, v any, fields []logx.LogField) {
	for _, field := range fields {
		event = event.Interface(field.Key, field.Value)
	}
	event.Str("source", "go-zero").Msg(fmt.Sprint(v))
}

// Alert writes an error line.
func (w logxWriter) Alert(v any) { w.write(w.logger.Error(), v, nil) }

// Close does nothing.
func (logxWriter) Close() error { return nil }

// Debug writes a debug line.
func (w logxWriter) Debug(v any, fields ...logx.LogField) { w.write(w.logger.Debug(), v, fields) }

// Error writes an error line.
func (w logxWriter) Error(v any, fields ...logx.LogField) { w.write(w.logger.Error(), v, fields) }

// Info writes a debug line, since go-zero's info lines are of no use to operators.
func (w logxWriter) Info(v any, fields ...logx.LogField) { w.write(w.logger.Debug(), v, fields) }

// Severe writes an error line.
func (w logxWriter) Severe(v any) { w.write(w.logger.Error(), v, nil) }

// Slow writes a warning line.
func (w logxWriter) Slow(v any, fields ...logx.LogField) { w.write(w.logger.Warn(), v, fields) }

// Stack writes an error line.
func (w logxWriter) Stack(v any) { w.write(w.logger.Error(), v, nil) }

// Stat writes a debug line.
func (w logxWriter) Stat(v any, fields ...logx.LogField) { w.write(w.logger.Debug(), v, fields) }
