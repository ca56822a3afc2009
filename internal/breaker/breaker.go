// Package breaker stops traffic to a backend server that keeps failing.
//
// A Breaker opens after consecutive failures and lets one trial request
// through after a pause that doubles with each failed trial. It uses only
// atomics and takes the time as a parameter.
package breaker

import (
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// failuresToOpen is the number of consecutive failures that opens it.
	failuresToOpen = 3
	// firstPause is the time before the first trial.
	firstPause = 500 * time.Millisecond
	// maxPause bounds the time between trials.
	maxPause = 15 * time.Second
	// trialTimeout is the time after which an unfinished trial is given up.
	trialTimeout = 5 * time.Second
)

// Breaker is closed in its zero state.
type Breaker struct {
	failures atomic.Int32
	// reopen is the instant of the next trial; zero while closed.
	reopen atomic.Int64
}

// Ready reports whether a request may be sent now. It claims nothing.
func (b *Breaker) Ready(now clock.Instant) bool {
	return now >= clock.Instant(b.reopen.Load())
}

// Allow reports whether a request may be sent now. While the breaker is open
// it grants a single trial at a time.
func (b *Breaker) Allow(now clock.Instant) bool {
	reopen := b.reopen.Load()
	if reopen == 0 {
		return true
	}
	if now < clock.Instant(reopen) {
		return false
	}
	return b.reopen.CompareAndSwap(reopen, int64(now.Add(trialTimeout)))
}

// RecordSuccess closes the breaker.
func (b *Breaker) RecordSuccess() {
	b.failures.Store(0)
	b.reopen.Store(0)
}

// RecordFailure records a failed request.
func (b *Breaker) RecordFailure(now clock.Instant) {
	n := b.failures.Add(1)
	if n < failuresToOpen {
		return
	}
	b.reopen.Store(int64(now.Add(pause(n - failuresToOpen))))
}

// IsOpen reports whether the breaker holds traffic back.
func (b *Breaker) IsOpen() bool { return b.reopen.Load() != 0 }

func pause(doublings int32) time.Duration {
	d := firstPause
	for ; doublings > 0 && d < maxPause; doublings-- {
		d *= 2
	}
	return min(d, maxPause)
}
