package admission

import (
	"math"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// refusalMemory is how long the requests of this VM are bounded by its window after a
	// server refused one.
	refusalMemory = 5 * time.Second
	// contendedShare is the known share of the slots in use from which one refusal shows that
	// the service lacks room: requests don't spread over the servers evenly.
	contendedShare = 0.8
	// knownShare is the share of the slots in use up to which this VM borrows slots of the others
	// while servers refuse requests, if it knows the others' requests.
	knownShare = 0.8
	// initialWindowShare is the window after the first refusal, as a fraction of the requests
	// in flight.
	initialWindowShare = 0.9
	// windowIncrease is added to the window for a request that was served while all of it was in
	// use, borrowIncrease if it exceeds this VM's share of the slots and fastSlots. windowDecrease
	// and windowDecreaseShare of the window are subtracted for a refusal. A VM that knows nothing
	// of the others' requests finds free slots by refusals only: a slower increase leaves slots
	// free, a faster one gets requests of teams within their shares refused.
	fastSlots           = 2
	borrowIncrease      = 0.013
	windowIncrease      = 0.07
	windowDecrease      = 0.3
	windowDecreaseShare = 0.1
	// minShareUsed is the lowest window as a fraction of this VM's share of the slots, and
	// minWindow the lowest of all, in requests. If the configuration has no teams, nobody gains
	// from slots that stay free, and the lowest window is the share, and up to fewSlots also
	// aboveShare requests: VMs with few slots each use them at different times.
	minShareUsed = 0.85
	minWindow    = 0.2
	aboveShare   = 0.75
	fewSlots     = 3
	// ditherPeriod is the time in which a window that is no whole number is rounded up for
	// that fraction of the time.
	ditherPeriod = time.Second
	// serverQueueShare is the wait at the servers that this VM accepts, as a fraction of the
	// latency objective, while the servers queue requests instead of refusing them.
	// It is at most maxServerQueue requests for each slot.
	maxServerQueue   = 2
	serverQueueShare = 0.3
)

// window bounds the requests in flight while servers refuse requests.
type window struct {
	size  float64
	phase float64
	// share is this VM's share of the slots when the limit was last determined.
	share float64
	// hasTeams means that the configuration has teams.
	hasTeams               bool
	refusedAt, decreasedAt clock.Instant
}

func (w *window) active(now clock.Instant) bool {
	return w.refusedAt != 0 && now.Sub(w.refusedAt) < refusalMemory
}

func (w *window) recordRefusal(inFlight int, duration time.Duration, now clock.Instant) {
	switch {
	case !w.active(now):
		w.size, w.decreasedAt = initialWindowShare*float64(inFlight), now
	case now.Sub(w.decreasedAt) >= duration:
		// Refusals within the duration of a request have the same cause.
		w.size, w.decreasedAt = w.size-windowDecrease-windowDecreaseShare*w.size, now
	}
	least := max(w.share, min(w.share+aboveShare, fewSlots))
	if w.hasTeams {
		least = max(minShareUsed*w.share, minWindow)
	}
	w.size = max(w.size, least)
	w.refusedAt = now
}

// recordServed records that a request was served while there were that many in flight.
func (w *window) recordServed(inFlight int, now clock.Instant) {
	switch {
	case !w.active(now) || float64(inFlight)+1 < w.size:
	case w.size < max(w.share, fastSlots):
		w.size += windowIncrease
	default:
		w.size += borrowIncrease
	}
}

// limit returns the number of requests up to which this VM may send more.
func (w *window) limit(now clock.Instant) float64 {
	size := max(w.size, math.Floor(w.share))
	whole, part := math.Modf(size)
	_, at := math.Modf(w.phase + float64(now%clock.Instant(ditherPeriod))/float64(ditherPeriod))
	if at < part {
		whole++
	}
	return whole
}

// hasRoom reports whether one more request may be sent. Started is the number of requests that
// passed since the occupancy was determined.
func (g *Gate) hasRoom(o *Occupancy, r *Request, started int, now clock.Instant) bool {
	if o.Slots == 0 {
		return true // nothing is known of the servers
	}
	own, slots := float64(max(o.Own+started, g.inFlight)), float64(o.Slots)
	// Others of this VM's requests may be sent through another VM, and show in the reports of
	// their servers already.
	active := o.Active + float64(started)
	g.window.share = o.Share * float64(o.Slots)
	if g.window.active(now) {
		g.limit = max(g.window.size, math.Floor(g.window.share))
		return own < g.window.limit(now) || o.Known && active < knownShare*slots
	}
	// The duration of a request includes its wait at the server.
	work := g.meanDuration().Seconds() * min(1, slots/max(active, 1))
	queue := slots * min(maxServerQueue, serverQueueShare*r.Objective.Seconds()/work)
	g.limit = max(o.Share*(slots+queue), own+slots+queue-active)
	return own < g.limit
}
