// Package gossip spreads versioned records among the members of a region.
//
// A Store merges records: of two with the same key the higher version wins. A
// Session sends to one neighbour only what changed since its last message. The
// package has no sockets and no clock.
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
	// KindMember is a gateway's word about itself; the name is its VM.
	KindMember Kind = 1
	// KindHeartbeat is a gateway's heartbeat; the name is its VM.
	KindHeartbeat Kind = 2
	// KindListing is a VM's entry in the platform's list; the version is the
	// list's revision.
	KindListing Kind = 3
	// KindState is what probes say of a backend server, without its load.
	KindState Kind = 4
	// KindLoad is the load of a backend server.
	KindLoad Kind = 5
	// KindSummary is a region's report of one model or service; the name is
	// the region, a slash and the target.
	KindSummary Kind = 6
	// KindRegion is a region's heartbeat to the others; the name is the
	// region, a slash and the carrying VM.
	KindRegion Kind = 7
	// KindPrefixes is the cached prefixes of an engine.
	KindPrefixes Kind = 8
	// KindDemand is a gateway's demand by team; the name is its region, a
	// slash and its VM.
	KindDemand Kind = 9
	// KindServer is the registry's word about a backend server, and
	// KindEvacuation about a failure domain; the version is the registry's
	// revision.
	KindServer     Kind = 10
	KindEvacuation Kind = 11
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is one versioned value. The value is encoded by its owner.
type Record struct {
	Key
	Version uint64
	Value   []byte
}

func (r *Record) size() int { return len(r.Name) + len(r.Value) }

// Bounds on a store, against a faulty peer.
const (
	MaxRecords    = 20_000
	MaxStoreBytes = 8 << 20 // names and values
)

// Limits on one record.
const (
	MaxNameBytes  = 256
	MaxValueBytes = 16 << 10
)

type entry struct {
	Record
	change uint64 // the store's change counter when the record was stored
}

// Store holds the newest record of each key. It isn't safe for concurrent use.
type Store struct {
	entries map[Key]*entry
	log     []*entry // entries in the order of their last change, with stale slots
	changes uint64
	bytes   int // of names and values
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[Key]*entry{}} }

// Len returns the number of records.
func (s *Store) Len() int { return len(s.entries) }

// Get returns the record of key.
func (s *Store) Get(key Key) (Record, bool) {
	e := s.entries[key]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Merge stores r if it is newer than what the store holds, and reports whether
// it did. Equal versions are ordered by value, so that all members agree.
func (s *Store) Merge(r Record) bool {
	old := s.entries[r.Key]
	if old != nil && !newer(r, old.Record) {
		return false
	}
	grown := r.size()
	if old != nil {
		grown -= old.size()
	} else if len(s.entries) >= MaxRecords {
		return false
	}
	if grown > 0 && s.bytes+grown > MaxStoreBytes {
		return false
	}
	s.bytes += grown
	s.changes++
	e := &entry{Record: r, change: s.changes}
	s.entries[r.Key] = e
	s.log = append(s.log, e)
	s.compact()
	return true
}

// Write stores value under key with the next version. It does nothing and
// returns false if the value is unchanged.
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

// Delete forgets a record. It isn't told to others.
func (s *Store) Delete(key Key) {
	if e := s.entries[key]; e != nil {
		s.bytes -= e.size()
		delete(s.entries, key)
	}
}

func newer(a, b Record) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), bytes.Compare(a.Value, b.Value)) > 0
}

// compact drops log slots of replaced entries once they are the majority.
func (s *Store) compact() {
	if len(s.log) < 64 || len(s.log) < 2*len(s.entries) {
		return
	}
	s.log = slices.DeleteFunc(s.log, func(e *entry) bool { return s.entries[e.Key] != e })
}

// since returns the entries that changed after the given change, in order.
func (s *Store) since(change uint64) []*entry {
	i, _ := slices.BinarySearchFunc(s.log, change+1, func(e *entry, c uint64) int {
		return cmp.Compare(e.change, c)
	})
	return s.log[i:]
}

// Each calls visit for each record of a kind.
func (s *Store) Each(kind Kind, visit func(Record)) {
	for key, e := range s.entries {
		if key.Kind == kind {
			visit(e.Record)
		}
	}
}
