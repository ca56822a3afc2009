// Package rampup determines how many requests a server that has just started or recovered
// may have in flight.
//
// A Controller holds a window: the requests in flight that all VMs of the region together
// may have at one incarnation of a server. Each VM runs its own controller and uses the part
// of the window that belongs to its rank. VMs see the same load reports, so their windows are
// nearly the same; where they differ, the sum of the parts stays within the largest window.
//
// The package has no sockets and no clock: observations and the current time are passed in.
package rampup

import (
	"math"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

const (
	// startFraction is the number of slots for each request of the first window. Three
	// doublings lead from there to all slots.
	startFraction = 8
	// minStart is the minimum first window. One request would tell nothing of how the server
	// serves several at once.
	minStart = 2
	// stepInterval is the minimum time between two growth steps. Engines report about four
	// times a second, so that each step has a report of its own.
	stepInterval = 200 * time.Millisecond
	// fastGrowth is the growth in a step while nothing is known to be too much, and
	// slowGrowth that above the window of the last cut, or without demand for the window.
	fastGrowth, slowGrowth = 2, 1.125
	// failureCut and slowCut are the fractions of the window that remain after a refusal or
	// failure, and after a slow response.
	failureCut, slowCut = 0.5, 0.7
	// demandShare is the part of the window in use from which demand counts as full.
	demandShare = 0.5
	// answeredShare is the number of responses in time before a growth step, as a fraction of this
	// VM's part of the window. The first ones alone don't show whether the others wait.
	answeredShare = 0.25
	// maxQueueShare is the number of requests that may wait at an engine for each running one
	// without holding the window: a snapshot shows requests that have just arrived as waiting.
	maxQueueShare = 0.25
	// maxReportAge is the age up to which a report shows what the other VMs send.
	maxReportAge = 1500 * time.Millisecond
	// maxBackoff is the maximum number of doublings of the step interval, one for each failed try
	// in a row: 23 VMs together try a server that fails everything a few times a second.
	maxBackoff = 2
	// quietTime is the time without refusals, failures and slow responses after which the
	// controller ends although the window has not reached the slots, for want of demand.
	quietTime = 30 * time.Second
)

// Share describes the server and this VM's part in it.
type Share struct {
	// Slots is the number of requests that the server serves at once.
	Slots int
	// VMs is the number of VMs that send to the server, and Rank that of this one among
	// them, starting at 0.
	VMs, Rank int
	// Cold means that the rate of a cold server bounds the requests. The window begins when
	// the cold time ends. InFlight is the number of requests of all VMs at the cold server, as
	// far as this VM knows.
	Cold     bool
	InFlight int
}

// full is the window at which the controller ends: all slots, or one request for each VM
// if there are fewer slots, so that each VM has sent one.
func (s *Share) full() float64 { return float64(max(s.Slots, s.VMs, 1)) }

// start is the first window. It is not below what the server carries while it is cold.
// Otherwise the requests in flight may be those of the process before.
func (s *Share) start() float64 {
	first := max(minStart, s.Slots/startFraction)
	if s.Cold {
		first = max(first, s.InFlight)
	}
	return min(float64(first), s.full())
}

// part returns this VM's part of a window.
func (s *Share) part(window float64) int { return spread.Part(int(window), s.VMs, s.Rank) }

// End is the reason why a controller ended.
type End string

// The reasons why a controller ends. NotEnded means that it goes on.
const (
	NotEnded End = ""
	// Full means that the window reached the slots, and responses were in time then.
	Full End = "full"
	// Busy means that requests run in all slots, whoever sent them.
	Busy End = "all slots in use"
	// Quiet means that nothing went wrong for quietTime.
	Quiet End = "nothing went wrong"
)

// Controller determines the window of one incarnation of a server. Its methods are safe for
// concurrent use.
type Controller struct {
	mu sync.Mutex
	// began is the start or recovery of the server as this VM knows it, steppedAt the end of
	// the cold time or the last step, cutAt the last cut, and badAt the last refusal, failure
	// or slow response.
	began, steppedAt, cutAt, badAt clock.Instant
	// window is set once open, when the server's slots are known. Growth is slow from threshold on,
	// which is zero until the first cut.
	open                    bool
	window, threshold, peak float64
	cuts                    int
	// failedTries is the number of cuts since the last response in time or good report.
	failedTries int
	// inTime is the number of responses in time to requests that were sent since grownAt, when
	// the window last changed: responses to earlier ones say nothing of the larger window.
	inTime  int
	grownAt clock.Instant
	// What was observed since the last step: a choice that the window prevented; a sign that the
	// window is too large; a report of requests that ran with no long queue.
	limited, held, reported bool
	reportAt                clock.Instant
	running                 int
	end                     End
}

// New returns the controller of a server that started or recovered at the given time.
func New(now clock.Instant) *Controller { return &Controller{began: now, badAt: now} }

// Restart begins with the first window again, as the server has failed and recovered once
// more.
func (c *Controller) Restart(now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began, c.badAt, c.open, c.failedTries = now, now, false, 0
	c.reportAt, c.running, c.end = 0, 0, NotEnded
	c.clear()
}

// clear forgets what was observed since the last step. The caller holds the lock.
func (c *Controller) clear() { c.limited, c.held, c.reported = false, false, false }

// RecordResponse records that the response to a request began, and whether it did so in time.
func (c *Controller) RecordResponse(sentAt clock.Instant, inTime bool, now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case sentAt < c.began:
	case inTime:
		c.failedTries = 0
		if sentAt >= c.grownAt {
			c.inTime++
		}
	default:
		c.cut(slowCut, sentAt, now)
	}
}

