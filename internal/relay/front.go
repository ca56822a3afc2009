package relay

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/answer"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// bodyTimeout bounds how long a caller may take to send the request body, unless
	// Config.BodyTimeout does.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes bounds the request body if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// writeMargin is how long after a request's deadline its response may be written.
	writeMargin = 500 * time.Millisecond
)

// CallerHandler returns the HTTP handler for requests of callers.
func (r *Relay) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		memory := r.bodyAccount(w)
		defer memory.Close()
		out := NewWriter(w)
		out.beforeHeader = r.closeIfLeaving
		id := ""
		defer r.refuseAfterPanic(out, &id)
		req, refusal := r.readRequest(w, hr, memory)
		if req != nil {
			id = req.ID
		}
		if refusal == nil {
			refusal = r.Handle(hr.Context(), req, out)
		} else {
			r.recordEarlyRefusal(hr, id, refusal)
		}
		if refusal != nil {
			if out.Started() {
				// Abort the connection, so that the caller detects the incomplete
				// response.
				panic(http.ErrAbortHandler)
			}
			r.closeIfLeaving(w.Header())
			writeRefusal(w, refusal)
			if refusal.Code == verdict.CodeCancelled {
				return // there is nobody to receive it
			}
		}
		r.finish(out, id)
	})
}

// closeIfLeaving adds the header by which a VM that shuts down asks its callers to use other
// connections, also in responses to requests that came before.
func (r *Relay) closeIfLeaving(h http.Header) {
	if r.Leaving() {
		h.Set("Connection", "close")
	}
}

// readRequest reads a caller's request and enforces the size limits. A request that is
// refused is nil if its header can't be read. The body is held by the account.
func (r *Relay) readRequest(w http.ResponseWriter, hr *http.Request, memory *membudget.Account) (*Request, *verdict.Refusal) {
	now := r.Now()
	req, err := r.Protocol.Accept(hr, now)
	if err != nil {
		r.boundTransfer(w, now, 0)
		closeAfterUnreadBody(w, hr)
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, err.Error())
	}
	table := r.Table()
	r.boundTransfer(w, now, latestEnd(req, table, now))
	if r.Refusing() {
		closeAfterUnreadBody(w, hr)
		return req, verdict.Busy(verdict.CodeShuttingDown, "this VM is shutting down", retryAfterFailure)
	}
	var limits ingress.Limits
	if table != nil {
		limits = table.Limits
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = defaultMaxBodyBytes
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(hr.Header) > limits.MaxHeaderBytes {
		closeAfterUnreadBody(w, hr)
		return req, verdict.Refuse(http.StatusRequestHeaderFieldsTooLarge, verdict.CodeTooLarge, "the header is too large")
	}
	req.Body, err = readBody(w, hr, limits.MaxBodyBytes, memory)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, membudget.ErrNoMemory):
		w.Header().Set("Connection", "close")
		return req, verdict.Busy(verdict.CodeOverloaded, err.Error(), jitter(retryAfterFailure))
	case errors.As(err, &large):
		return req, verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		refusal := verdict.Busy(verdict.CodeDeadline, "the body did not arrive in time", 0)
		refusal.Status = http.StatusRequestTimeout
		return req, refusal
	case err != nil:
		w.Header().Set("Connection", "close")
		return req, verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the body could not be read: "+err.Error())
	}
	return req, refuseIfCallerLeft(hr)
}

// refuseIfCallerLeft returns the refusal of a request whose caller, or the VM that sent it, has
// left already, or nil. A VM that stood still has such requests, which may run elsewhere.
func refuseIfCallerLeft(hr *http.Request) *verdict.Refusal {
	if !drain.CallerLeft(hr.Context()) {
		return nil
	}
	return verdict.Busy(verdict.CodeCancelled, "the caller has left", 0)
}

// latestEnd returns the deadline of a request or, if it states none, the end of its route's
// timeout; zero if there is no route.
func latestEnd(req *Request, table *ingress.Table, now clock.Instant) clock.Instant {
	if req.Deadline != 0 || table == nil {
		return req.Deadline
	}
	if route := table.Match(req.Host, req.Path); route != nil {
		return now.Add(timeoutOf(route))
	}
	return 0
}

// boundTransfer bounds how long the peer may take to send the body of a request and to
// read its response, by the request's deadline; zero means that it has none.
func (r *Relay) boundTransfer(w http.ResponseWriter, now, deadline clock.Instant) {
	read, write := cmp.Or(r.BodyTimeout, bodyTimeout), defaultTimeout
	if deadline != 0 {
		write = max(0, deadline.Sub(now))
		read = min(read, write)
	}
	control := http.NewResponseController(w)
	// Every connection of a net/http server supports deadlines, so the errors
	// are ignored.
	_ = control.SetReadDeadline(time.Now().Add(read))
	_ = control.SetWriteDeadline(time.Now().Add(write + writeMargin))
}

// bodyAccount returns the account of the body of a request. If the body stalls while others
// need the memory, its read fails.
func (r *Relay) bodyAccount(w http.ResponseWriter) *membudget.Account {
	return r.Memory.Evictable(answer.InterruptBody(w))
}

// readBody reads the body of a request within the bounds of boundTransfer. The error is a
// *http.MaxBytesError if it is too large, at once if it says so, or membudget.ErrNoMemory.
func readBody(w http.ResponseWriter, hr *http.Request, maxBytes int64, memory *membudget.Account) (membudget.Segments, error) {
	if hr.ContentLength > maxBytes {
		closeAfterUnreadBody(w, hr)
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	body, err := memory.ReadAll(http.MaxBytesReader(w, hr.Body, maxBytes), hr.ContentLength)
	if err == nil {
		// The connection is read on for as long as the request lasts, to learn whether the
		// peer disconnects.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return body, err
}

// closeAfterUnreadBody has the connection closed after the response to a request whose
// body is not read. Otherwise the HTTP server would wait for it before it responds.
func closeAfterUnreadBody(w http.ResponseWriter, hr *http.Request) {
	if hr.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}

// headerBytes returns the size of the header in its HTTP/1.1 form.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// recordEarlyRefusal counts and logs a request that was refused before it was
// read completely.
func (r *Relay) recordEarlyRefusal(hr *http.Request, id string, refusal *verdict.Refusal) {
	r.Metrics.scope.Tagged(map[string]string{"result": refusal.Verdict.String(), "code": string(refusal.Code)}).Counter("ended").Inc(1)
	r.Log.Warn("request refused", "request", id, "remote", hr.RemoteAddr, "host", hr.Host, "code", refusal.Code, "detail", refusal.Detail)
}

// writeRefusal writes the refusal as the response to the caller.
func writeRefusal(w http.ResponseWriter, refusal *verdict.Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	body := refusal.Detail + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	_, _ = io.WriteString(w, body) // the caller may have disconnected
}
