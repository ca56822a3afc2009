// Package retry bounds how many requests may be sent a second time.
package retry

import "sync/atomic"

const (
	// unit is one request in the budget's fixed-point form.
	unit = 1 << 20
	// maxSaved bounds the retries that a quiet time can save up.
	maxSaved = 20 * unit
	// initialSaved lets the first failures of a new process be retried.
	initialSaved = 3 * unit
)

// Budget is a token bucket that is filled by requests: each request adds the
// share that may be retried, each retry or hedge takes one token.
type Budget struct {
	saved atomic.Int64
}

// NewBudget returns a budget with a few retries saved up.
func NewBudget() *Budget {
	b := &Budget{}
	b.saved.Store(initialSaved)
	return b
}

// RecordRequest records a request of which the given share, between 0 and 1, may be
// retried.
func (b *Budget) RecordRequest(share float64) {
	add := int64(min(max(share, 0), 1) * unit)
	for {
		old := b.saved.Load()
		next := min(old+add, maxSaved)
		if next == old || b.saved.CompareAndSwap(old, next) {
			return
		}
	}
}

// Allow reports whether a retry is within the budget, and takes it.
func (b *Budget) Allow() bool {
	for {
		old := b.saved.Load()
		if old < unit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Remaining returns the number of retries left.
func (b *Budget) Remaining() float64 { return float64(b.saved.Load()) / unit }
