// Package background provides helpers for tasks that run until a context ends.
package background

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// IgnoreClosed returns nil if err is http.ErrServerClosed, the result of an HTTP
// server that was shut down, and err otherwise.
func IgnoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// IgnoreErrorAfterDone returns nil if ctx has ended, since a task then stops with
// an error by design, and err otherwise.
func IgnoreErrorAfterDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
