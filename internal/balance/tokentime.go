package balance

import (
	"math"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
)

// This file bounds how slowly an engine may produce tokens. Each stream that runs there slows the
// others down, so that an engine which takes all that its slots allow ends none of its long
// responses before their deadlines: their work is lost.

const (
	// longOutputQuantile is the quantile of a route's output that counts as long, and
	// outputStep the relative step by which one response moves the estimate of it.
	longOutputQuantile = 0.95
	outputStep         = 0.02
	// decodeShare is the share of a route's timeout in which a long response is to be
	// produced. The rest is for the wait and the prefill.
	decodeShare = 0.8
	// tokenTimeMargin is the time per token up to which an engine gets the least urgent
	// requests, as a multiple of the longest one with which long responses end in time. The
	// measured time per token includes prefills, after which it falls again.
	tokenTimeMargin = 1.1
	// slowRetry is the time after which an engine that is too slow may have ended some of its
	// streams.
	slowRetry = 3 * time.Second
)

// ReasonSlow means that the servers produce tokens so slowly that long responses would not end in
// time.
const ReasonSlow = "servers-slow"

// outputs holds the long output of each route, in tokens, as recent requests stated it.
type outputs struct {
	mu   sync.Mutex
	long map[string]float64 // by route
}

// RecordOutput records the expected output of a request of a route.
func (b *Balancer) RecordOutput(route *ingress.Route, d *Demand) {
	tokens := d.expectedOutput()
	if tokens <= 0 || route.Timeout <= 0 {
		return
	}
	b.outputs.mu.Lock()
	defer b.outputs.mu.Unlock()
	long, known := b.outputs.long[route.Name]
	switch {
	case !known:
		long = tokens
	case tokens > long:
		long *= 1 + outputStep*longOutputQuantile
	default:
		long *= 1 - outputStep*(1-longOutputQuantile)
	}
	b.outputs.long[route.Name] = long
}

// maxTokenMs returns the longest time per token, in milliseconds, with which long responses of
// all routes of a service end in time; infinity if none is known.
func (b *Balancer) maxTokenMs(routes []*ingress.Route) float64 {
	b.outputs.mu.Lock()
	defer b.outputs.mu.Unlock()
	longest := math.Inf(1)
	for _, r := range routes {
		if long := b.outputs.long[r.Name]; long > 0 && r.Timeout > 0 {
			longest = min(longest, decodeShare*toMs(r.Timeout)/long)
		}
	}
	return longest
}

// tooSlow reports whether an engine that takes the request would produce tokens so slowly that
// long responses don't end in time. What is more urgent than other requests of the service is
// sent there regardless.
func (b *Balancer) tooSlow(q *Query, e *Estimate) bool {
	return q.MaxTokenMs > 0 && e.TokenMs > tokenTimeMargin*q.MaxTokenMs
}

// MaxTokenMs returns the value of Query.MaxTokenMs for requests of a route, given all routes
// that share its service.
func (b *Balancer) MaxTokenMs(route *ingress.Route, service *ingress.Service, routes []*ingress.Route) float64 {
	if service.Engine == nil || !route.LeastUrgent {
		return 0
	}
	if longest := b.maxTokenMs(routes); !math.IsInf(longest, 1) {
		return longest
	}
	return 0
}

// MaxQueueWait returns the longest wait at a server, before the prefill, with which a request
// that has waited for some time is still sent, of the callers' patience. Those that are less
// urgent than all others of their service may not wait beyond their objectives: under overload
// they would all be late, and make what is behind them late too.
func MaxQueueWait(route *ingress.Route, waited, patience time.Duration) time.Duration {
	if !route.LeastUrgent || route.LatencyObjective <= 0 {
		return patience
	}
	return min(patience, route.LatencyObjective-waited)
}
