package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Verdict tells whether a request was executed.
type Verdict string

const (
	// Ran means that the request was executed.
	Ran Verdict = "ran"
	// NotRun means that the request was not executed and never will be.
	NotRun Verdict = "not-run"
	// MayHaveRun means that it is unknown whether the request was executed.
	MayHaveRun Verdict = "may-have-run"
)

// ErrNoEntry is returned if no entry VM could be reached or none returned a usable
// entry list.
var ErrNoEntry = errors.New("client: no entry VM answered")

// Error describes a request that ended without a complete response.
type Error struct {
	// Verdict tells whether the request may have been executed.
	Verdict Verdict
	// Code identifies the reason, for example "overloaded". It is "transport" if
	// the connection failed.
	Code string
	// Status is the HTTP status, or zero if there was no response.
	Status int
	// Detail describes the reason in words.
	Detail string
	// Key is the idempotency key of a booking, for a later call of Outcome.
	Key string
	// RetryAfter is the delay after which a retry is useful; zero means never.
	RetryAfter time.Duration
	// Final means that the outcome of a booking will not become known later.
	Final bool
	// Entries are addresses of entry VMs that may serve the request.
	Entries []string
	// Err is the underlying transport or decoding error, if any.
	Err error
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("client: %s: %s (%s)", e.Code, e.Detail, e.Verdict)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Error codes that this package handles specially.
const (
	codeTransport  = "transport"
	codeKeyUnknown = "key-unknown"
)

// problem is the body of a refusal: problem details according to RFC 9457.
type problem struct {
	Status  int      `json:"status"`
	Detail  string   `json:"detail"`
	Code    string   `json:"code"`
	Verdict Verdict  `json:"verdict"`
	Final   bool     `json:"final"`
	Entries []string `json:"entries"`
}

// transportError returns the error for a failed connection. It is unknown
// whether the request was executed.
func transportError(err error) *Error {
	return &Error{Verdict: MayHaveRun, Code: codeTransport, Detail: "the connection failed", Err: err}
}

// problemError decodes a refusal. An unknown verdict counts as MayHaveRun.
func problemError(body []byte, header http.Header) *Error {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		return &Error{Verdict: MayHaveRun, Code: codeTransport, Detail: "malformed refusal", Err: err}
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
