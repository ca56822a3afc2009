// Package gossip distributes versioned records among VMs.
//
// A Store merges records: of two with the same key the one with the higher version
// wins. A Session produces deltas for one peer, which contain only the records that
// changed since the last delta. The package uses no network and no clock.
package gossip

import (
	"bytes"
	"cmp"
	"slices"
)

// Kind is the kind of a record.
type Kind uint8

// The kinds of records. The numbers are part of the peer protocol.
const (
	// KindMember is a gateway's announcement of itself; the name is its VM.
	KindMember Kind = 1
	// KindHeartbeat is a gateway's heartbeat; the name is its VM.
	KindHeartbeat Kind = 2
	// KindListing is the entry of a VM in the platform's list; the version is
	// the list's revision.
	KindListing Kind = 3
	// KindState is a backend server's state as found by health probes, without
	// its load.
	KindState Kind = 4
	// KindLoad is the load of a backend server.
	KindLoad Kind = 5
	// KindSummary is a region's summary of one model or service; the name is
	// the region, a slash and the target.
	KindSummary Kind = 6
	// KindRegion is a region's heartbeat to the other regions; the name is the
	// region, a slash and the VM that sends it.
	KindRegion Kind = 7
	// KindPrefixes is the set of prefixes in the cache of an engine.
	KindPrefixes Kind = 8
	// KindDemand is a gateway's demand by team; the name is its region, a
	// slash and its VM.
	KindDemand Kind = 9
	// KindServer is the registry's entry of a backend server, and
	// KindEvacuation is whether a failure domain is being evacuated; the
	// version is the registry's revision.
	KindServer     Kind = 10
	KindEvacuation Kind = 11
	// KindLeaving means that a backend server announced that it leaves; the name
	// is the server and the version the start of its process, in Unix
	// milliseconds.
	KindLeaving Kind = 12
	// KindEvidence is what a VM saw of crashes of backend servers and of the prompts
	// that may have caused them; the name is the VM, a slash and the part.
	KindEvidence Kind = 13
	// KindQuarantine is the quarantine of a prompt block; the name is the block.
	KindQuarantine Kind = 14
	// KindRequestLimit is the request limit that a backend server names; the name is
	// the server.
	KindRequestLimit Kind = 15
	// KindStreams is where streams began that a VM serves; the name is the VM, a slash
	// and the part. KindSoftwareVersions is which versions of the servers' software a VM
	// has seen lately; the name is the VM.
	KindStreams          Kind = 16
	KindSoftwareVersions Kind = 17
	// KindReach is which backend servers of its region a VM doesn't reach; the name is
	// the VM.
	KindReach Kind = 18
	// KindBrittle is at how many refusals in a second the servers of a service fall over;
	// the name is the service.
	KindBrittle Kind = 19
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is one versioned value, encoded by the package that defines its kind.
type Record struct {
	Key
	Version uint64
	Value   []byte
	// Span is for the filters of sessions: it says how far the record is passed on; zero is
	// no bound. It isn't sent.
	Span int
}

// isWider reports whether both records have a bound and r's is the wider one. A record without
// a bound that comes later has nothing to add: the one before is on its way to all.
func (r *Record) isWider(o *Record) bool { return o.Span != 0 && r.Span > o.Span }

// size returns the size of the name and value in bytes.
func (r *Record) size() int { return len(r.Name) + len(r.Value) }

// Limits on a store, which protect it from a faulty peer.
const (
	MaxRecords    = 20_000
	MaxStoreBytes = 8 << 20 // size of names and values
)

// Limits on one record. A record above them is left out; it would end the connections
// to the peers otherwise.
const (
	MaxNameBytes  = 256
	MaxValueBytes = 16 << 10
)

// entry is a record in a Store.
type entry struct {
	Record
	change uint64 // number of the change that stored the record
	// repeats is the entry before, if this one has the same record with a wider span. A record
	// becomes wider a few times at most.
	repeats *entry
}

// Store holds the newest record of each key. It isn't safe for concurrent use.
type Store struct {
	entries map[Key]*entry
	log     []*entry // entries in the order of their changes; some are replaced or deleted
	changes uint64   // number of changes so far
	bytes   int      // size of names and values
	// dropped is the number of records that were dropped because of a limit.
	dropped uint64
	// oversized is the number of records that were left out because of their size.
	oversized uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[Key]*entry{}} }

