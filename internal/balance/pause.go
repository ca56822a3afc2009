package balance

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// maxPause bounds the time for which a server may keep requests away.
	maxPause = time.Minute
	// maxPauseJitter bounds the random extension of a pause, which is at most half
	// of it. Without it, all VMs that were refused together would return together.
	maxPauseJitter = time.Second
	// rampStep is the time after a pause in which the number of concurrent requests
	// that this VM may have at the server rises by one, and rampDuration is when
	// that bound ends.
	rampStep     = 100 * time.Millisecond
	rampDuration = 2 * time.Second
)

// Pause is the time for which a server asked this VM to send no requests. The zero
// value is no pause. After a pause, requests return at a rising rate.
type Pause struct {
	until atomic.Int64
}

// Begin starts a pause of the duration, or extends the one in force, and returns
// the duration used: at most maxPause, without the jitter.
func (p *Pause) Begin(d time.Duration, now clock.Instant) time.Duration {
	d = min(d, maxPause)
	if d <= 0 {
		return 0
	}
	jitter := time.Duration(rand.Int64N(int64(min(d/2, maxPauseJitter)) + 1))
	storeMax(&p.until, int64(now.Add(d+jitter)))
	return d
}

// Remaining returns the time until the pause ends, or zero.
func (p *Pause) Remaining(now clock.Instant) time.Duration {
	return max(0, clock.Instant(p.until.Load()).Sub(now))
}

// Admits reports whether one more request may be sent while active ones are in
// progress.
func (p *Pause) Admits(active int, now clock.Instant) bool {
	until := clock.Instant(p.until.Load())
	if until == 0 {
		return true
	}
	since := now.Sub(until)
	return since >= 0 && (since >= rampDuration || active <= int(since/rampStep))
}
