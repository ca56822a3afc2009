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

// Summary is the load of one service in a region, as its VMs publish it.
type Summary struct {
	Service string
	// Servers is the number of warm servers that accept requests and name no request
	// limit. Slots, Active, PrefillBacklogMs, Memory, MemoryTotal and StallingPerSecond
	// are sums over them.
	Servers int
	Slots   int
	Active  float64
	// PrefillBacklogMs is the prefill time of the prompts that are being prefilled
	// or wait for it.
	PrefillBacklogMs float64
	// Memory and MemoryTotal are in tokens.
	Memory, MemoryTotal float64
	// StallingPerSecond is the rate of stalling prompts, and MinActive the lowest
	// number of requests at one server.
	StallingPerSecond, MinActive float64
	// ErrorShare is the servers' mean share of requests that fail.
	ErrorShare float64
	// Slowdown is the servers' mean ratio of measured to expected time.
	Slowdown float64
	// TokenMs is the servers' mean time per token; zero means unknown.
	TokenMs float64
	// Limited means that all servers name request limits. Servers and the sums are then
	// those of the servers that would take another request of the publisher. Cold means
	// that all are cold. They are then those of whose rates the publisher has a share.
	Limited, Cold bool
}

// RegionSummary is a region's Summary as received by this VM.
type RegionSummary struct {
	Region string
	// Members is the number of the region's VMs that accept requests and reach a server
	// of the service.
	Members int
	// RoundTrip is the network round-trip time to the region.
	RoundTrip time.Duration
	Summary   Summary
	// Known is false if no summary of the service was received.
	Known bool
}

// recentSends is a decaying total of what this VM sent to a region recently.
type recentSends struct {
	// delay is the time constant.
	delay     time.Duration
	mu        sync.Mutex
	active    float64
	prefillMs float64
	at        clock.Instant
}

// decay discounts earlier sends. The caller holds the lock.
func (c *recentSends) decay(now clock.Instant) {
	f := math.Exp(-now.Sub(c.at).Seconds() / c.delay.Seconds())
	c.active, c.prefillMs, c.at = c.active*f, c.prefillMs*f, now
}

// count returns the decayed number of requests.
func (c *recentSends) count(now clock.Instant) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	return c.active
}

// ofAll returns what all VMs of this region are assumed to have sent since the last
// summary: the others as much as this one, which has the given share of their capacity, but
// no more requests than the region has room for, as no request may seem to be hopeless for
// an assumption. A single request says little about many others.
func (c *recentSends) ofAll(share, room float64, now clock.Instant) (active, prefillMs float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	if c.active == 0 {
		return 0, 0
	}
	first := min(c.active, 1)
	others := first/max(share, minShareOfOne) + (c.active-first)/share - c.active
	active = c.active + min(others, room)
	return active, active * c.prefillMs / c.active
}

type regionSendsKey struct {
	region, service string
	delay           time.Duration
}

func (b *Balancer) recentSends(region, service string) *recentSends {
	key := regionSendsKey{region: region, service: service, delay: summaryDelay}
	if b.Fleet.LargeRegion() {
		key.delay = largeSummaryDelay
	}
	c, ok := b.regionSends.Load(key)
	if !ok {
		c, _ = b.regionSends.LoadOrStore(key, &recentSends{delay: key.delay})
	}
	return c.(*recentSends)
}

