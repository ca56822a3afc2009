// Package roster keeps the service registry's entries of backend servers and the
// failure domains that are being evacuated.
//
// Each update carries the registry's revision. An older revision never replaces a
// newer one, whether it comes from the registry or from another VM. Readers load
// an immutable View.
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
	// reappearGrace is how long an entry that lapsed while the registry was
	// unavailable may take to reappear once the registry is available again. The
	// operators state 2 s; 0.5 s is added for the watch to deliver the entry.
	reappearGrace = 2500 * time.Millisecond
	// outageWindow is how long after the end of a registry outage a removal may
	// still be caused by it.
	outageWindow = reappearGrace
)

// Entry is a backend server's entry in the registry, as the server published it.
type Entry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining means that the server accepts no new requests.
	Draining bool
	// ColdFor is the remaining warm-up time when the entry was published.
	ColdFor time.Duration
	// LeavesIn is the time from publication until the server is stopped even if
	// requests are running; zero means that no stop is announced.
	LeavesIn time.Duration
	// Started is when the server's process started, in Unix milliseconds. A
	// higher value under the same ID is another incarnation.
	Started int64
}

// Server is a backend server as this process knows it. It is immutable.
type Server struct {
	Entry
	// Revision is the registry's revision of the entry.
	Revision uint64
	// Seen is when this process first received an entry of this incarnation.
	Seen clock.Instant
	// ColdUntil is when the server is expected to be warm.
	ColdUntil clock.Instant
	// missing is when the entry was found missing after a registry outage; zero
	// means that it is present.
	missing clock.Instant
}

// Key returns the key of the server's incarnation.
func (s *Server) Key() ServerKey { return ServerKey{s.ID, s.Started} }

// ServerKey identifies one incarnation of a backend server.
type ServerKey struct {
	ID      string
	Started int64
}

// View is a snapshot of the known servers and evacuations. It is immutable.
type View struct {
	services map[string][]*Server
	byID     map[string]*Server
	all      []*Server
	// Evacuated holds the failure domains that receive no requests.
	Evacuated      map[string]bool
	evacuationEnds map[string]clock.Instant
	regions        []string
}

// Regions returns the sorted regions that have servers which may receive new
// requests.
func (v *View) Regions() []string { return v.regions }

// EvacuationEndedAt returns when this process learned that the evacuation of a
// failure domain ended; zero means that none has ended, or that one is in
// progress.
func (v *View) EvacuationEndedAt(domain string) clock.Instant { return v.evacuationEnds[domain] }

// Usable returns the servers of a service in a region that may receive new
// requests.
func (v *View) Usable(service, region string) []*Server {
	return v.services[service+"\x00"+region]
}

// Lookup returns the server with an ID, or nil. The server may be draining.
func (v *View) Lookup(id string) *Server { return v.byID[id] }

// IsUsable reports whether the server may receive new requests. It is checked right
// before a request is sent, because the view may be newer than the one from which
// the server was chosen.
func (v *View) IsUsable(s *Server) bool {
	now := v.byID[s.ID]
	return now != nil && now.Started == s.Started && now.Address == s.Address &&
		!now.Draining && !v.Evacuated[s.FailureDomain]
}

// All returns every known server, ordered by ID. Callers must not modify the
// slice.
func (v *View) All() []*Server { return v.all }

// Roster applies updates of the registry and publishes views.
type Roster struct {
	log *slog.Logger

	mu      sync.Mutex
	servers map[string]*Server
	// removed holds the revisions of removals, so that an older update from a
	// peer doesn't restore an entry.
	removed             map[string]uint64
	evacuations         map[string]evacuation
	registryUnavailable bool
	outageEnd           clock.Instant // end of the last registry outage
	view                atomic.Pointer[View]
}

// evacuation is the evacuation state of a failure domain.
type evacuation struct {
	revision uint64
	active   bool
	ended    clock.Instant
}

