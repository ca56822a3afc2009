package logging

import (
	"bytes"
	"context"
	"log"
	"log/slog"
)

// panicMessage is part of the message of an HTTP/1 or HTTP/2 server about a handler that
// panicked.
var panicMessage = []byte(": panic serving ")

// NewServerLog returns a logger for the messages of HTTP servers. Panics of handlers are
// logged at error level; all else is about peers that disconnected, and is logged at debug
// level.
func NewServerLog(l *slog.Logger) *log.Logger { return log.New(serverLog{l}, "", 0) }

// serverLog is the writer of a logger for an HTTP server's messages.
type serverLog struct{ log *slog.Logger }

// Write implements io.Writer. Each call is one message.
func (s serverLog) Write(p []byte) (int, error) {
	level := slog.LevelDebug
	if bytes.Contains(p, panicMessage) {
		level = slog.LevelError
	}
	s.log.Log(context.Background(), level, string(bytes.TrimSuffix(p, []byte("\n"))))
	return len(p), nil
}
