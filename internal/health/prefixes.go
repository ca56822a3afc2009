package health

import (
	"slices"
	"strconv"
)

// MaxPrefixes bounds the cached prefixes that are kept of one engine: the ones
// that were stored last.
const MaxPrefixes = 64

// Events is the body of an answer to GET /events.
type Events struct {
	Events []Event `json:"events"`
}

// Event is one change of an engine's prefix cache.
type Event struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Prefix identifies the prefix, in hexadecimal.
	Prefix string `json:"prefix"`
}

// The kinds of cache events.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

// PrefixSet follows the cached prefixes of an engine from its events, which
// come late and with gaps. The zero value knows nothing.
type PrefixSet struct {
	// LastSeq is the number of the last event that was applied.
	LastSeq uint64
	order []uint64 // the last stored one at the end
}

// Apply takes in events in order. A gap, or numbers that start again, drops
// what was known before. It reports whether anything was dropped so.
func (p *PrefixSet) Apply(events []Event) (gap bool) {
	for _, e := range events {
		if e.Seq != p.LastSeq+1 {
			p.order = nil
			gap = true
		}
		p.LastSeq = e.Seq
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue
		}
		p.order = slices.DeleteFunc(p.order, func(other uint64) bool { return other == prefix })
		if e.Kind == EventStored {
			p.order = append(p.order, prefix)
		}
		if len(p.order) > MaxPrefixes {
			p.order = slices.Delete(p.order, 0, len(p.order)-MaxPrefixes)
		}
	}
	return gap
}

// Sorted returns the known prefixes in numerical order.
func (p *PrefixSet) Sorted() []uint64 { return slices.Sorted(slices.Values(p.order)) }
