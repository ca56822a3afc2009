// Package httpapi serves the callers' and the operators' ports.
package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/chestnutspring/chestnutspring/internal/answer"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// maxRequestIDBytes is the maximum size of a caller's request ID.
const maxRequestIDBytes = 128

// CallersConfig configures the callers' port.
type CallersConfig struct {
	Publisher *snapshot.Publisher
	Now       clock.Clock
	// Handler handles requests to models and services.
	Handler pipeline.Handler
	// Lookup handles requests for the outcome of an idempotency key.
	Lookup pipeline.Handler
	// CorrectRefusal corrects the verdict of a refusal for a request that didn't
	// reach Handler or Lookup.
	CorrectRefusal func(*pipeline.Request, *verdict.Refusal) *verdict.Refusal
	// KeyPrefix returns the current prefix of idempotency keys.
	KeyPrefix func() string
}

// callers implements the callers' port.
type callers struct {
	CallersConfig
}

// NewCallers returns the handler of the callers' port.
func NewCallers(config CallersConfig) http.Handler {
	c := &callers{CallersConfig: config}
	r := chi.NewRouter()
	r.Use(c.addResponseHeaders)
	r.Get(wire.PathEntries, c.serveEntries)
	r.Post(wire.PathChatCompletions, c.serveRequest(config.Handler))
	r.Handle(wire.PathServices+"*", c.serveRequest(config.Handler))
	r.Get(wire.PathBookings+"*", c.serveRequest(config.Lookup))
	return r
}

// addResponseHeaders adds the key prefix to each response. While this VM is
// leaving, it also asks callers to close the connection.
func (c *callers) addResponseHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderKeyPrefix, c.KeyPrefix())
		if c.Publisher.Load().Leaving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveRequest returns an HTTP handler that passes requests to the pipeline.
func (c *callers) serveRequest(handler pipeline.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, refusal := c.parseRequest(w, r)
		out := answer.NewWriter(w, req)
		if refusal == nil {
			refusal = handler.Handle(r.Context(), req, out)
		} else {
			refusal = c.CorrectRefusal(req, refusal)
		}
		if refusal != nil {
			if req.RawBody != nil && r.ContentLength != 0 {
				// Otherwise the HTTP server would wait for the unread body before it responds.
				w.Header().Set("Connection", "close")
			}
			answer.Refuse(out, refusal)
		}
	}
}

// parseRequest converts an HTTP request to a pipeline request. The request is
// valid, but without a deadline, if a refusal is returned.
func (c *callers) parseRequest(w http.ResponseWriter, r *http.Request) (*pipeline.Request, *verdict.Refusal) {
	req := &pipeline.Request{
		ID:            uuid.NewString(),
		CallerID:      callerID(r),
		Snapshot:      c.Publisher.Load(),
		Hop:           pipeline.HopEntry,
		Team:          r.Header.Get(wire.HeaderTeam),
		Method:        r.Method,
		Path:          r.URL.RequestURI(),
		Header:        r.Header,
		RawBody:       http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes),
		BodyBytes:     r.ContentLength,
		InterruptBody: answer.InterruptBody(w),
		Priority:      pipeline.ParsePriority(r.Header.Get(wire.HeaderPriority)),
		Key:           r.Header.Get(wire.HeaderIdempotencyKey),
	}
	timeout, ok := parseTimeout(r.Header.Get(wire.HeaderTimeout))
	if !ok {
		return req, verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the header "+wire.HeaderTimeout+" is not a number of milliseconds above 0")
	}
	if r.ContentLength > wire.MaxBodyBytes {
		return req, verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, "the body is larger than 1 MiB")
	}
	req.Deadline = c.Now().Add(timeout)
	return req, nil
}

// parseTimeout parses a timeout in milliseconds, capped at wire.MaxTimeout. It
// reports false if the value is invalid.
func parseTimeout(value string) (time.Duration, bool) {
	if value == "" {
		return wire.DefaultTimeout, true
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, false
	}
	return time.Duration(min(milliseconds, wire.MaxTimeout.Milliseconds())) * time.Millisecond, true
}

// callerID returns the caller's request ID, or "" if it is missing or too long.
func callerID(r *http.Request) string {
	id := r.Header.Get(wire.HeaderRequestID)
	if len(id) > maxRequestIDBytes {
		return ""
	}
	return id
}
