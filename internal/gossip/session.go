package gossip

import (
	"unique"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("gossip").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrMalformed means that a value can't be encoded or decoded, or that a
	// delta exceeds a limit.
	ErrMalformed = Errors.NewType("malformed")
)

// Limits on one delta and one connection.
const (
	// MaxDeltaRecords is the maximum number of records in one delta.
	MaxDeltaRecords = 512
	// MaxDeltaBytes is the size of values and names in bytes at which a delta is
	// closed. The record that exceeds it is still included.
	MaxDeltaBytes = 64 << 10
	// MaxNames is the maximum number of names that one connection may introduce.
	MaxNames = 20_000
)

// Delta holds the changes in one message. Each name is sent once per connection, in
// Names; items refer to it by its index in the order of sending. A delta and its
// items are encoded as arrays, whose fields may not change (Encode).
type Delta struct {
	Names   []string
	Records []Item
}

// Item is a record in a delta. Name is the index of the name.
type Item struct {
	Kind    Kind
	Name    uint32
	Version uint64
	Value   []byte
}

// Session produces the deltas that bring one peer up to date with a store over one
// connection.
type Session struct {
	store  *Store
	filter func(Record) bool
	cursor uint64 // last change of the store that was handled
	names  map[string]uint32
	// received holds the records that the peer sent, which are not sent back.
	received map[Key]Record
}

// NewSession returns a session for the records that filter accepts; a nil filter
// accepts all. The first deltas contain the whole store.
func NewSession(store *Store, filter func(Record) bool) *Session {
	return &Session{store: store, filter: filter, names: map[string]uint32{}, received: map[Key]Record{}}
}

// MarkReceived records that the peer sent r, so that r is not sent back.
func (s *Session) MarkReceived(r Record) { s.received[r.Key] = r }

// Next returns the pending changes, up to the limits of one delta, and whether more
// may be pending.
func (s *Session) Next() (delta Delta, more bool) {
	size, handled := 0, s.cursor
	for _, e := range s.store.changedAfter(s.cursor) {
		if len(delta.Records) == MaxDeltaRecords || size > MaxDeltaBytes {
			return delta, true
		}
		s.cursor = e.change
		if s.skip(e, handled) {
			continue
		}
		delta.Records = append(delta.Records, Item{
			Kind: e.Kind, Name: s.nameIndex(&delta, e.Name), Version: e.Version, Value: e.Value,
		})
		size += len(e.Value) + len(e.Name)
	}
	return delta, false
}

// skip reports whether the entry need not be sent. Handled is the last change that an earlier
// delta covered.
func (s *Session) skip(e *entry, handled uint64) bool {
	if s.store.entries[e.Key] != e {
		return true // replaced or deleted
	}
	if known, ok := s.received[e.Key]; ok {
		delete(s.received, e.Key)
		if !newer(e.Record, known) {
			return true
		}
	}
	if s.filter == nil {
		return false
	}
	for before := e.repeats; before != nil; before = before.repeats {
		if before.change <= handled && s.filter(before.Record) {
			return true // sent already
		}
	}
	return !s.filter(e.Record)
}

// nameIndex returns the index of a name on the connection and adds a new name to
// the delta.
func (s *Session) nameIndex(delta *Delta, name string) uint32 {
	n, ok := s.names[name]
	if !ok {
		n = uint32(len(s.names))
		s.names[name] = n
		delta.Names = append(delta.Names, name)
	}
	return n
}

// Decoder decodes the deltas of one connection in the order of sending. Connections share
// the memory of their names, which are mostly the same.
type Decoder struct {
	names   []unique.Handle[string]
	skipped int
}

// Skipped returns the number of records that were left out because their name or value
// is too large.
func (d *Decoder) Skipped() int { return d.skipped }

// Decode returns the records of a delta, without those that are too large. The error is
// ErrMalformed, after which the connection must be closed.
func (d *Decoder) Decode(delta Delta) ([]Record, error) {
	if len(delta.Records) > MaxDeltaRecords {
		return nil, ErrMalformed.New("too many records in a delta: %d", len(delta.Records))
	}
	if len(d.names)+len(delta.Names) > MaxNames {
		return nil, ErrMalformed.New("more than %d names on a connection", MaxNames)
	}
	for _, name := range delta.Names {
		// A name that is too long is cut, but stays recognizable as too long.
		d.names = append(d.names, unique.Make(name[:min(len(name), MaxNameBytes+1)]))
	}
	records := make([]Record, 0, len(delta.Records))
	for _, item := range delta.Records {
		if int(item.Name) >= len(d.names) {
			return nil, ErrMalformed.New("name number %d is unknown", item.Name)
		}
		key := Key{Kind: item.Kind, Name: d.names[item.Name].Value()}
		if isOversized(key.Name, item.Value) {
			d.skipped++
			continue
		}
		records = append(records, Record{Key: key, Version: item.Version, Value: item.Value})
	}
	return records, nil
}
