package gossip

import (
	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("gossip").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrMalformed says that a delta can't be read.
	ErrMalformed = Errors.NewType("malformed")
)

// Limits on one delta and one connection.
const (
	// MaxDeltaRecords bounds the records of one delta.
	MaxDeltaRecords = 512
	// MaxDeltaBytes bounds the values and names of one delta, roughly.
	MaxDeltaBytes = 64 << 10
	// MaxNames bounds the names that a connection may introduce.
	MaxNames = 20_000
)

// Delta is the changes in one message. Names are introduced once on each
// connection and numbered in the order of their introduction.
type Delta struct {
	Names   []string
	Records []Item
}

// Item is a record in a delta.
type Item struct {
	Kind    Kind
	Name    uint32
	Version uint64
	Value   []byte
}

// Session sends a store's changes to one neighbour over one connection.
type Session struct {
	store  *Store
	wants  func(Record) bool
	cursor uint64
	names  map[string]uint32
	// has is what the neighbour sent, so that it isn't sent back.
	has map[Key]Record
}

// NewSession returns a session that sends the records that wants accepts; nil
// accepts all. The first delta holds everything.
func NewSession(store *Store, wants func(Record) bool) *Session {
	return &Session{store: store, wants: wants, names: map[string]uint32{}, has: map[Key]Record{}}
}

// MarkReceived notes that the neighbour has the record.
func (s *Session) MarkReceived(r Record) { s.has[r.Key] = r }

// Next returns the next changes and whether there may be more at once. It
// takes in a bounded number of records.
func (s *Session) Next() (delta Delta, more bool) {
	size := 0
	for _, e := range s.store.since(s.cursor) {
		if len(delta.Records) == MaxDeltaRecords || size > MaxDeltaBytes {
			return delta, true
		}
		s.cursor = e.change
		if s.skip(e) {
			continue
		}
		delta.Records = append(delta.Records, Item{
			Kind: e.Kind, Name: s.number(&delta, e.Name), Version: e.Version, Value: e.Value,
		})
		size += len(e.Value) + len(e.Name)
	}
	return delta, false
}

func (s *Session) skip(e *entry) bool {
	if s.store.entries[e.Key] != e {
		return true // replaced since
	}
	if has, ok := s.has[e.Key]; ok {
		delete(s.has, e.Key)
		if !newer(e.Record, has) {
			return true
		}
	}
	return s.wants != nil && !s.wants(e.Record)
}

func (s *Session) number(delta *Delta, name string) uint32 {
	n, ok := s.names[name]
	if !ok {
		n = uint32(len(s.names))
		s.names[name] = n
		delta.Names = append(delta.Names, name)
	}
	return n
}

// Decoder reads the deltas of one connection in their order.
type Decoder struct {
	names []string
}

// Decode returns the records of a delta. The error is ErrMalformed; the
// connection is of no use afterwards.
func (d *Decoder) Decode(delta Delta) ([]Record, error) {
	if len(delta.Records) > MaxDeltaRecords {
		return nil, ErrMalformed.New("%d records in a delta", len(delta.Records))
	}
	if len(d.names)+len(delta.Names) > MaxNames {
		return nil, ErrMalformed.New("more than %d names", MaxNames)
	}
	for _, name := range delta.Names {
		if len(name) > MaxNameBytes {
			return nil, ErrMalformed.New("name of %d bytes", len(name))
		}
	}
	d.names = append(d.names, delta.Names...)
	records := make([]Record, 0, len(delta.Records))
	for _, item := range delta.Records {
		if int(item.Name) >= len(d.names) {
			return nil, ErrMalformed.New("name number %d is unknown", item.Name)
		}
		if len(item.Value) > MaxValueBytes {
			return nil, ErrMalformed.New("value of %d bytes", len(item.Value))
		}
		key := Key{Kind: item.Kind, Name: d.names[item.Name]}
		records = append(records, Record{Key: key, Version: item.Version, Value: item.Value})
	}
	return records, nil
}
