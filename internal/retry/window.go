package retry

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 20
	// keptBuckets is one bucket more than a window, so that the retries of a
	// full window are known while its newest bucket is still filling.
	keptBuckets = windowBuckets + 1
)

// Window limits the retries in every time span of a given length to a share of
// the requests in that span, plus a fixed slack.
type Window struct {
	span time.Duration

	mu      sync.Mutex
	slack   float64
	current int64 // index of the current bucket since the clock's start
	earned  [keptBuckets]float64
	retries [keptBuckets]float64
}

// NewWindow returns a window over the given span. Slack is the number of
// retries in the span that are allowed without any request.
func NewWindow(span time.Duration, slack float64) *Window {
	return &Window{span: span, slack: slack}
}

// SetSlack sets the number of retries that are allowed without any request.
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
	w.earned[w.current%keptBuckets] += share
}

// Allow reports whether a retry is within the limit. If so, it counts the retry.
func (w *Window) Allow(now clock.Instant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.remaining() < 1 {
		return false
	}
	w.retries[w.current%keptBuckets]++
	return true
}

// Remaining returns the number of retries left.
func (w *Window) Remaining(now clock.Instant) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.remaining()
}

// Ample reports whether at least half of the retries of the span are left.
func (w *Window) Ample(now clock.Instant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	used := 0.0
	for _, n := range w.retries {
		used += n
	}
	return w.remaining() > used
}

// remaining returns the number of retries left. Callers must hold w.mu.
func (w *Window) remaining() float64 {
	remaining := w.slack
	oldest := (w.current + 1) % keptBuckets // partly before the window: its retries count, its requests don't
	for i := range int64(keptBuckets) {
		remaining -= w.retries[i]
		if i != oldest {
			remaining += w.earned[i]
		}
	}
	return remaining
}

// advance moves to the bucket of the given time and clears the buckets that
// have left the window. Callers must hold w.mu.
func (w *Window) advance(now clock.Instant) {
	bucket := int64(now) / int64(w.span/windowBuckets)
	for n := 0; w.current < bucket && n < keptBuckets; n++ {
		w.current++
		w.earned[w.current%keptBuckets], w.retries[w.current%keptBuckets] = 0, 0
	}
	w.current = max(w.current, bucket)
}
