// Package verdict says whether a request may have run at a backend server.
//
// Every answer of a gateway carries one of the three verdicts. A caller may
// repeat a non-idempotent request only after NotRun.
package verdict

import (
	"fmt"
	"net/http"
	"time"
)

// Verdict says whether a request may have run.
type Verdict uint8

const (
	// MayHaveRun means that nobody can tell whether the request ran. It is
	// the zero value, so that a forgotten verdict is never read as a promise.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the form of the verdict used in the Verdict header.
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

// Parse reads the form that String writes. Anything unknown is MayHaveRun.
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

// Code names the reason of a refusal. Codes are part of the interface for
// callers and appear in the "code" member of problem bodies.
type Code string

// The codes of refusals.
const (
	CodeBadRequest        Code = "bad-request"
	CodeUnknownTeam       Code = "unknown-team"
	CodeUnknownModel      Code = "unknown-model"
	CodeUnknownService    Code = "unknown-service"
	CodeTooLarge          Code = "too-large"
	CodeWrongRegion       Code = "wrong-region"
	CodeResidency         Code = "residency"
	CodeDeadline          Code = "deadline"
	CodeLoop              Code = "loop"
	CodeLimited           Code = "limited"
	CodeOverloaded        Code = "overloaded"
	CodeNoBackend         Code = "no-backend"
	CodeUnconfirmed       Code = "unconfirmed-configuration"
	CodeBackendFailed     Code = "backend-failed"
	CodeKeyMissing        Code = "key-missing"
	CodeKeyMalformed      Code = "key-malformed"
	CodeKeyExpired        Code = "key-expired"
	CodeKeyClosed         Code = "key-closed"
	CodeKeyMismatch       Code = "key-mismatch"
	CodeKeyUnknown        Code = "key-unknown"
	CodeOwnerUnreachable  Code = "owner-unreachable"
	CodeOwnerGone         Code = "owner-gone"
	CodeAnswerNotHeld     Code = "answer-not-held"
	CodeAnswerCut         Code = "answer-cut"
	CodeShuttingDown      Code = "shutting-down"
	CodeCancelled         Code = "cancelled"
	CodeInternal          Code = "internal"
	CodeDuplicateHop      Code = "duplicate-hop"
	CodeRevisionTooOld    Code = "revision-too-old"
	CodeNoConfiguration Code = "no-configuration"
)

// Refusal is the error that ends a request without a whole answer. It says
// whether the request may have run and when the caller may try again.
type Refusal struct {
	Verdict Verdict
	Code    Code
	// Status is the HTTP status for the caller.
	Status int
	// Detail is one sentence for the caller.
	Detail string
	// RetryAfter is the time after which a new try is useful. Zero means
	// that a new try of the same request is useless.
	RetryAfter time.Duration
	// Final means that asking again for the outcome of the same idempotency
	// key can't bring more.
	Final bool
	// Entries are the addresses of entry VMs that may serve the request.
	Entries []string
	// KeyClosed means that the owner of the request's idempotency key has
	// closed it: no attempt with the key can run any more.
	KeyClosed bool
}

var _ error = (*Refusal)(nil)

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.Code, r.Detail, r.Verdict)
}

// Refuse returns a Refusal of a request that did not run.
func Refuse(status int, code Code, detail string) *Refusal {
	return &Refusal{Verdict: NotRun, Code: code, Status: status, Detail: detail}
}

// Busy returns a Refusal of a request that did not run because capacity is
// missing for now.
func Busy(code Code, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Verdict: NotRun, Code: code, Status: http.StatusServiceUnavailable,
		Detail: detail, RetryAfter: retryAfter,
	}
}

// Ambiguous returns a Refusal of a request that may have run.
func Ambiguous(code Code, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Verdict: MayHaveRun, Code: code, Status: http.StatusBadGateway,
		Detail: detail, RetryAfter: retryAfter,
	}
}
