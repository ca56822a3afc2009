// Package retry limits retries to a share of the requests.
package retry

import "sync/atomic"

const (
	// unit is one token in fixed-point representation.
	unit = 1 << 20
	// maxTokens bounds the tokens that accumulate while there are few retries.
	maxTokens = 20 * unit
	// initialTokens lets a new process retry its first failures.
	initialTokens = 3 * unit
)

// Budget is a token bucket that is filled by requests: each request adds the
// share that may be retried, and each retry or hedge takes one token.
type Budget struct {
	tokens atomic.Int64
}

// NewBudget returns a budget that holds the initial tokens.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(initialTokens)
	return b
}

// RecordRequest adds the given share of a token, between 0 and 1, for a request.
func (b *Budget) RecordRequest(share float64) {
	add := int64(min(max(share, 0), 1) * unit)
	for {
		old := b.tokens.Load()
		next := min(old+add, maxTokens)
		if next == old || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// Allow reports whether a retry is within the budget. If so, it takes one token.
func (b *Budget) Allow() bool {
	for {
		old := b.tokens.Load()
		if old < unit {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Remaining returns the number of retries left.
func (b *Budget) Remaining() float64 { return float64(b.tokens.Load()) / unit }
