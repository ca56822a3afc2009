// Package roster keeps what the service registry says of backend servers and
// of failure domains that are being evacuated.
//
// Each fact bears the registry's revision; an older one never replaces a newer
// one, whoever brings it. Readers load an immutable View.
package roster

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// returnGrace is how long an entry that lapsed while the registry was away
	// may take to come back after the registry has: the operators state two
	// seconds, and half a second is added for the watch to deliver it.
	returnGrace = 2500 * time.Millisecond
	// outageMemory is how long after an outage a removal may still be due to
	// it.
	outageMemory = returnGrace
)

// Entry is a backend server's own word in the registry.
type Entry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining means that the server takes no new work.
	Draining bool
	// ColdFor is how long the server stays cold, counted from its word.
	ColdFor time.Duration
	// LeavesIn is the time until the server is stopped, whatever it runs; zero
	// means that no stop is announced.
	LeavesIn time.Duration
	// Started is when the server's process started, in Unix milliseconds. A
	// higher one under the same ID is another incarnation.
	Started int64
}

// Server is a backend server as this process knows it. It is immutable.
type Server struct {
	Entry
	// Revision is the registry's revision of the entry.
	Revision uint64
	// Seen is when this process first heard of this incarnation.
	Seen clock.Instant
	// ColdUntil is when the server is expected to be warm.
	ColdUntil clock.Instant
	// missing is when the entry was found missing after an outage of the
	// registry; zero means that it is there.
	missing clock.Instant
}

// Key names the server's incarnation.
func (s *Server) Key() ServerKey { return ServerKey{s.ID, s.Started} }

// ServerKey names one incarnation of a backend server.
type ServerKey struct {
	ID      string
	Started int64
}

// View is what may be used now. It is immutable.
type View struct {
	services map[string][]*Server
	byID     map[string]*Server
	all      []*Server
	// Evacuated holds the failure domains that get no work.
	Evacuated map[string]bool
	returned  map[string]clock.Instant
	regions   []string
}

// Regions returns the regions that have servers which may get new work, in
// order.
func (v *View) Regions() []string { return v.regions }

// EvacuationEndedAt returns when the evacuation of a failure domain was seen to end,
// or zero.
func (v *View) EvacuationEndedAt(domain string) clock.Instant { return v.returned[domain] }

// Usable returns the servers of a service in a region that may get new work.
func (v *View) Usable(service, region string) []*Server {
	return v.services[service+"\x00"+region]
}

// Lookup returns the server of an id, or nil. It may be draining.
func (v *View) Lookup(id string) *Server { return v.byID[id] }

// IsUsable reports whether the server may still get new work, under the
// view. It is asked right before a request is sent.
func (v *View) IsUsable(s *Server) bool {
	now := v.byID[s.ID]
	return now != nil && now.Started == s.Started && now.Address == s.Address &&
		!now.Draining && !v.Evacuated[s.FailureDomain]
}

// All returns every known server, ordered by id. Callers must not change it.
func (v *View) All() []*Server { return v.all }

// Roster takes in the registry's words.
type Roster struct {
	log *slog.Logger

	mu      sync.Mutex
	servers map[string]*Server
	// removed holds the revisions of removals, so that an older word of a peer
	// brings no entry back.
	removed map[string]uint64
	zones   map[string]zoneWord
	away    bool
	back    clock.Instant // end of the last outage
	view    atomic.Pointer[View]
}

// zoneWord says whether a failure domain is being evacuated.
type zoneWord struct {
	revision uint64
	on       bool
	ended    clock.Instant
}

