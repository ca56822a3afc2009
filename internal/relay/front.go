package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes bounds a body where no configuration does.
	defaultBodyBytes = 4 << 20
)

// CallerHandler takes requests of callers.
func (r *Relay) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		if r.Leaving() {
			w.Header().Set("Connection", "close")
		}
		req, refusal := r.accept(w, hr)
		out := NewWriter(w)
		if refusal == nil {
			refusal = r.Handle(hr.Context(), req, out)
		} else {
			r.refusedEarly(hr, refusal)
		}
		if refusal == nil {
			return
		}
		if out.Started() {
			// The caller must see that the answer is cut.
			panic(http.ErrAbortHandler)
		}
		writeRefusal(w, refusal)
	})
}

// accept reads a caller's request.
func (r *Relay) accept(w http.ResponseWriter, hr *http.Request) (*Request, *verdict.Refusal) {
	now := r.Now()
	if r.Refusing() {
		return nil, verdict.Busy(verdict.CodeShuttingDown, "this VM is shutting down", retryAfterFailure)
	}
	req, err := r.Protocol.Accept(hr, now)
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, err.Error())
	}
	var limits ingress.Limits
	if table := r.Table(); table != nil {
		limits = table.Limits
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = defaultBodyBytes
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(hr.Header) > limits.MaxHeaderBytes {
		return nil, verdict.Refuse(http.StatusRequestHeaderFieldsTooLarge, verdict.CodeTooLarge, "the header is too large")
	}
	control := http.NewResponseController(w)
	// Deadlines can be set on every connection of net/http's server.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	req.Body, err = io.ReadAll(http.MaxBytesReader(w, hr.Body, limits.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, "the body is too large")
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the body could not be read: "+err.Error())
	}
	return req, nil
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// refusedEarly writes the line for a request that was refused before it was
// read.
func (r *Relay) refusedEarly(hr *http.Request, refusal *verdict.Refusal) {
	r.Metrics.scope.Tagged(map[string]string{"result": refusal.Verdict.String(), "code": string(refusal.Code)}).Counter("ended").Inc(1)
	r.Log.Warn("request refused", "remote", hr.RemoteAddr, "host", hr.Host, "code", refusal.Code, "detail", refusal.Detail)
}

// writeRefusal answers a request without an answer of a backend server.
func writeRefusal(w http.ResponseWriter, refusal *verdict.Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := refusal.Detail + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	_, _ = io.WriteString(w, body) // the caller may be gone
}