// RecordFailure records that the server refused a request, or that one failed there. SentAt
// is zero if it isn't known.
func (c *Controller) RecordFailure(sentAt, now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sentAt == 0 || sentAt >= c.began {
		c.cut(failureCut, sentAt, now)
	}
}

// RecordReport records a load report of the server: the requests of all VMs that run there,
// and those that wait.
func (c *Controller) RecordReport(running, queued int, now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.reportAt = running, now
	switch {
	case queued > running:
		c.cut(slowCut, 0, now)
	case float64(queued) > maxQueueShare*float64(running):
		c.held = true
	case running > 0:
		c.reported, c.failedTries = true, 0
	}
}

// cut reduces the window once for all requests that were sent before the cut. The caller holds
// the lock.
func (c *Controller) cut(fraction float64, sentAt, now clock.Instant) {
	c.badAt, c.held = now, true
	known := sentAt != 0 && sentAt <= c.cutAt || sentAt == 0 && c.cutAt != 0 && now.Sub(c.cutAt) < stepInterval
	if !c.open || known {
		return
	}
	if c.window *= fraction; c.window < 1 || fraction == failureCut && c.failedTries > 0 {
		c.window = 0 // a refusal takes no time, so that one request in flight at a time would be many
	}
	c.threshold, c.cutAt = max(c.window, minStart), now
	c.grownAt, c.inTime = now, 0
	c.cuts++
	c.failedTries++
}

// Advance grows the window if a step is due, and returns why the controller ends, if it does.
func (c *Controller) Advance(s Share, now clock.Instant) End {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(&s, now)
	return c.end
}

// Room returns how many more requests this VM, which has the given number in flight at the
// server, may send within its part of the window. It is not positive if there is no room.
func (c *Controller) Room(s Share, own int, now clock.Instant) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(&s, now)
	if c.end != NotEnded || s.Cold {
		return math.MaxInt
	}
	room := s.part(c.window) - own
	c.limited = c.limited || room <= 0
	return room
}

// advance is Advance for a caller that holds the lock.
func (c *Controller) advance(s *Share, now clock.Instant) {
	if c.end != NotEnded {
		return
	}
	if s.Cold || !c.open {
		c.open, c.window, c.threshold, c.steppedAt = true, s.start(), 0, now
		c.grownAt, c.inTime = now, 0
		c.peak = max(c.peak, c.window)
		if s.Cold {
			c.badAt = now
			c.clear()
		}
		return
	}
	if now.Sub(c.steppedAt) < stepInterval<<min(c.failedTries, maxBackoff) {
		return
	}
	c.step(s, now)
	c.steppedAt = now
	c.clear()
}

// step decides on one growth step. The caller holds the lock.
func (c *Controller) step(s *Share, now clock.Instant) {
	reports := c.reportAt != 0 && now.Sub(c.reportAt) < maxReportAge
	part := s.part(c.window)
	served := c.reported || c.inTime > 0 && float64(c.inTime) >= answeredShare*float64(part)
	// A VM whose part is zero learns nothing from responses of its own. Where reports don't
	// show either how the server serves the others, time alone lets it send its first request.
	blind := part == 0 && (!reports || c.running == 0)
	switch {
	case reports && c.running >= s.Slots:
		c.end = Busy
	case now.Sub(c.badAt) >= quietTime:
		c.end = Quiet
	case c.held, !served && !blind:
	case c.window >= s.full():
		if served {
			c.end = Full
		}
	default:
		demand := c.limited || blind || reports && float64(c.running) >= demandShare*c.window
		growth := slowGrowth
		if blind || demand && (c.threshold == 0 || c.window < c.threshold) {
			growth = fastGrowth
		}
		c.window = min(max(c.window*growth, c.window+1), s.full())
		c.peak, c.grownAt, c.inTime = max(c.peak, c.window), now, 0
	}
}

// State is a controller's state for logs and metrics.
type State struct {
	Window, Peak int
	Cuts         int
	// Age is the time since the start or recovery of the server.
	Age time.Duration
}

// State returns the state at the given time.
func (c *Controller) State(now clock.Instant) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Window: int(c.window), Peak: int(c.peak), Cuts: c.cuts, Age: now.Sub(c.began)}
}
