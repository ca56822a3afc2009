package httpapi

import (
	"io"
	"net/http"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// timedBody is a body that must be sent within a time. The server's own
// ReadTimeout won't do: it goes on after the body was read and would cancel the
// request while its answer is on the way.
type timedBody struct {
	body    io.Reader
	control *http.ResponseController
	timeout time.Duration
	started bool
}

var _ io.Reader = (*timedBody)(nil)

// newTimedBody bounds the size of a request's body and the time for it, which
// starts with the first read.
func newTimedBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) *timedBody {
	return &timedBody{
		body:    http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes),
		control: http.NewResponseController(w),
		timeout: timeout,
	}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		b.setDeadline(time.Now().Add(b.timeout))
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.setDeadline(time.Time{})
	}
	// After any other error the deadline stays, so that the server doesn't
	// wait for the rest of the body before it closes the connection.
	return n, err
}

// setDeadline ignores writers without deadlines, such as those of tests.
func (b *timedBody) setDeadline(t time.Time) { _ = b.control.SetReadDeadline(t) }
