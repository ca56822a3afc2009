package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Verdict says whether a request may have run.
type Verdict string

// The verdicts.
const (
	// Ran means that the request ran.
	Ran Verdict = "ran"
	// NotRun means that the request did not run and never will.
	NotRun Verdict = "not-run"
	// MayHaveRun means that nobody can tell.
	MayHaveRun Verdict = "may-have-run"
)

// ErrNoEntry says that no entry VM answered.
var ErrNoEntry = errors.New("client: no entry VM answered")

// Error is a request that ended without a whole answer.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code names the reason, for example "overloaded". It is "transport" if
	// the connection failed.
	Code string
	// Status is the HTTP status, or zero if there was no answer.
	Status int
	Detail string
	// Key is the idempotency key of a booking, for asking again later.
	Key string
	// RetryAfter is when a later try is useful; zero means that none is.
	RetryAfter time.Duration
	// Final means that asking again for the outcome of a booking is useless.
	Final bool
	// Entries are addresses of entry VMs that may serve the request.
	Entries []string
	// Err is the error of the transport, if there was one.
	Err error
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("client: %s: %s (%s)", e.Code, e.Detail, e.Verdict)
}

// Unwrap returns the error of the transport.
func (e *Error) Unwrap() error { return e.Err }

// The codes that this package acts on.
const (
	codeTransport  = "transport"
	codeKeyUnknown = "key-unknown"
)

// problem is the body of a refusal, as in RFC 9457.
type problem struct {
	Status  int      `json:"status"`
	Detail  string   `json:"detail"`
	Code    string   `json:"code"`
	Verdict Verdict  `json:"verdict"`
	Final   bool     `json:"final"`
	Entries []string `json:"entries"`
}

// transportError returns the error for a failed connection. Whether the
// request ran is unknown.
func transportError(err error) *Error {
	return &Error{Verdict: MayHaveRun, Code: codeTransport, Detail: "the connection failed", Err: err}
}

// problemError reads a refusal.
func problemError(body []byte, header http.Header) *Error {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		return &Error{Verdict: MayHaveRun, Code: codeTransport, Detail: "the refusal can't be read", Err: err}
	}
	result := &Error{
		Verdict: p.Verdict, Code: p.Code, Status: p.Status, Detail: p.Detail,
		Final: p.Final, Entries: p.Entries, RetryAfter: retryAfter(header),
	}
	if result.Verdict != NotRun && result.Verdict != Ran {
		result.Verdict = MayHaveRun
	}
	return result
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
