// Package logging builds the loggers of the programs: one line of key=value
// pairs for each event.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes events at the level or above to w.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortenErrors}))
}

// shortenErrors writes errors without the stack traces that errorx adds to
// their long form.
func shortenErrors(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		return slog.String(attr.Key, err.Error())
	}
	return attr
}
