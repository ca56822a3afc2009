package resume

import (
	"encoding/binary"
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// slotWidth is the span of the streams that are published together, and slots the
	// number of such spans that are kept. Together they cover streamMemory.
	slotWidth = 2 * time.Second
	slots     = int(streamMemory/slotWidth) + 1
	// maxSlotStreams bounds the streams of one slot, so that its record stays below
	// the largest that VMs exchange.
	maxSlotStreams = 1500
)

// ownStreams are the streams that this VM began lately, in slots by time.
type ownStreams struct {
	slots [slots]slot
}

// slot holds the streams that began in a span of slotWidth.
type slot struct {
	index   int64
	streams []ownStream
	// changed means that not all streams that the other VMs need are published.
	changed bool
}

type ownStream struct {
	hash   uint64
	origin Origin
	// needed means that the other VMs need the stream's origin.
	needed bool
}

// add adds a stream that begins now.
func (o *ownStreams) add(hash uint64, origin Origin, now clock.Instant) {
	index := int64(now) / int64(slotWidth)
	s := &o.slots[index%int64(slots)]
	if s.index != index {
		*s = slot{index: index, streams: s.streams[:0]}
	}
	if len(s.streams) < maxSlotStreams {
		s.streams = append(s.streams, ownStream{hash: hash, origin: origin})
		s.changed = true
	}
}

// markBroken marks a stream as needed by the other VMs.
func (o *ownStreams) markBroken(hash uint64) {
	for i := range o.slots {
		s := &o.slots[i]
		for j := range s.streams {
			if s.streams[j].hash == hash && !s.streams[j].needed {
				s.streams[j].needed, s.changed = true, true
			}
		}
	}
}

// unpublished returns the records of the slots that have something new, by the name of
// their part. Streams of services of which isCertain holds are left out unless they
// broke off.
func (o *ownStreams) unpublished(isCertain func(service string) bool, now clock.Instant) iter.Seq2[string, streamsRecord] {
	oldest := int64(now.Add(-streamMemory)) / int64(slotWidth)
	return func(yield func(string, streamsRecord) bool) {
		for i := range o.slots {
			s := &o.slots[i]
			if s.index < oldest || len(s.streams) == 0 {
				continue
			}
			for j := range s.streams {
				if own := &s.streams[j]; !own.needed && !isCertain(own.origin.Service) {
					own.needed, s.changed = true, true
				}
			}
			if !s.changed {
				continue
			}
			s.changed = false
			if record := s.record(); len(record.Hashes) > 0 && !yield(strconv.Itoa(i), record) {
				return
			}
		}
	}
}

// record returns the needed streams of the slot.
func (s *slot) record() streamsRecord {
	var r streamsRecord
	for _, own := range s.streams {
		if own.needed {
			r.add(own.hash, own.origin)
		}
	}
	return r
}

// streamsRecord is the value of a KindStreams record: streams that a VM began. It is
// encoded as an array, whose fields may not change (gossip.Encode).
type streamsRecord struct {
	Origins []Origin
	// Hashes holds 8 bytes for each stream, and Which the index of its origin.
	Hashes []byte
	Which  []byte
}

// maxOrigins bounds the origins in a record, whose indexes are bytes.
const maxOrigins = 256

// add adds a stream, unless its origin exceeds the bound.
func (r *streamsRecord) add(hash uint64, origin Origin) {
	i := slices.Index(r.Origins, origin)
	if i < 0 {
		if len(r.Origins) == maxOrigins {
			return
		}
		i, r.Origins = len(r.Origins), append(r.Origins, origin)
	}
	r.Hashes, r.Which = binary.LittleEndian.AppendUint64(r.Hashes, hash), append(r.Which, byte(i))
}

// all returns the streams with their origins. Those without one are left out.
func (r *streamsRecord) all() iter.Seq2[uint64, Origin] {
	return func(yield func(uint64, Origin) bool) {
		for i, which := range r.Which {
			if len(r.Hashes) < 8*(i+1) || int(which) >= len(r.Origins) {
				continue
			}
			if !yield(binary.LittleEndian.Uint64(r.Hashes[8*i:]), r.Origins[which]) {
				return
			}
		}
	}
}
