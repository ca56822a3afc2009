package experiment

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	// KindChat is a chat completion, streamed or not.
	KindChat Kind = "chat"
	// KindForecast is an idempotent call of a plain service.
	KindForecast Kind = "forecast"
	// KindBooking is a call of a plain service that isn't idempotent and carries
	// an idempotency key.
	KindBooking Kind = "booking"
)

// Call is one request to send.
type Call struct {
	Kind   Kind
	Class  string
	Target string // model or service
	Team   string
	Home   string // region of the caller
	// Prompt is the user message, and Prefix the system message before it.
	Prompt string
	Prefix string
	Tokens int
	Stream bool
	// Path is the request path below the service's prefix.
	Path     string
	Body     []byte
	Timeout  time.Duration
	Priority string
}

// Outcome records how a request ended, as its caller saw it.
type Outcome struct {
	Call *Call
	// Intended is the scheduled start of the request and Start the actual
	// one. FirstToken and Total count from Intended, so that they include the
	// delay of a request that was sent late.
	Intended   time.Time
	Start      time.Time
	FirstToken time.Duration
	Total      time.Duration
	// Status is the HTTP status, or zero without a response.
	Status  int
	Verdict verdict.Verdict
	// Code is the code of a refusal or an error response.
	Code string
	// Region is the region that served the request.
	Region string
	// Backend is the name of the backend server, if the response has it.
	Backend    string
	RetryAfter string
	// Attempts is the number of entry VMs tried.
	Attempts int
	// RequestID is the ID of the last attempt.
	RequestID string
	// Loop reports whether the list of visited VMs has a VM twice.
	Loop bool
	// IdempotencyKey is the idempotency key of a booking.
	IdempotencyKey string
	// Wrong describes how the response differs from the expected one; empty if
	// it doesn't.
	Wrong string
	// Err is the reason why there is no complete response; empty if there is
	// one.
	Err string
}

// Ending classifies how a request ended.
type Ending string

// Endings of a request.
const (
	// EndingServed means a complete and correct response.
	EndingServed Ending = "served"
	// EndingRefused means a refusal with the verdict "not run".
	EndingRefused Ending = "refused"
	// EndingFailed means an explicit error of a request that was or may have
	// been executed.
	EndingFailed Ending = "failed"
	// EndingUnanswered means that no response was received.
	EndingUnanswered Ending = "unanswered"
	// EndingWrong means a response that belongs to another request or is
	// truncated without an error.
	EndingWrong Ending = "wrong"
)

// Ending classifies the outcome. An incorrect response takes precedence over its
// status.
func (o *Outcome) Ending() Ending {
	switch {
	case o.Wrong != "":
		return EndingWrong
	case o.Status == 0:
		return EndingUnanswered
	case o.Status >= 200 && o.Status < 300 && o.Err == "":
		return EndingServed
	case o.Verdict == verdict.NotRun:
		return EndingRefused
	default:
		return EndingFailed
	}
}