// New returns an empty roster.
func New(log *slog.Logger) *Roster {
	r := &Roster{log: log, servers: map[string]*Server{}, removed: map[string]uint64{}, zones: map[string]zoneWord{}}
	r.publish()
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// Put takes in an entry of the registry at its revision and reports whether it
// was news.
func (r *Roster) Put(e Entry, revision uint64, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.servers[e.ID]
	if old != nil && old.Revision >= revision {
		if old.Revision == revision && old.missing != 0 {
			r.restore(old)
		}
		return false
	}
	if r.removed[e.ID] >= revision {
		return false
	}
	delete(r.removed, e.ID)
	s := &Server{Entry: e, Revision: revision, Seen: now}
	if old != nil && old.Started == e.Started {
		s.Seen, s.ColdUntil = old.Seen, old.ColdUntil
	}
	if e.ColdFor > 0 {
		s.ColdUntil = max(s.ColdUntil, now.Add(e.ColdFor))
	}
	r.servers[e.ID] = s
	r.log.Info("backend server changed", "server", e.ID, "service", e.Service, "address", e.Address,
		"failureDomain", e.FailureDomain, "draining", e.Draining, "coldFor", e.ColdFor, "leavesIn", e.LeavesIn,
		"revision", revision)
	r.publish()
	return true
}

func (r *Roster) restore(old *Server) {
	s := *old
	s.missing = 0
	r.servers[s.ID] = &s
	r.publish()
}

// Remove takes in that an entry has gone at the given revision.
func (r *Roster) Remove(id string, revision uint64, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.servers[id]
	if r.removed[id] >= revision || old != nil && old.Revision >= revision {
		return false
	}
	r.removed[id] = revision
	if old == nil {
		return true
	}
	if r.recentOutage(now) && !old.Draining {
		r.suspend(old, now)
		return true
	}
	delete(r.servers, id)
	r.log.Info("backend server gone", "server", id, "service", old.Service, "revision", revision)
	r.publish()
	return true
}

// suspend keeps an entry that may have lapsed only because the registry was
// away.
func (r *Roster) suspend(old *Server, now clock.Instant) {
	if old.missing != 0 {
		return
	}
	s := *old
	s.missing = now
	r.servers[s.ID] = &s
	r.log.Info("backend server missing after an outage of the registry", "server", s.ID, "service", s.Service,
		"grace", returnGrace)
}

// ApplyServerList takes in a whole list, read at the given revision: entries that it
// lacks are gone.
func (r *Roster) ApplyServerList(ids map[string]bool, revision uint64, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, old := range r.servers {
		if ids[id] || old.Revision > revision {
			continue
		}
		if r.recentOutage(now) && !old.Draining {
			r.suspend(old, now)
			continue
		}
		delete(r.servers, id)
		r.removed[id] = revision
		r.log.Info("backend server gone", "server", id, "service", old.Service, "revision", revision)
	}
	r.publish()
}

// SetEvacuated takes in whether a failure domain is being evacuated.
func (r *Roster) SetEvacuated(domain string, on bool, revision uint64, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.zones[domain]
	if ok && old.revision >= revision {
		return false
	}
	word := zoneWord{revision: revision, on: on}
	if old.on && !on {
		word.ended = now
	}
	r.zones[domain] = word
	r.log.Info("evacuation changed", "failureDomain", domain, "evacuated", on, "revision", revision)
	r.publish()
	return true
}

// ApplyEvacuationList takes in a whole list of evacuated failure domains.
func (r *Roster) ApplyEvacuationList(domains map[string]bool, revision uint64, now clock.Instant) {
	r.mu.Lock()
	var ended []string
	for domain, word := range r.zones {
		if word.on && !domains[domain] {
			ended = append(ended, domain)
		}
	}
	r.mu.Unlock()
	for _, domain := range ended {
		r.SetEvacuated(domain, false, revision, now)
	}
}

// ExtendWarmup takes in a server's own word that it stays cold for the given time.
func (r *Roster) ExtendWarmup(id string, left time.Duration, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.servers[id]
	if old == nil || old.ColdUntil >= now.Add(left) {
		return
	}
	s := *old
	s.ColdUntil = now.Add(left)
	r.servers[id] = &s
	r.log.Info("backend server cold", "server", id, "service", s.Service, "left", left)
	r.publish()
}

// MarkRegistryUnavailable notes that the registry can't be read.
func (r *Roster) MarkRegistryUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// MarkRegistryAvailable notes that the registry can be read again.
func (r *Roster) MarkRegistryAvailable(now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		r.away, r.back = false, now
	}
}

func (r *Roster) recentOutage(now clock.Instant) bool {
	return r.away || r.back != 0 && now.Sub(r.back) < outageMemory
}

// Expire drops the entries that did not come back after an outage. It is
// called a few times a second.
func (r *Roster) Expire(now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return
	}
	changed := false
	for id, s := range r.servers {
		if s.missing == 0 || now.Sub(max(s.missing, r.back)) < returnGrace {
			continue
		}
		delete(r.servers, id)
		r.removed[id] = max(r.removed[id], s.Revision)
		r.log.Info("backend server did not come back after the outage", "server", id, "service", s.Service)
		changed = true
	}
	if changed {
		r.publish()
	}
}

// publish builds the view. The caller holds the lock.
func (r *Roster) publish() {
	v := &View{services: map[string][]*Server{}, byID: maps.Clone(r.servers), Evacuated: map[string]bool{}, returned: map[string]clock.Instant{}}
	for domain, word := range r.zones {
		if word.on {
			v.Evacuated[domain] = true
		} else if word.ended != 0 {
			v.returned[domain] = word.ended
		}
	}
	v.all = slices.SortedFunc(maps.Values(v.byID), func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	for _, s := range v.all {
		if s.Draining || v.Evacuated[s.FailureDomain] {
			continue
		}
		if i, found := slices.BinarySearch(v.regions, s.Region); !found {
			v.regions = slices.Insert(v.regions, i, s.Region)
		}
		key := s.Service + "\x00" + s.Region
		v.services[key] = append(v.services[key], s)
	}
	r.view.Store(v)
}
