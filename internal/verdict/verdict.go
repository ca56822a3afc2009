// Package verdict defines whether a request may have been executed by a backend
// server, and the refusals that carry this verdict.
//
// Every response of a gateway contains one of the three verdicts. A caller may
// repeat a non-idempotent request only after NotRun.
package verdict

import (
	"fmt"
	"net/http"
	"time"
)

// Verdict states whether a request may have been executed.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request was executed. It
	// is the zero value, so that an unset verdict never guarantees anything.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and never will be.
	NotRun
	// Ran means that the request was executed.
	Ran
)

// String returns the value of the Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the result of Verdict.String. Any other value is MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Code identifies the reason of a refusal. Codes are part of the interface for
// callers, in the "code" member of problem bodies.
type Code string

// The refusal codes.
const (
	CodeBadRequest       Code = "bad-request"
	CodeUnknownTeam      Code = "unknown-team"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeUnknownModel     Code = "unknown-model"
	CodeUnknownService   Code = "unknown-service"
	CodeTooLarge         Code = "too-large"
	CodeWrongRegion      Code = "wrong-region"
	CodeResidency        Code = "residency"
	CodeDeadline         Code = "deadline"
	CodeLoop             Code = "loop"
	CodeLimited          Code = "limited"
	CodeOverloaded       Code = "overloaded"
	CodeNoBackend        Code = "no-backend"
	CodeUnconfirmed      Code = "unconfirmed-configuration"
	CodeBackendFailed    Code = "backend-failed"
	CodeKeyMissing       Code = "key-missing"
	CodeKeyMalformed     Code = "key-malformed"
	CodeKeyExpired       Code = "key-expired"
	CodeKeyClosed        Code = "key-closed"
	CodeKeyMismatch      Code = "key-mismatch"
	CodeKeyUnknown       Code = "key-unknown"
	CodeOwnerUnreachable Code = "owner-unreachable"
	CodeOwnerGone        Code = "owner-gone"
	CodeAnswerNotHeld    Code = "answer-not-held"
	CodeAnswerCut        Code = "answer-cut"
	CodeShuttingDown     Code = "shutting-down"
	CodeCancelled        Code = "cancelled"
	CodeInternal         Code = "internal"
	CodeDuplicateHop     Code = "duplicate-hop"
	CodeRevisionTooOld   Code = "revision-too-old"
	CodeNoConfiguration  Code = "no-configuration"
	CodeQuarantined      Code = "quarantined"
	CodeUnknownStream    Code = "unknown-stream"
)

// Refusal is the error of a request without a complete response. It contains
// whether the request may have been executed and when the caller may retry.
type Refusal struct {
	Verdict Verdict
	Code    Code
	// Status is the HTTP status for the caller.
	Status int
	// Detail is an explanation for the caller, in one sentence.
	Detail string
	// RetryAfter is the time after which a retry is useful. Zero means that
	// retrying the same request is useless.
	RetryAfter time.Duration
	// Final means that later lookups of the same idempotency key can't give more
	// information about the outcome.
	Final bool
	// Entries are the addresses of the entry VMs that may accept the request.
	Entries []string
	// KeyClosed means that the owner of the request's idempotency key has closed
	// it: no attempt with the key can be executed any more.
	KeyClosed bool
}

var _ error = (*Refusal)(nil)

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.Code, r.Detail, r.Verdict)
}

// Refuse returns the Refusal of a request that was not executed.
func Refuse(status int, code Code, detail string) *Refusal {
	return &Refusal{Verdict: NotRun, Code: code, Status: status, Detail: detail}
}

// Busy returns the Refusal of a request that was not executed because the gateway
// can't serve it for now. Its status is 503.
func Busy(code Code, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Verdict: NotRun, Code: code, Status: http.StatusServiceUnavailable,
		Detail: detail, RetryAfter: retryAfter,
	}
}

// Ambiguous returns the Refusal of a request that may have been executed. Its
// status is 502.
func Ambiguous(code Code, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Verdict: MayHaveRun, Code: code, Status: http.StatusBadGateway,
		Detail: detail, RetryAfter: retryAfter,
	}
}
