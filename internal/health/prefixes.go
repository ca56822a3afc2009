package health

import (
	"slices"
	"strconv"
)

// MaxPrefixes bounds the tracked prefixes of one engine. The most recently stored
// ones are kept.
const MaxPrefixes = 64

// Events is the body of a response to GET /events.
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

// PrefixSet tracks the cached prefixes of an engine by its events, which may
// arrive late and with gaps. The zero value is an empty set.
type PrefixSet struct {
	// LastSeq is the sequence number of the last applied event.
	LastSeq  uint64
	prefixes []uint64 // in order of storage, oldest first
}

// Apply applies events in order. If the sequence numbers have a gap or restart,
// the prefixes tracked so far are dropped, as evictions may have been missed.
// Apply reports whether there was a gap or restart.
func (p *PrefixSet) Apply(events []Event) (gap bool) {
	for _, e := range events {
		if e.Seq != p.LastSeq+1 {
			p.prefixes = nil
			gap = true
		}
		p.LastSeq = e.Seq
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue
		}
		p.prefixes = slices.DeleteFunc(p.prefixes, func(other uint64) bool { return other == prefix })
		if e.Kind == EventStored {
			p.prefixes = append(p.prefixes, prefix)
		}
		if len(p.prefixes) > MaxPrefixes {
			p.prefixes = slices.Delete(p.prefixes, 0, len(p.prefixes)-MaxPrefixes)
		}
	}
	return gap
}

// Sorted returns the tracked prefixes in ascending order.
func (p *PrefixSet) Sorted() []uint64 { return slices.Sorted(slices.Values(p.prefixes)) }
