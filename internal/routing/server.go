// Package routing decides where a request is served.
//
// A Picker is an immutable view of the backend servers of the own region and
// of the other regions, replaced whole with each snapshot. The counters that
// change with each request are atomics in Servers and Crossings, which outlive
// a Picker. Nothing here opens a socket or reads a clock.
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
	// slownessSmoothing is the weight of a new measurement.
	slownessSmoothing = 0.2
	// slownessAge is how long a measurement outranks the server's own report.
	slownessAge = 20 * time.Second
	// minSlowness and maxSlowness bound a single measurement.
	minSlowness = 0.02
	maxSlowness = 50
	// measureFloor is added to both sides of a measurement, so that the round
	// trip of a short call isn't taken for slowness.
	measureFloor = 20 * time.Millisecond
	// ownSmoothing is the weight of a new sample of the own requests in
	// flight, which are taken out of the server's report.
	ownSmoothing = 0.5
	// othersFading is the weight of a report that shows less use by others.
	othersFading = 0.1
)

// Server is this process's own record of one backend server. It is kept over
// changes of the configuration.
type Server struct {
	Name    string
	Breaker breaker.Breaker

	inFlight atomic.Int32
	// unstarted counts requests without a first byte; progress is the instant
	// of the last first byte, or of the first of the unstarted requests.
	unstarted atomic.Int32
	progress  atomic.Int64
	// slowness is the measured service time over the expected one, as the
	// bits of a float64; measured is when it was last updated.
	slowness atomic.Uint64
	measured atomic.Int64
	// own is the smoothed number of own requests in flight, and others what
	// the report shows beyond it; both as the bits of a float64.
	own    atomic.Uint64
	others atomic.Uint64
	// peak is the others' recent peak, as the bits of a float64.
	peak atomic.Uint64
	// extra is how many slots beyond the own share may be used.
	extra atomic.Int32
	// heard is when the last report that was counted was heard.
	heard atomic.Int64
}

// InFlight returns the number of own requests at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// OthersInFlight returns the estimate of the requests of other gateways at the server.
func (s *Server) OthersInFlight() float64 { return math.Float64frombits(s.others.Load()) }

// Slowness returns the measured service time over the expected one. It is 1
// while nothing is known, and known is false where the last measurement is old.
func (s *Server) Slowness(now clock.Instant) (factor float64, known bool) {
	bits := s.slowness.Load()
	if bits == 0 {
		return 1, false
	}
	return math.Float64frombits(bits), now.Sub(clock.Instant(s.measured.Load())) < slownessAge
}

// Reserve takes a place at the server if fewer than limit own requests are in
// flight.
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

// Release gives a place back.
func (s *Server) Release() { s.inFlight.Add(-1) }

// RecordSent records that a request is on its way to the server.
func (s *Server) RecordSent(now clock.Instant) {
	if s.unstarted.Add(1) == 1 {
		s.progress.Store(int64(now))
	}
}

// RecordProgress records that a request has its first byte, or has ended without.
func (s *Server) RecordProgress(now clock.Instant) {
	s.unstarted.Add(-1)
	s.progress.Store(int64(now))
}

// StalledFor returns how long requests have waited at the server since any of
// them made progress.
func (s *Server) StalledFor(now clock.Instant) time.Duration {
	if s.unstarted.Load() <= 0 {
		return 0
	}
	return max(0, now.Sub(clock.Instant(s.progress.Load())))
}

// RecordServiceTime records the service time of a finished request.
func (s *Server) RecordServiceTime(now clock.Instant, expected, actual time.Duration) {
	if expected <= 0 {
		return
	}
	sample := (actual + measureFloor).Seconds() / (expected + measureFloor).Seconds()
	sample = min(max(sample, minSlowness), maxSlowness)
	s.measured.Store(int64(now))
	if s.slowness.CompareAndSwap(0, math.Float64bits(sample)) {
		return
	}
	smooth(&s.slowness, sample, slownessSmoothing)
}

// ApplyReport takes a report of the server's load into account. The same report
// is counted once. Share is this gateway's part of the server's slots: what
// other gateways leave unused beyond it is taken step by step, and given back
// at once when requests wait at the server.
func (s *Server) ApplyReport(status *snapshot.BackendStatus, slots, share int) {
	if status == nil || s.heard.Swap(int64(status.Heard)) == int64(status.Heard) {
		return
	}
	smooth(&s.own, float64(s.InFlight()), ownSmoothing)
	own := math.Float64frombits(s.own.Load())
	beyond := max(0, float64(status.Running+status.Queued)-own)
	smooth(&s.others, beyond, ownSmoothing)
	// For slots, others' use counts at once when it grows and fades slowly, so
	// that two gateways don't both take what one of them will need again.
	peak := math.Float64frombits(s.peak.Load())
	peak = max(beyond, peak+othersFading*(beyond-peak))
	s.peak.Store(math.Float64bits(peak))
	if status.Queued > 0 {
		s.extra.Store(0)
		return
	}
	unused := max(0, slots-share-int(math.Ceil(peak)))
	extra := int(s.extra.Load())
	s.extra.Store(int32(min(unused, extra+1)))
}

// smooth moves the float64 in v towards sample. A lost race loses one sample.
func smooth(v *atomic.Uint64, sample, weight float64) {
	old := v.Load()
	value := math.Float64frombits(old)
	v.CompareAndSwap(old, math.Float64bits(value+weight*(sample-value)))
}
