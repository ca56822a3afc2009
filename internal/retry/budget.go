// Package retry bounds how many requests may be sent a second time.
package retry

import "sync/atomic"

const (
	// unit is one request in the budget's fixed-point form.
	unit = 1 << 20
	// defaultBurst bounds the retries that a quiet time can save up.
	defaultBurst = 20
	// initialSaved lets the first failures of a new process be retried.
	initialSaved = 3
)

// Budget is a token bucket that is filled by requests: each request adds the
// share that may be retried, each retry or hedge takes one token.
type Budget struct {
	saved atomic.Int64
	burst atomic.Int64
}

// NewBudget returns a budget with a few retries saved up.
func NewBudget() *Budget {
	b := NewBudgetOf(defaultBurst)
	b.saved.Store(initialSaved * unit)
	return b
}

// NewBudgetOf returns a full budget that saves up to burst retries.
func NewBudgetOf(burst float64) *Budget {
	b := &Budget{}
	b.SetBurst(burst)
	b.saved.Store(b.burst.Load())
	return b
}

// SetBurst changes how many retries can be saved up.
func (b *Budget) SetBurst(burst float64) { b.burst.Store(int64(max(burst, 0) * unit)) }

// Request records a request of which the given share, between 0 and 1, may be
// retried.
func (b *Budget) Request(share float64) {
	add := int64(min(max(share, 0), 1) * unit)
	for {
		old := b.saved.Load()
		next := min(old+add, max(b.burst.Load(), unit))
		if next == old || b.saved.CompareAndSwap(old, next) {
			return
		}
	}
}

// Take reports whether a retry is within the budget, and takes it.
func (b *Budget) Take() bool {
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

// Left returns the number of retries left.
func (b *Budget) Left() float64 { return float64(b.saved.Load()) / unit }
