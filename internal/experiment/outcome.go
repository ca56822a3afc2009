package experiment

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	// KindChat is a chat completion, streamed or whole.
	KindChat Kind = "chat"
	// KindForecast is a call of a plain service that may be repeated.
	KindForecast Kind = "forecast"
	// KindBooking is a call of a plain service that may not be repeated.
	KindBooking Kind = "booking"
)

// Call is one request to send.
type Call struct {
	Kind   Kind
	Class  string
	Target string // model or service
	Team   string
	Home   string // region of the caller
	// Prompt is the last user message and Prefix the message before it.
	Prompt string
	Prefix string
	Tokens int
	Stream bool
	// Path is the path of a service's call.
	Path     string
	Body     []byte
	Timeout  time.Duration
	Priority string
}

// Outcome is what a caller got.
type Outcome struct {
	Call *Call
	// Intended is when the request should have started; both durations
	// count from it. Start is when it did.
	Intended   time.Time
	Start      time.Time
	FirstToken time.Duration
	Total      time.Duration
	// Status is the HTTP status, or zero without an answer.
	Status  int
	Verdict verdict.Verdict
	// Code is the code of a refusal.
	Code string
	// Region served the request.
	Region string
	// Backend is the name of the backend server, where the answer names it.
	Backend    string
	RetryAfter string
	// Attempts is how many entry VMs were tried.
	Attempts int
	// RequestID is the ID of the last attempt.
	RequestID string
	// Loop means that the path of hops names a gateway twice.
	Loop bool
	// IdempotencyKey is the idempotency key of a booking.
	IdempotencyKey string
	// Wrong says how an answer differs from what it must be; "" if it doesn't.
	Wrong string
	// Err says why there is no whole answer.
	Err string
}

// Ending says how a request ended.
type Ending string

// The endings.
const (
	// EndingServed means a whole and correct answer.
	EndingServed Ending = "served"
	// EndingRefused means a refusal with the verdict "not run".
	EndingRefused Ending = "refused"
	// EndingFailed means an explicit error after which the request may have
	// run.
	EndingFailed Ending = "failed"
	// EndingUnanswered means that the connection gave no answer.
	EndingUnanswered Ending = "unanswered"
	// EndingWrong means an answer that isn't the request's own or is short
	// without saying so.
	EndingWrong Ending = "wrong"
)

// Ending returns how the request ended.
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