// RecordCrossRegionSend records that a request was sent to another region.
func (b *Balancer) RecordCrossRegionSend(region, service string, e *Estimate, now clock.Instant) {
	c := b.recentSends(region, service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.active++
	c.prefillMs += toMs(e.PrefillTime)
}

// chooseRegion returns the best of the other regions whose servers are warm or, if cold is
// true, cold. The home region is expected to have the prompt's shared blocks cached.
func (b *Balancer) chooseRegion(q *Query, view *roster.View, home string, cold bool) Plan {
	best := Plan{Reason: "no-region"}
	share := b.Fleet.CapacityShare()
	for _, r := range b.Fleet.Regions(q.Service.Name) {
		if r.Members == 0 || !r.Known || r.Summary.Servers == 0 || r.Summary.Cold != cold ||
			!q.permitsRegion(r.Region) || slices.Contains(q.TriedRegions, r.Region) || !b.hasPermitted(q, view, r.Region) {
			continue
		}
		// This VM's share of the requests that these servers take now is used up.
		if (r.Summary.Limited || r.Summary.Cold) && b.recentSends(r.Region, q.Service.Name).count(q.Now) >= share*float64(r.Summary.Servers) {
			continue
		}
		cached := 0
		if r.Region == home {
			cached = q.Demand.sharedTokens()
		}
		e := b.regionEstimate(q, r, share, cached)
		if b.tooSlow(q, &e) {
			continue
		}
		if best.Region == "" || e.Score < best.Estimate.Score {
			best = Plan{Region: r.Region, Estimate: e}
		}
	}
	return best
}

// hasPermitted reports whether a region has a server at whose software version the
// request may go on.
func (b *Balancer) hasPermitted(q *Query, view *roster.View, region string) bool {
	return q.SoftwareVersion == nil || slices.ContainsFunc(view.Usable(q.Service.Name, region), func(s *roster.Server) bool {
		return s.SoftwareVersion == *q.SoftwareVersion
	})
}

// regionEstimate scores a region by its average server.
func (b *Balancer) regionEstimate(q *Query, r RegionSummary, share float64, cached int) Estimate {
	n, slots := float64(r.Summary.Servers), float64(r.Summary.Slots)
	room := max(0, maxAssumedOccupancy*slots-r.Summary.Active)
	active, prefillMs := b.recentSends(r.Region, q.Service.Name).ofAll(share, room, q.Now)
	use := totalUsage{
		active: (r.Summary.Active + active) / n, prefillBacklogMs: (r.Summary.PrefillBacklogMs + prefillMs) / n,
		memory: r.Summary.Memory / n, stallingPerSecond: r.Summary.StallingPerSecond / n,
		tokenMs: r.Summary.TokenMs,
	}
	var e Estimate
	if q.Service.Engine == nil {
		e = b.plainEstimate(q, max(1, r.Summary.Slots), use.active*n, r.Summary.Slowdown)
	} else {
		s := engineState{
			totalUsage: use, slots: float64(r.Summary.Slots) / n, memoryTotal: r.Summary.MemoryTotal / n, slowdown: r.Summary.Slowdown,
		}
		e = b.engineEstimate(q, s, cached)
		if e.StallingPrefill {
			// The region sends stalling prompts to its servers with few requests.
			s.active = min(s.active, r.Summary.MinActive)
			e = b.engineEstimate(q, s, cached)
		}
	}
	e.Score += errorPenaltyMs * r.Summary.ErrorShare
	link := toMs(r.RoundTrip)
	e.TimeToFirstByte += r.RoundTrip
	e.Score += link + b.Tuning.CrossRegionMsPerKB*b.transferKB(q)
	return e
}

// Summarize returns the load of a service in this region as this VM knows it.
func (b *Balancer) Summarize(service *ingress.Service, view *roster.View, now clock.Instant) Summary {
	withoutLimit := func(load *Load, _ *roster.Server) bool { return load.RateLimiter.Limit() == 0 }
	if s := b.summarize(service, view, now, withoutLimit); s.Servers > 0 {
		return s
	}
	s := b.summarize(service, view, now, func(load *Load, server *roster.Server) bool {
		reason, _ := b.AdmissionDelay(server, load, now)
		return load.RateLimiter.Limit() > 0 && reason == ""
	})
	if s.Limited = s.Servers > 0; s.Limited {
		return s
	}
	s = b.summarizeCold(service, view, now)
	s.Cold = s.Servers > 0
	return s
}

// serves reports whether this VM or another one of the region can send requests to a
// server now.
func (b *Balancer) serves(s *roster.Server, load *Load, now clock.Instant) bool {
	if load.Link.Lost() {
		return b.Fleet.ReachedByPeer(s.Service, s.ID)
	}
	return load.Breaker.Ready(now) && load.noProgressFor(now) <= unresponsiveAfter
}

// summarizeCold returns the load of the cold servers of whose rates this VM has a share. It
// may be used up now: requests of other VMs compete for it with those of this VM's callers.
func (b *Balancer) summarizeCold(service *ingress.Service, view *roster.View, now clock.Instant) Summary {
	return b.summarizeIf(service, view, now, func(load *Load, server *roster.Server) bool {
		cold, allowance := b.coldAllowance(service, server, load, view, now)
		reason, _ := b.AdmissionDelay(server, load, now)
		return cold && reason == "" && allowance > 0
	})
}

// summarize returns the load of the warm servers that include selects.
func (b *Balancer) summarize(service *ingress.Service, view *roster.View, now clock.Instant, include func(*Load, *roster.Server) bool) Summary {
	return b.summarizeIf(service, view, now, func(load *Load, server *roster.Server) bool {
		return !isCold(service, server, load, view, now) && include(load, server)
	})
}

// summarizeIf returns the load of the servers that include selects, of those to which
// requests can be sent.
func (b *Balancer) summarizeIf(service *ingress.Service, view *roster.View, now clock.Instant, include func(*Load, *roster.Server) bool) Summary {
	s := Summary{Service: service.Name}
	slowdown, token := 0.0, 0.0
	for _, server := range view.Usable(service.Name, b.Region) {
		load := b.Load(server.Key())
		if !b.serves(server, load, now) {
			continue
		}
		if !include(load, server) {
			continue
		}
		use := load.totalUsage(now)
		if b.mayBeDown(service, load, now) {
			use.active = max(use.active, float64(server.Slots))
		}
		if s.Servers == 0 || use.active < s.MinActive {
			s.MinActive = use.active
		}
		s.Servers++
		s.Slots += load.windowSlots(max(1, server.Slots), isCold(service, server, load, view, now), now)
		s.Active += use.active
		s.PrefillBacklogMs += use.prefillBacklogMs
		s.Memory += use.memory
		s.StallingPerSecond += use.stallingPerSecond
		if service.Engine != nil {
			s.MemoryTotal += load.memoryTotal(service.Engine.MemoryTokens)
		}
		slowdown += load.slowdown(now)
		token += max(use.tokenMs, b.decodeStepMs(use)*load.slowdown(now))
		s.ErrorShare += load.errorShare.value()
	}
	s.Slowdown = 1
	if s.Servers > 0 {
		s.Slowdown = slowdown / float64(s.Servers)
		s.TokenMs = token / float64(s.Servers)
		s.ErrorShare /= float64(s.Servers)
	}
	return s
}

// Occupancy is how far the servers of a service in this region are in use.
type Occupancy struct {
	// Slots is the number of the slots of the servers that take requests, Own the number of
	// this VM's requests there, and Active that of all VMs as far as this VM knows.
	Slots, Own int
	Active     float64
	// Known means that Active includes the requests of the other VMs.
	Known bool
	// Servers is the number of these servers.
	Servers int
	// Share is this VM's fraction of the slots.
	Share float64
}

// Occupancy returns how far the servers of a service in this region that this VM reaches are
// in use.
func (b *Balancer) Occupancy(service *ingress.Service, view *roster.View, now clock.Instant) Occupancy {
	// In a large region, other VMs' requests show in the reports of engines only.
	o := Occupancy{Share: b.Fleet.CapacityShare(), Known: service.Engine != nil || !b.Fleet.LargeRegion()}
	for _, server := range view.Usable(service.Name, b.Region) {
		load := b.Load(server.Key())
		if load.Link.Lost() || !load.Breaker.Ready(now) || load.noProgressFor(now) > unresponsiveAfter {
			continue
		}
		o.Servers++
		o.Slots += max(1, server.Slots)
		o.Own += int(load.active.Load())
		o.Active += load.totalUsage(now).active
	}
	return o
}

// maxRoomOccupancy is the share of another region's slots in use up to which it has room for
// requests for which this one has none: what is known of it is up to a second old.
const maxRoomOccupancy = 0.8

// RoomElsewhere reports whether another region that may serve the request has free slots.
func (b *Balancer) RoomElsewhere(q *Query) bool {
	if q.LocalOnly {
		return false
	}
	return slices.ContainsFunc(b.Fleet.Regions(q.Service.Name), func(r RegionSummary) bool {
		s := &r.Summary
		return r.Members > 0 && r.Known && !s.Cold && !s.Limited && q.permitsRegion(r.Region) && !slices.Contains(q.TriedRegions, r.Region) &&
			s.Active+b.recentSends(r.Region, q.Service.Name).count(q.Now)/b.Fleet.CapacityShare() < maxRoomOccupancy*float64(s.Slots)
	})
}
