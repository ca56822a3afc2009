package routing

import (
	"math"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// paceSmoothing is the weight of a stream in the usual time per event.
const paceSmoothing = 0.05

// EventTime returns the usual time per event of the target's streams, or zero
// while none has ended. An event may hold several tokens.
func (t *Target) EventTime() time.Duration {
	return toDuration(math.Float64frombits(t.pace.Load()))
}

// RecordEventTime records a stream that took the given time for its events.
func (t *Target) RecordEventTime(events int, took time.Duration) {
	sample := took.Seconds() / float64(events)
	if t.pace.CompareAndSwap(0, math.Float64bits(sample)) {
		return
	}
	smooth(t.pace, sample, paceSmoothing)
}

// RecordSlowStream records that a stream of the candidate takes a multiple of the usual
// time.
func (t *Target) RecordSlowStream(c *Candidate, now clock.Instant, multiple float64) {
	c.Server.RecordServiceTime(now, time.Second, toDuration(multiple*t.typicalSlowness(now)))
}