// New returns an empty roster.
func New(log *slog.Logger) *Roster {
	r := &Roster{log: log, servers: map[string]*Server{}, removed: map[string]uint64{}, evacuations: map[string]evacuation{}}
	r.publish()
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// Put applies an entry of the registry at its revision and reports whether it was
// newer than the known one.
func (r *Roster) Put(e Entry, revision uint64, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.servers[e.ID]
	if old != nil && old.Revision >= revision {
		if old.Revision == revision && old.missing != 0 {
			r.clearMissing(old)
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

func (r *Roster) clearMissing(old *Server) {
	s := *old
	s.missing = 0
	r.servers[s.ID] = &s
	r.publish()
}

// Remove applies the removal of an entry at the given revision and reports whether
// it was newer than the known state.
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
		r.markMissing(old, now)
		return true
	}
	delete(r.servers, id)
	r.log.Info("backend server removed", "server", id, "service", old.Service, "revision", revision)
	r.publish()
	return true
}

// markMissing keeps an entry that may have lapsed only because the registry was
// unavailable. Expire removes it if it does not reappear.
func (r *Roster) markMissing(old *Server, now clock.Instant) {
	if old.missing != 0 {
		return
	}
	s := *old
	s.missing = now
	r.servers[s.ID] = &s
	r.log.Info("backend server missing after a registry outage; keeping it for the grace time", "server", s.ID, "service", s.Service,
		"grace", reappearGrace)
}

// ApplyServerList applies a complete list of server IDs, read at the given
// revision: entries that are not listed are removed.
func (r *Roster) ApplyServerList(ids map[string]bool, revision uint64, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, old := range r.servers {
		if ids[id] || old.Revision > revision {
			continue
		}
		if r.recentOutage(now) && !old.Draining {
			r.markMissing(old, now)
			continue
		}
		delete(r.servers, id)
		r.removed[id] = revision
		r.log.Info("backend server removed", "server", id, "service", old.Service, "revision", revision)
	}
	r.publish()
}

// SetEvacuated records whether a failure domain is being evacuated, and reports
// whether the update was newer than the known state.
func (r *Roster) SetEvacuated(domain string, on bool, revision uint64, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.evacuations[domain]
	if ok && old.revision >= revision {
		return false
	}
	state := evacuation{revision: revision, active: on}
	if old.active && !on {
		state.ended = now
	}
	r.evacuations[domain] = state
	r.log.Info("evacuation changed", "failureDomain", domain, "evacuated", on, "revision", revision)
	r.publish()
	return true
}

// ApplyEvacuationList applies a complete list of evacuated failure domains:
// evacuations that are not listed have ended.
func (r *Roster) ApplyEvacuationList(domains map[string]bool, revision uint64, now clock.Instant) {
	r.mu.Lock()
	var ended []string
	for domain, state := range r.evacuations {
		if state.active && !domains[domain] {
			ended = append(ended, domain)
		}
	}
	r.mu.Unlock()
	for _, domain := range ended {
		r.SetEvacuated(domain, false, revision, now)
	}
}

// ExtendWarmup applies a server's report that it stays cold for the given time. It
// never shortens the known warm-up time.
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
	r.log.Info("backend server warm-up extended", "server", id, "service", s.Service, "left", left)
	r.publish()
}

// MarkRegistryUnavailable records that the registry can't be read.
func (r *Roster) MarkRegistryUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registryUnavailable = true
}

// MarkRegistryAvailable records that the registry can be read again.
func (r *Roster) MarkRegistryAvailable(now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registryUnavailable {
		r.registryUnavailable, r.outageEnd = false, now
	}
}

func (r *Roster) recentOutage(now clock.Instant) bool {
	return r.registryUnavailable || r.outageEnd != 0 && now.Sub(r.outageEnd) < outageWindow
}

// Expire removes the entries that did not reappear after a registry outage. It is
// called a few times per second.
func (r *Roster) Expire(now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registryUnavailable {
		return
	}
	changed := false
	for id, s := range r.servers {
		if s.missing == 0 || now.Sub(max(s.missing, r.outageEnd)) < reappearGrace {
			continue
		}
		delete(r.servers, id)
		r.removed[id] = max(r.removed[id], s.Revision)
		r.log.Info("backend server removed: not registered again after the registry outage", "server", id, "service", s.Service)
		changed = true
	}
	if changed {
		r.publish()
	}
}

// publish builds and stores the view. The caller must hold r.mu.
func (r *Roster) publish() {
	v := &View{services: map[string][]*Server{}, byID: maps.Clone(r.servers), Evacuated: map[string]bool{}, evacuationEnds: map[string]clock.Instant{}}
	for domain, state := range r.evacuations {
		if state.active {
			v.Evacuated[domain] = true
		} else if state.ended != 0 {
			v.evacuationEnds[domain] = state.ended
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
