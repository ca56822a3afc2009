package edge

import (
	"log/slog"
	"runtime/metrics"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/linkuse"
)

const (
	// busyLinkShare is the share of the link's rate, in either direction, from which the link
	// counts as busy, and calmLinkShare the one below which it no longer does.
	busyLinkShare, calmLinkShare = 0.8, 0.6
	// busyDelay is the time that one in a hundred goroutines waits for the processor from
	// which the processor counts as busy, and calmDelay the one below which it no longer does.
	busyDelay, calmDelay = 100 * time.Millisecond, 40 * time.Millisecond
	// delayQuantile is the quantile of the waits for the processor that is reported.
	delayQuantile = 0.99
	// bytesPerMbit is the number of bytes per second of a rate of 1 Mbit/s.
	bytesPerMbit = 1e6 / 8
)

// resources observes what this process uses of its VM's link and how long its goroutines
// wait for the processor. Only the load exchange goroutine uses it.
type resources struct {
	log    *slog.Logger
	meter  *linkuse.Meter
	window *linkuse.Window
	// capacity is the rate of the link in bytes per second each way; zero means unknown.
	capacity                    float64
	kinds                       []kindCounters
	delays                      schedulingDelays
	linkShare, delay            tally.Gauge
	linkIsBusy, processorIsBusy bool
}

// kindCounters are the metrics of one kind of traffic, and what they have counted so far.
type kindCounters struct {
	kind                        linkuse.Kind
	sent, received, connections tally.Counter
	bytes                       linkuse.Bytes
	opened                      int64
}

func newResources(settings *Settings, log *slog.Logger, scope tally.Scope) *resources {
	r := &resources{
		log: log, meter: settings.Meter, window: linkuse.NewWindow(settings.Meter), capacity: settings.LinkMbps * bytesPerMbit,
		linkShare: scope.Gauge("link_share"), delay: scope.Gauge("scheduling_delay_seconds"),
	}
	for _, kind := range linkuse.Kinds() {
		tagged := func(direction string) tally.Scope {
			return scope.Tagged(map[string]string{"kind": kind.String(), "direction": direction})
		}
		r.kinds = append(r.kinds, kindCounters{
			kind: kind, sent: tagged("sent").Counter("link_bytes"), received: tagged("received").Counter("link_bytes"),
			connections: scope.Tagged(map[string]string{"kind": kind.String()}).Counter("link_connections"),
		})
	}
	return r
}

// observe is called once a second. It updates the metrics and logs when the link or the
// processor becomes busy, or no longer is.
func (r *resources) observe(now clock.Instant) {
	for i := range r.kinds {
		k := &r.kinds[i]
		total, opened := r.meter.Total(k.kind), r.meter.Connections(k.kind)
		k.sent.Inc(total.Sent - k.bytes.Sent)
		k.received.Inc(total.Received - k.bytes.Received)
		k.connections.Inc(opened - k.opened)
		k.bytes, k.opened = total, opened
	}
	rates, delay, share := r.window.Add(now), r.delays.sinceLast(delayQuantile), 0.0
	if r.capacity > 0 {
		share = float64(max(rates.Sum.Sent, rates.Sum.Received)) / r.capacity
	}
	r.linkShare.Update(share)
	r.delay.Update(delay.Seconds())
	if changed := becomes(&r.linkIsBusy, share, busyLinkShare, calmLinkShare); changed {
		r.logChange("link", r.linkIsBusy, share, delay, &rates)
	}
	if changed := becomes(&r.processorIsBusy, delay.Seconds(), busyDelay.Seconds(), calmDelay.Seconds()); changed {
		r.logChange("processor", r.processorIsBusy, share, delay, &rates)
	}
}

// becomes sets the state by the value and reports whether it has changed.
func becomes(state *bool, value, high, low float64) bool {
	if *state && value < low || !*state && value >= high {
		*state = !*state
		return true
	}
	return false
}

func (r *resources) logChange(resource string, busy bool, share float64, delay time.Duration, rates *linkuse.Rates) {
	r.log.Warn("use of the VM's resources changed", append([]any{
		"resource", resource, "busy", busy, "linkShare", share, "schedulingDelay", delay, "over", rates.Over,
	}, rates.LogAttrs()...)...)
}

// schedulingDelays measures how long goroutines that could run wait for the processor.
type schedulingDelays struct{ counts []uint64 }

// sinceLast returns a quantile of the waits since the last call, as the upper bound of its
// bucket; zero if there were none.
func (d *schedulingDelays) sinceLast(quantile float64) time.Duration {
	sample := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := sample[0].Value.Float64Histogram()
	if d.counts == nil {
		d.counts = make([]uint64, len(h.Counts))
	}
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - d.counts[i]
	}
	seen, found := uint64(0), -1
	for i, n := range h.Counts {
		if seen += n - d.counts[i]; found < 0 && total > 0 && float64(seen) >= quantile*float64(total) {
			found = i
		}
	}
	copy(d.counts, h.Counts)
	if found < 0 {
		return 0
	}
	// The last bucket has no upper bound.
	bound := h.Buckets[min(found+1, len(h.Buckets)-2)]
	return time.Duration(bound * float64(time.Second))
}
