// Package breaker stops traffic to a backend server that keeps failing.
//
// A Breaker opens after consecutive failures. It then admits one trial request
// at a time, after a backoff that doubles with each failed trial. It uses only
// atomics and takes the time as a parameter.
package breaker

import (
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// failureThreshold is the number of consecutive failures that opens a
	// breaker.
	failureThreshold = 3
	// initialBackoff is the time before the first trial.
	initialBackoff = 500 * time.Millisecond
	// maxBackoff bounds the time between trials.
	maxBackoff = 15 * time.Second
	// trialTimeout is the time after which another trial is allowed although
	// the previous one has not finished.
	trialTimeout = 5 * time.Second
)

// Breaker is a circuit breaker. The zero value is closed.
type Breaker struct {
	failures atomic.Int32
	// nextTrial is the instant of the next trial; zero while closed.
	nextTrial atomic.Int64
}

// Ready reports whether a request may be sent now. Unlike Allow, it does not
// start a trial.
func (b *Breaker) Ready(now clock.Instant) bool {
	return now >= clock.Instant(b.nextTrial.Load())
}

// Allow reports whether a request may be sent now. While the breaker is open,
// it allows one trial at a time.
func (b *Breaker) Allow(now clock.Instant) bool {
	next := b.nextTrial.Load()
	if next == 0 {
		return true
	}
	if now < clock.Instant(next) {
		return false
	}
	return b.nextTrial.CompareAndSwap(next, int64(now.Add(trialTimeout)))
}

// ReturnTrial ends a trial that Allow granted and that was not used, so that the
// next request may be the trial.
func (b *Breaker) ReturnTrial(now clock.Instant) {
	if next := b.nextTrial.Load(); next != 0 {
		b.nextTrial.CompareAndSwap(next, int64(now))
	}
}

// RecordSuccess records a request that succeeded. It closes the breaker.
func (b *Breaker) RecordSuccess() { b.Reset() }

// Reset closes the breaker and forgets the failures so far.
func (b *Breaker) Reset() {
	b.failures.Store(0)
	b.nextTrial.Store(0)
}

// RecordFailure records a failed request. It opens the breaker, or extends the
// backoff, once the consecutive failures reach the threshold.
func (b *Breaker) RecordFailure(now clock.Instant) {
	n := b.failures.Add(1)
	if n < failureThreshold {
		return
	}
	b.nextTrial.Store(int64(now.Add(backoff(n - failureThreshold))))
}

// IsOpen reports whether the breaker is open.
func (b *Breaker) IsOpen() bool { return b.nextTrial.Load() != 0 }

// backoff returns the initial backoff after the given number of doublings, at
// most maxBackoff.
func backoff(doublings int32) time.Duration {
	d := initialBackoff
	for ; doublings > 0 && d < maxBackoff; doublings-- {
		d *= 2
	}
	return min(d, maxBackoff)
}
