// Package routing decides which backend server or region serves a request.
//
// A Picker is an immutable view of the local region's backend servers and of
// the other regions. Each snapshot gets a new one. The counters that change
// with each request are atomics in Server and RegionTraffic, which outlive a
// Picker. The package does no I/O and reads no clock.
package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/breaker"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// slownessSmoothing is the weight of a new sample in the smoothed slowness.
	slownessSmoothing = 0.2
	// slownessMaxAge is how long a measured slowness takes precedence over the
	// server's own report.
	slownessMaxAge = 20 * time.Second
	// minSlowness and maxSlowness bound a single sample.
	minSlowness = 0.02
	maxSlowness = 50
	// roundTripAllowance is added to both the expected and the actual time, so
	// that the round trip of a short request doesn't count as slowness.
	roundTripAllowance = 20 * time.Millisecond
	// reportSmoothing is the weight of a new sample of this gateway's requests
	// in flight, which are subtracted from the server's report, and of the
	// remainder.
	reportSmoothing = 0.5
	// peakDecay is the weight of a report that shows fewer requests of other
	// gateways than the peak.
	peakDecay = 0.1
)

// Server is this process's record of one backend server. It survives
// configuration changes.
type Server struct {
	Name    string
	Breaker breaker.Breaker

	inFlight atomic.Int32
	// awaitingFirstByte counts the requests without a first byte. lastProgress
	// is when a request last got its first byte or, if later, when the first of
	// these requests was sent.
	awaitingFirstByte atomic.Int32
	lastProgress      atomic.Int64
	// slowness is the smoothed service time relative to the expected one, as
	// the bits of a float64, and measuredAt the time of its last update.
	slowness   atomic.Uint64
	measuredAt atomic.Int64
	// avgInFlight is the smoothed number of this gateway's requests in flight,
	// and others that of the other gateways by the server's reports. Both are
	// the bits of a float64.
	avgInFlight atomic.Uint64
	others      atomic.Uint64
	// othersPeak is the recent peak of the other gateways' requests, as the
	// bits of a float64.
	othersPeak atomic.Uint64
	// extraSlots is the number of slots beyond this gateway's share that it may
	// use.
	extraSlots atomic.Int32
	// reportedAt is the time of the last report applied.
	reportedAt atomic.Int64
}

// InFlight returns the number of this gateway's requests at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// OthersInFlight returns the estimated number of other gateways' requests at
// the server.
func (s *Server) OthersInFlight() float64 { return math.Float64frombits(s.others.Load()) }

// Slowness returns the smoothed service time relative to the expected one. The
// factor is 1 until the first measurement. known is false if there is none or
// the last one is older than slownessMaxAge.
func (s *Server) Slowness(now clock.Instant) (factor float64, known bool) {
	bits := s.slowness.Load()
	if bits == 0 {
		return 1, false
	}
	return math.Float64frombits(bits), now.Sub(clock.Instant(s.measuredAt.Load())) < slownessMaxAge
}

// Reserve reserves a slot at the server if fewer than limit of this gateway's
// requests are in flight.
func (s *Server) Reserve(limit int) bool {
	for {
		n := s.inFlight.Load()
		if int(n) >= limit {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release releases a reserved slot.
func (s *Server) Release() { s.inFlight.Add(-1) }

// RecordSent records that a request is being sent to the server.
func (s *Server) RecordSent(now clock.Instant) {
	if s.awaitingFirstByte.Add(1) == 1 {
		s.lastProgress.Store(int64(now))
	}
}

// RecordProgress records that a request has received its first byte or ended
// without one.
func (s *Server) RecordProgress(now clock.Instant) {
	s.awaitingFirstByte.Add(-1)
	s.lastProgress.Store(int64(now))
}

// StalledFor returns the time without progress while requests await their first
// byte.
func (s *Server) StalledFor(now clock.Instant) time.Duration {
	if s.awaitingFirstByte.Load() <= 0 {
		return 0
	}
	return max(0, now.Sub(clock.Instant(s.lastProgress.Load())))
}

// RecordServiceTime records the expected and the actual service time of a
// request.
func (s *Server) RecordServiceTime(now clock.Instant, expected, actual time.Duration) {
	if expected <= 0 {
		return
	}
	sample := (actual + roundTripAllowance).Seconds() / (expected + roundTripAllowance).Seconds()
	sample = min(max(sample, minSlowness), maxSlowness)
	s.measuredAt.Store(int64(now))
	if s.slowness.CompareAndSwap(0, math.Float64bits(sample)) {
		return
	}
	smooth(&s.slowness, sample, slownessSmoothing)
}

// ApplyReport updates the estimates from a report of the server's load. Each
// report counts once. share is this gateway's share of the server's slots.
// Slots beyond it that other gateways leave unused are claimed one per report,
// and all are released at once if requests are queued at the server.
func (s *Server) ApplyReport(status *snapshot.BackendStatus, slots, share int) {
	if status == nil || s.reportedAt.Swap(int64(status.ConfirmedAt)) == int64(status.ConfirmedAt) {
		return
	}
	smooth(&s.avgInFlight, float64(s.InFlight()), reportSmoothing)
	avgInFlight := math.Float64frombits(s.avgInFlight.Load())
	others := max(0, float64(status.Running+status.Queued)-avgInFlight)
	smooth(&s.others, others, reportSmoothing)
	// For the slot limit, a rise in the other gateways' use counts at once and
	// a fall decays slowly, so that two gateways don't both claim a slot that
	// one of them is about to need again.
	peak := math.Float64frombits(s.othersPeak.Load())
	peak = max(others, peak+peakDecay*(others-peak))
	s.othersPeak.Store(math.Float64bits(peak))
	if status.Queued > 0 {
		s.extraSlots.Store(0)
		return
	}
	unused := max(0, slots-share-int(math.Ceil(peak)))
	extra := int(s.extraSlots.Load())
	s.extraSlots.Store(int32(min(unused, extra+1)))
}

// smooth moves the float64 in v towards sample. The sample is dropped if v
// changes concurrently.
func smooth(v *atomic.Uint64, sample, weight float64) {
	old := v.Load()
	value := math.Float64frombits(old)
	v.CompareAndSwap(old, math.Float64bits(value+weight*(sample-value)))
}
