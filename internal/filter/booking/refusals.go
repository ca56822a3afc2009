package bookingfilter

import (
	"net/http"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// retryAfterUnknown is the retry delay sent to callers while an outcome is
// unknown.
const retryAfterUnknown = time.Second

func refuseMalformed() *verdict.Refusal {
	return verdict.Refuse(http.StatusBadRequest, verdict.CodeKeyMalformed, "the idempotency key is malformed; it must be a key prefix issued by an entry, then ~, then a unique suffix")
}

func refuseMismatch() *verdict.Refusal {
	return verdict.Refuse(http.StatusUnprocessableEntity, verdict.CodeKeyMismatch, "the idempotency key belongs to a request with different content or of another team")
}

// refuseClosed refuses a request whose key is closed without a run.
func refuseClosed(status int, code verdict.Code, detail string) *verdict.Refusal {
	refusal := verdict.Refuse(status, code, detail)
	refusal.KeyClosed = true
	return refusal
}

func refuseExpired() *verdict.Refusal {
	return refuseClosed(http.StatusGone, verdict.CodeKeyExpired, "the idempotency key has expired; use a new key")
}

func refuseFull() *verdict.Refusal {
	refusal := refuseClosed(http.StatusServiceUnavailable, verdict.CodeOverloaded, "the gateway's table of idempotency keys is full; retry later with a new key")
	refusal.RetryAfter = booking.EpochLength
	return refusal
}

func refuseEvicted() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeKeyExpired, "the idempotency key expired and no record of it is kept; the outcome is unknown", 0)
	refusal.Status = http.StatusGone
	refusal.Final = true
	return refusal
}

func refuseOwnerGone() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeOwnerGone, "the gateway that owned the idempotency key has restarted or been removed; the outcome is unknown", 0)
	refusal.Final = true
	return refusal
}

func refuseOwnerUnreachable() *verdict.Refusal {
	return verdict.Ambiguous(verdict.CodeOwnerUnreachable, "the gateway that owns the idempotency key is unreachable; retry with the same key", retryAfterUnknown)
}

func refuseAnswerEvicted() *verdict.Refusal {
	return &verdict.Refusal{
		Verdict: verdict.Ran, Code: verdict.CodeAnswerNotHeld, Status: http.StatusGone, Final: true,
		Detail: "the request ran, but its answer is no longer cached",
	}
}

func refuseStillRunning() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeDeadline, "the request is still running; retry with the same key", retryAfterUnknown)
	refusal.Status = http.StatusGatewayTimeout
	return refusal
}

func refuseDeadline() *verdict.Refusal {
	return verdict.Refuse(http.StatusGatewayTimeout, verdict.CodeDeadline, "the deadline passed before the request was sent")
}

func refuseCallerCancelled() *verdict.Refusal {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.CodeCancelled, "the caller cancelled the request before it was sent")
}

func refuseDuplicateHop(closed bool) *verdict.Refusal {
	if closed {
		return verdict.Refuse(http.StatusConflict, verdict.CodeDuplicateHop, "the idempotency key is closed at this gateway; the request did not run")
	}
	refusal := verdict.Ambiguous(verdict.CodeDuplicateHop, "this gateway has already received the request", 0)
	refusal.Status = http.StatusConflict
	return refusal
}
