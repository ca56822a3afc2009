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
	return verdict.Refuse(http.StatusBadRequest, verdict.CodeKeyMalformed, "the idempotency key is malformed; use the key prefix of an entry, then ~, then a unique part")
}

func refuseMismatch() *verdict.Refusal {
	return verdict.Refuse(http.StatusUnprocessableEntity, verdict.CodeKeyMismatch, "the idempotency key belongs to a request with other content")
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
	refusal := refuseClosed(http.StatusServiceUnavailable, verdict.CodeOverloaded, "this gateway takes no more idempotency keys for now; use a new key later")
	refusal.RetryAfter = booking.EpochLength
	return refusal
}

func refuseEvicted() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeKeyExpired, "the idempotency key expired so long ago that its outcome is no longer known", 0)
	refusal.Status = http.StatusGone
	refusal.Final = true
	return refusal
}

func refuseOwnerGone() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeOwnerGone, "the gateway that owned the idempotency key has restarted or gone; nobody knows the outcome", 0)
	refusal.Final = true
	return refusal
}

func refuseOwnerUnreachable() *verdict.Refusal {
	return verdict.Ambiguous(verdict.CodeOwnerUnreachable, "the gateway that owns the idempotency key can't be reached; ask again with the same key", retryAfterUnknown)
}

func refuseAnswerEvicted() *verdict.Refusal {
	return &verdict.Refusal{
		Verdict: verdict.Ran, Code: verdict.CodeAnswerNotHeld, Status: http.StatusGone, Final: true,
		Detail: "the request ran, and its answer is no longer held",
	}
}

func refuseStillRunning() *verdict.Refusal {
	refusal := verdict.Ambiguous(verdict.CodeDeadline, "the request is still running; ask again with the same key", retryAfterUnknown)
	refusal.Status = http.StatusGatewayTimeout
	return refusal
}

func refuseDeadline() *verdict.Refusal {
	return verdict.Refuse(http.StatusGatewayTimeout, verdict.CodeDeadline, "the deadline passed before the request was sent")
}

func refuseCallerCancelled() *verdict.Refusal {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.CodeCancelled, "the caller went away before the request was sent")
}

func refuseDuplicateHop(closed bool) *verdict.Refusal {
	if closed {
		return verdict.Refuse(http.StatusConflict, verdict.CodeDuplicateHop, "the key is closed here: the request did not run")
	}
	refusal := verdict.Ambiguous(verdict.CodeDuplicateHop, "the request has been received here before", 0)
	refusal.Status = http.StatusConflict
	return refusal
}
