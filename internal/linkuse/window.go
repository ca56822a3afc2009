package linkuse

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Rates are the rates of traffic in bytes per second.
type Rates struct {
	Kinds [kinds]Bytes
	Sum   Bytes
	// Over is the time over which they were measured; zero means that they are unknown.
	Over time.Duration
}

// Window measures the rates of the traffic that a Meter counts. It is not safe for concurrent
// use.
type Window struct {
	meter  *Meter
	at     clock.Instant
	totals [kinds]Bytes
}

// NewWindow returns a Window of which no rate is known yet.
func NewWindow(m *Meter) *Window { return &Window{meter: m} }

// Add returns the rates since the last call.
func (w *Window) Add(now clock.Instant) Rates {
	var r Rates
	if w.at != 0 {
		r.Over = now.Sub(w.at)
	}
	for kind := range kinds {
		total, before := w.meter.Total(kind), w.totals[kind]
		w.totals[kind] = total
		if r.Over <= 0 {
			continue
		}
		b := Bytes{Sent: perSecond(total.Sent-before.Sent, r.Over), Received: perSecond(total.Received-before.Received, r.Over)}
		r.Kinds[kind] = b
		r.Sum.Sent += b.Sent
		r.Sum.Received += b.Received
	}
	w.at = now
	return r
}

func perSecond(n int64, over time.Duration) int64 { return int64(float64(n) / over.Seconds()) }

// LogAttrs returns the rates by kind, in kilobytes per second sent and received, as the
// attributes of a log line.
func (r *Rates) LogAttrs() []any {
	attrs := []any{"sentKBps", r.Sum.Sent / 1000, "receivedKBps", r.Sum.Received / 1000}
	for kind, b := range r.Kinds {
		if b.Sent >= 1000 || b.Received >= 1000 {
			attrs = append(attrs, Kind(kind).String()+"Sent", b.Sent/1000, Kind(kind).String()+"Received", b.Received/1000)
		}
	}
	return attrs
}
