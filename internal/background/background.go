// Package background provides helpers for tasks that run until a context ends.
package background

import (
	"context"
	"errors"
	"io"
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

// CloseWhenDone waits until ctx ends and then closes all servers, so that a group
// of tasks ends as a whole when one of them has failed. It always returns nil; the
// servers have ended already if they were shut down before.
func CloseWhenDone(ctx context.Context, servers ...io.Closer) error {
	<-ctx.Done()
	for _, s := range servers {
		_ = s.Close()
	}
	return nil
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