// Len returns the number of records.
func (s *Store) Len() int { return len(s.entries) }

// Dropped returns the number of records that were dropped because the store has
// MaxRecords records or MaxStoreBytes bytes.
func (s *Store) Dropped() uint64 { return s.dropped }

// Oversized returns the number of records that were left out because their name or
// value is too large.
func (s *Store) Oversized() uint64 { return s.oversized }

// Get returns the record with the key, if any.
func (s *Store) Get(key Key) (Record, bool) {
	e := s.entries[key]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Merge stores r if it is newer than the stored record with its key and within the
// limits, and reports whether it did. Equal versions are ordered by value, so that
// all members agree. A record that is stored already is passed on again if r is wider.
func (s *Store) Merge(r Record) bool {
	if isOversized(r.Name, r.Value) {
		s.oversized++
		return false
	}
	old := s.entries[r.Key]
	if old != nil && !newer(r, old.Record) {
		if !newer(old.Record, r) && r.isWider(&old.Record) {
			s.put(r).repeats = old
		}
		return false
	}
	growth := r.size()
	if old != nil {
		growth -= old.size()
	} else if len(s.entries) >= MaxRecords {
		s.dropped++
		return false
	}
	if growth > 0 && s.bytes+growth > MaxStoreBytes {
		s.dropped++
		return false
	}
	s.bytes += growth
	s.put(r)
	return true
}

// put stores r as the newest change and returns its entry.
func (s *Store) put(r Record) *entry {
	if old := s.entries[r.Key]; old != nil {
		old.Value = nil // the log keeps the entry for some time
	}
	s.changes++
	e := &entry{Record: r, change: s.changes}
	s.entries[r.Key] = e
	s.log = append(s.log, e)
	s.compact()
	return e
}

// isOversized reports whether a record is above the limits.
func isOversized(name string, value []byte) bool {
	return len(name) > MaxNameBytes || len(value) > MaxValueBytes
}

// Write stores value under key with the next version and reports whether it did.
// It does nothing if the value is unchanged.
func (s *Store) Write(key Key, value []byte) bool {
	old := s.entries[key]
	if old == nil {
		return s.Merge(Record{Key: key, Version: 1, Value: value})
	}
	if bytes.Equal(old.Value, value) {
		return false
	}
	return s.Merge(Record{Key: key, Version: old.Version + 1, Value: value})
}

// Delete removes a record from this store only; the deletion is not sent to peers.
func (s *Store) Delete(key Key) {
	if e := s.entries[key]; e != nil {
		s.bytes -= e.size()
		e.Value = nil // the log keeps the entry for some time
		delete(s.entries, key)
	}
}

// newer reports whether a replaces b.
func newer(a, b Record) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), bytes.Compare(a.Value, b.Value)) > 0
}

// compact removes replaced and deleted entries from the log once they make up a third
// of it.
func (s *Store) compact() {
	if len(s.log) < 64 || 2*len(s.log) < 3*len(s.entries) {
		return
	}
	s.log = slices.DeleteFunc(s.log, func(e *entry) bool { return s.entries[e.Key] != e })
}

// changedAfter returns the entries of the log that follow the given change.
func (s *Store) changedAfter(change uint64) []*entry {
	i, _ := slices.BinarySearchFunc(s.log, change+1, func(e *entry, c uint64) int {
		return cmp.Compare(e.change, c)
	})
	return s.log[i:]
}

// Each calls visit for each record of a kind, in no particular order.
func (s *Store) Each(kind Kind, visit func(Record)) {
	for key, e := range s.entries {
		if key.Kind == kind {
			visit(e.Record)
		}
	}
}
