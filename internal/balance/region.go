package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// Summary is what a region's VMs report of one service.
type Summary struct {
	Service string
	// Servers counts the warm servers that take work; the sums are over them.
	Servers int
	Slots   int
	Active  float64
	// PrefillBacklogMs is the time in milliseconds that prompts need that are being
	// read or wait for it.
	PrefillBacklogMs float64
	// Memory and MemoryTotal are in tokens.
	Memory, MemoryTotal float64
	// StallingPerSecond is the rate of heavy prompts per second, and MinActive the number of
	// requests at the server with the fewest.
	StallingPerSecond, MinActive float64
	// ErrorShare is the mean share of requests that fail.
	ErrorShare float64
	// Slowdown is the mean of the measured times of a step over the expected ones.
	Slowdown float64
	// TokenMs is the mean of the measured times of a token; zero is unknown.
	TokenMs float64
}

// RegionSummary is a Summary as it was heard here.
type RegionSummary struct {
	Region string
	// Members is the number of the region's VMs that can be reached.
	Members int
	// RoundTrip is the time to the region and back.
	RoundTrip time.Duration
	Summary   Summary
	// Known is false where nothing was heard of the service.
	Known bool
}

// crossing records what this VM sent to a region lately.
type crossing struct {
	mu        sync.Mutex
	active    float64
	readingMs float64
	at        clock.Instant
}

func (c *crossing) fade(now clock.Instant) {
	f := math.Exp(-now.Sub(c.at).Seconds() / sendsFade.Seconds())
	c.active, c.readingMs, c.at = c.active*f, c.readingMs*f, now
}

func (b *Balancer) crossing(region, service string) *crossing {
	c, ok := b.crossings.Load(region + "\x00" + service)
	if !ok {
		c, _ = b.crossings.LoadOrStore(region+"\x00"+service, &crossing{})
	}
	return c.(*crossing)
}

// RecordCrossRegionSend records that a request was sent to a region.
func (b *Balancer) RecordCrossRegionSend(region, service string, e *Estimate, now clock.Instant) {
	c := b.crossing(region, service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade(now)
	c.active++
	c.readingMs += toMs(e.PrefillTime)
}

// chooseRegion returns the best of the other regions. The home region of the
// prompt's document is expected to hold it.
func (b *Balancer) chooseRegion(q *Query, home string) Plan {
	best := Plan{Reason: "no-region"}
	share := max(leastShare, b.Fleet.CapacityShare())
	for _, r := range b.Fleet.Regions(q.Service.Name) {
		if r.Members == 0 || !r.Known || r.Summary.Servers == 0 ||
			!q.Route.Permits(r.Region) || slices.Contains(q.TriedRegions, r.Region) {
			continue
		}
		held := 0
		if r.Region == home {
			held = q.Demand.sharedTokens()
		}
		e := b.regionEstimate(q, r, share, held)
		if best.Region == "" || e.Score < best.Estimate.Score {
			best = Plan{Region: r.Region, Estimate: e}
		}
	}
	return best
}

// regionEstimate weighs a region by its average server. The other VMs of the
// own region are taken to send as much as this one, by their capacity.
func (b *Balancer) regionEstimate(q *Query, r RegionSummary, share float64, held int) Estimate {
	c := b.crossing(r.Region, q.Service.Name)
	c.mu.Lock()
	c.fade(q.Now)
	n := float64(r.Summary.Servers)
	use := total{
		active: (r.Summary.Active + c.active/share) / n, readingMs: (r.Summary.PrefillBacklogMs + c.readingMs/share) / n,
		memory: r.Summary.Memory / n, heavy: r.Summary.StallingPerSecond / n,
		tokenMs: r.Summary.TokenMs,
	}
	c.mu.Unlock()
	var e Estimate
	if q.Service.Engine == nil {
		e = b.plainEstimate(q, max(1, r.Summary.Slots), use.active*n, r.Summary.Slowdown)
	} else {
		s := engineState{
			total: use, slots: float64(r.Summary.Slots) / n, memoryTotal: r.Summary.MemoryTotal / n, pace: r.Summary.Slowdown,
		}
		e = b.engineEstimate(q, s, held)
		if e.StallingPrefill {
			s.active = min(s.active, r.Summary.MinActive)
			e = b.engineEstimate(q, s, held)
		}
	}
	e.Score += errorMs * r.Summary.ErrorShare
	link := toMs(r.RoundTrip)
	e.TimeToFirstByte += r.RoundTrip
	e.Score += link + b.Tuning.CrossRegionMsPerKB*b.kilobytes(q)
	return e
}

// Summarize returns this VM's view of a service in its own region.
func (b *Balancer) Summarize(service *ingress.Service, view *roster.View, now clock.Instant) Summary {
	s := Summary{Service: service.Name}
	q := &Query{Now: now, Service: service}
	pace, token := 0.0, 0.0
	for _, server := range view.Usable(service.Name, b.Region) {
		load := b.Load(server.Key())
		if load.Unresponsive() || !load.Breaker.Ready(now) || load.silence(now) > silentAfter {
			continue
		}
		if cold, _ := b.cold(q, server, load, view); cold {
			continue
		}
		use := load.total(now)
		if s.Servers == 0 || use.active < s.MinActive {
			s.MinActive = use.active
		}
		s.Servers++
		s.Slots += max(1, server.Slots)
		s.Active += use.active
		s.PrefillBacklogMs += use.readingMs
		s.Memory += use.memory
		s.StallingPerSecond += use.heavy
		if service.Engine != nil {
			s.MemoryTotal += load.memoryTotal(service.Engine.MemoryTokens)
		}
		pace += load.paceOf(now)
		token += max(use.tokenMs, b.stepMs(use)*load.paceOf(now))
		s.ErrorShare += load.errors.value()
	}
	s.Slowdown = 1
	if s.Servers > 0 {
		s.Slowdown = pace / float64(s.Servers)
		s.TokenMs = token / float64(s.Servers)
		s.ErrorShare /= float64(s.Servers)
	}
	return s
}
