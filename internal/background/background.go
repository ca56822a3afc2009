// Package background helps the parts of a process that run until a context
// ends.
package background

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// IgnoreClosed drops the error of an HTTP server that was shut down.
func IgnoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// IgnoreEnd drops the error of a part that ended because ctx did.
func IgnoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Pause waits for d, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
