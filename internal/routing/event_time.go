package routing

import (
	"math"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// eventTimeSmoothing is the weight of one stream in the average time per event.
const eventTimeSmoothing = 0.05

// EventTime returns the average time per event of the target's streams, or zero
// until a stream has ended. An event may carry several tokens.
func (t *Target) EventTime() time.Duration {
	return toDuration(math.Float64frombits(t.eventTime.Load()))
}

// RecordEventTime records a finished stream that took the given time for its
// events.
func (t *Target) RecordEventTime(events int, took time.Duration) {
	sample := took.Seconds() / float64(events)
	if t.eventTime.CompareAndSwap(0, math.Float64bits(sample)) {
		return
	}
	smooth(t.eventTime, sample, eventTimeSmoothing)
}

// RecordSlowStream records, before its end, a stream of the candidate that
// takes a multiple of the average event time. It counts as a service time that
// exceeds the median of the candidates by the same factor.
func (t *Target) RecordSlowStream(c *Candidate, now clock.Instant, multiple float64) {
	c.Server.RecordServiceTime(now, time.Second, toDuration(multiple*t.medianSlowness(now)))
}
