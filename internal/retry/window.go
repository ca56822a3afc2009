package retry

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// windowParts is the number of parts of a window that are counted apart.
	windowParts = 20
	// keptParts is one more, so that the retries of a whole window are known
	// while its newest part is still filling.
	keptParts = windowParts + 1
)

// Window bounds the retries in every span of a given length to a share of the
// requests of that span, plus a fixed number.
type Window struct {
	span time.Duration

	mu      sync.Mutex
	slack   float64
	part    int64 // number of the current part since the clock's start
	earned  [keptParts]float64
	retries [keptParts]float64
}

// NewWindow returns a window of the given length that allows slack retries
// without any request.
func NewWindow(span time.Duration, slack float64) *Window {
	return &Window{span: span, slack: slack}
}

// SetSlack changes the number of retries that need no request.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// RecordRequest records a request of which the given share may be retried.
func (w *Window) RecordRequest(share float64, now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.earned[w.part%keptParts] += share
}

// Allow reports whether a retry is within the bound, and counts it.
func (w *Window) Allow(now clock.Instant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.left() < 1 {
		return false
	}
	w.retries[w.part%keptParts]++
	return true
}

// Remaining returns the number of retries left.
func (w *Window) Remaining(now clock.Instant) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.left()
}

func (w *Window) left() float64 {
	left := w.slack
	oldest := (w.part + 1) % keptParts // reaches beyond the window
	for i := range int64(keptParts) {
		left -= w.retries[i]
		if i != oldest {
			left += w.earned[i]
		}
	}
	return left
}

// advance empties the parts that have left the window.
func (w *Window) advance(now clock.Instant) {
	part := int64(now) / int64(w.span/windowParts)
	for n := 0; w.part < part && n < keptParts; n++ {
		w.part++
		w.earned[w.part%keptParts], w.retries[w.part%keptParts] = 0, 0
	}
	w.part = max(w.part, part)
}
