// Package logging creates the loggers of the programs. They write one line of
// key=value pairs for each record.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes records at the level or above to w.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortenErrors}))
}

// shortenErrors replaces errors by their Error text, without the stack traces
// that errorx adds in its %+v format.
func shortenErrors(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		return slog.String(attr.Key, err.Error())
	}
	return attr
}
