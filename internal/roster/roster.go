// Package roster keeps the service registry's entries of backend servers and the
// failure domains that are being evacuated.
//
// Each update carries the registry's revision. An older revision never replaces a
// newer one, whether it comes from the registry or from another VM. After the
// registry was restored from an older copy, what it lists may be older than what is
// known here: see doubts.go. Readers load an immutable View.
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
	"github.com/chestnutspring/chestnutspring/internal/revision"
)

const (
	// reappearGrace is how long an entry that lapsed while the registry was
	// unavailable may take to reappear once the registry is available again. The
	// operators state 2 s; 0.5 s is added for the watch to deliver the entry.
	reappearGrace = 2500 * time.Millisecond
	// outageWindow is how long after the end of a registry outage a removal may
	// still be caused by it.
	outageWindow = reappearGrace
	// leavingMemory is how long the announcement of a server that is no longer
	// listed is kept, in case a restored registry lists it again.
	leavingMemory = 10 * time.Minute
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
	// SoftwareVersion is the version of the server's software. Versions have no order.
	SoftwareVersion string
}

// Server is a backend server as this process knows it. It is immutable.
type Server struct {
	Entry
	// Revision is the registry's revision of the entry.
	Revision revision.Revision
	// Seen is when this process first received an entry of this incarnation.
	Seen clock.Instant
	// ColdUntil is when the server is expected to be warm.
	ColdUntil clock.Instant
	// missing is when the entry was found missing after a registry outage or
	// restore; zero means that it is present. missingFor is how long it may be.
	missing    clock.Instant
	missingFor time.Duration
	// listed means that the entry was read from a list or from another VM, so that
	// it may come from a restored copy.
	listed bool
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
	// leaving holds the incarnations that announced in a response that they leave.
	leaving map[ServerKey]bool
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
		!now.Draining && !v.leaving[s.Key()] && !v.Evacuated[s.FailureDomain]
}

// Leaving reports whether the server announced in a response that it leaves.
func (v *View) Leaving(s *Server) bool { return v.leaving[s.Key()] }

// IsLeaving reports whether a server drains by the newest entry of its incarnation, or
// announced that it leaves.
func (v *View) IsLeaving(s *Server) bool {
	now := v.byID[s.ID]
	return v.leaving[s.Key()] || now != nil && now.Key() == s.Key() && now.Draining
}

// All returns every known server, ordered by ID. Callers must not modify the
// slice.
func (v *View) All() []*Server { return v.all }

// Roster applies updates of the registry and publishes views.
type Roster struct {
	log *slog.Logger

	mu      sync.Mutex
	servers map[string]*Server
	// removed holds the removals by server ID, so that an older update from a
	// peer doesn't restore an entry.
	removed     map[string]removal
	evacuations map[string]evacuation
	// leaving holds when an incarnation first announced that it leaves.
	leaving map[ServerKey]clock.Instant
	doubts  doubts
	// serverList and evacuationList are the revisions of the last complete lists. What
	// is unknown here and not newer than the list has been removed.
	serverList, evacuationList revision.Revision
	registryUnavailable        bool
	outageEnd                  clock.Instant // end of the last registry outage
	view                       atomic.Pointer[View]
}

// removal is the removal of a server's entry. Started is the incarnation that was
// removed, or zero if none was known.
type removal struct {
	revision revision.Revision
	started  int64
}

// evacuation is the evacuation state of a failure domain.
type evacuation struct {
	revision revision.Revision
	active   bool
	ended    clock.Instant
}

// New returns an empty roster.
func New(log *slog.Logger) *Roster {
	r := &Roster{
		log: log, servers: map[string]*Server{}, removed: map[string]removal{}, evacuations: map[string]evacuation{},
		leaving: map[ServerKey]clock.Instant{}, doubts: newDoubts(),
	}
	r.publish()
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// Source is where an update was read.
type Source int

// The sources of updates.
const (
	// Event is a change that the registry reported to a watch.
	Event Source = iota
	// Listed is an entry of a list, or an update of another VM. After a restore
	// of the registry it may be older than what is known.
	Listed
)

// Put applies an entry of the registry at its revision and reports whether it was
// newer than the known one. An entry that is in doubt is not applied yet.
func (r *Roster) Put(e Entry, rev revision.Revision, source Source, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, gone := r.servers[e.ID], r.removed[e.ID]
	known := r.knownRevision(e.ID)
	if known >= rev {
		r.applyOlderLeave(old, e, rev, now)
		return false
	}
	if known == 0 && source == Listed && rev <= r.serverList {
		r.log.Info("record of a backend server that is no longer listed", "server", e.ID, "revision", rev, "listed", r.serverList)
		return false
	}
	if source == Listed && rev.Era() > known.Era() && contradicts(e, old, gone) {
		r.doubts.addServer(e, rev, now, r.log)
		return false
	}
	r.put(e, rev, source, now)
	return true
}

// knownRevision returns the highest revision at which the server's entry was
// applied or removed. The caller must hold r.mu.
func (r *Roster) knownRevision(id string) revision.Revision {
	known := r.removed[id].revision
	if old := r.servers[id]; old != nil {
		known = max(known, old.Revision)
	}
	return known
}

// put applies an entry. The caller must hold r.mu.
func (r *Roster) put(e Entry, rev revision.Revision, source Source, now clock.Instant) {
	old := r.servers[e.ID]
	delete(r.removed, e.ID)
	delete(r.doubts.servers, e.ID)
	s := &Server{Entry: e, Revision: rev, Seen: now, listed: source == Listed}
	if old != nil && old.Started == e.Started {
		s.Seen, s.ColdUntil = old.Seen, old.ColdUntil
	}
	if e.ColdFor > 0 {
		s.ColdUntil = max(s.ColdUntil, now.Add(e.ColdFor))
	}
	r.servers[e.ID] = s
	r.log.Info("backend server changed", "server", e.ID, "service", e.Service, "address", e.Address,
		"failureDomain", e.FailureDomain, "softwareVersion", e.SoftwareVersion, "draining", e.Draining, "coldFor", e.ColdFor, "leavesIn", e.LeavesIn,
		"revision", rev)
	r.publish()
}

// Remove applies the removal of an entry at the given revision and reports whether
// it was newer than the known state. Started is the incarnation that was removed
// if the remover knows it, or zero.
func (r *Roster) Remove(id string, rev revision.Revision, started int64, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.servers[id]
	if r.knownRevision(id) >= rev {
		r.applyOlderRemoval(old, rev, started, now)
		return false
	}
	r.removed[id] = r.removalOf(id, rev, started)
	delete(r.doubts.servers, id)
	if old == nil {
		return true
	}
	if r.recentOutage(now) && !r.leaves(old) {
		r.markMissing(old, reappearGrace, now)
		return true
	}
	r.remove(old, rev)
	r.publish()
	return true
}

// removalOf returns the removal of a server at the revision. Started may be zero.
func (r *Roster) removalOf(id string, rev revision.Revision, started int64) removal {
	started = max(started, r.removed[id].started)
	if old := r.servers[id]; old != nil {
		started = max(started, old.Started)
	}
	return removal{revision: rev, started: started}
}

// Removed is a server whose entry was removed at a revision.
type Removed struct {
	Key      ServerKey
	Revision revision.Revision
}

// remove deletes an entry. The caller must hold r.mu, and publish.
func (r *Roster) remove(old *Server, rev revision.Revision) Removed {
	r.removed[old.ID] = r.removalOf(old.ID, rev, old.Started)
	delete(r.servers, old.ID)
	r.log.Info("backend server removed", "server", old.ID, "service", old.Service, "revision", rev)
	return Removed{Key: old.Key(), Revision: rev}
}

// leaves reports whether the server is known to leave. The caller must hold r.mu.
func (r *Roster) leaves(s *Server) bool {
	_, announced := r.leaving[s.Key()]
	return s.Draining || announced
}

// markMissing keeps an entry that may be missing only because the registry was
// unavailable or restored. Expire removes it if it does not reappear within the
// grace time. The caller must hold r.mu.
func (r *Roster) markMissing(old *Server, grace time.Duration, now clock.Instant) {
	if old.missing != 0 {
		return
	}
	s := *old
	s.missing, s.missingFor = now, grace
	r.servers[s.ID] = &s
	r.log.Info("backend server missing after a registry outage or restore; keeping it for the grace time", "server", s.ID,
		"service", s.Service, "grace", grace)
}

// ApplyServerList applies a complete list of server IDs, read at the given
// revision: entries that are not listed are removed. It returns the removed
// servers.
func (r *Roster) ApplyServerList(ids map[string]bool, rev revision.Revision, now clock.Instant) []Removed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Removed
	for id, old := range r.servers {
		if ids[id] || old.Revision > rev {
			continue
		}
		restored := old.Revision.Era() != rev.Era()
		if r.leaves(old) || !restored && !r.recentOutage(now) {
			all = append(all, r.remove(old, rev))
			continue
		}
		r.removed[id] = r.removalOf(id, rev, 0)
		grace := reappearGrace
		if restored {
			grace = restoreGrace
		}
		r.markMissing(old, grace, now)
	}
	r.doubts.keepListed(ids)
	r.serverList = rev
	r.publish()
	return all
}

// SetEvacuated records whether a failure domain is being evacuated, and reports
// whether the update was newer than the known state. An update that is in doubt is
// not applied yet.
func (r *Roster) SetEvacuated(domain string, on bool, rev revision.Revision, source Source, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.evacuations[domain]
	if ok && old.revision >= rev || !ok && source == Listed && rev <= r.evacuationList {
		return false
	}
	if ok && source == Listed && rev.Era() > old.revision.Era() && old.active != on {
		r.doubts.addEvacuation(domain, on, rev, now, r.log)
		return false
	}
	r.setEvacuated(domain, on, rev, now)
	return true
}

// setEvacuated applies an evacuation or its end. The caller must hold r.mu.
func (r *Roster) setEvacuated(domain string, on bool, rev revision.Revision, now clock.Instant) {
	delete(r.doubts.evacuations, domain)
	state := evacuation{revision: rev, active: on}
	if r.evacuations[domain].active && !on {
		state.ended = now
	}
	r.evacuations[domain] = state
	r.log.Info("evacuation changed", "failureDomain", domain, "evacuated", on, "revision", rev)
	r.publish()
}

// ApplyEvacuationList applies a complete list of evacuated failure domains:
// evacuations that are not listed have ended. It returns the failure domains whose
// evacuation ended.
func (r *Roster) ApplyEvacuationList(domains map[string]bool, rev revision.Revision, now clock.Instant) []string {
	r.mu.Lock()
	var ended []string
	for domain, state := range r.evacuations {
		if state.active && !domains[domain] {
			ended = append(ended, domain)
		}
	}
	r.evacuationList = rev
	r.mu.Unlock()
	return slices.DeleteFunc(ended, func(domain string) bool { return !r.SetEvacuated(domain, false, rev, Listed, now) })
}

// MarkLeaving records that an incarnation of a server announced in a response that
// it leaves, and reports whether this is new. It gets no new requests from then
// on, whatever the registry lists.
func (r *Roster) MarkLeaving(key ServerKey, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[key]; known {
		return false
	}
	r.leaving[key] = now
	r.log.Info("backend server announced that it leaves", "server", key.ID, "started", key.Started)
	r.publish()
	return true
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

// Expire removes the entries that did not reappear after a registry outage or
// restore, settles doubts and forgets old announcements. It is called a few times
// per second, and returns the removed servers.
func (r *Roster) Expire(now clock.Instant) []Removed {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLeaving(now)
	if r.registryUnavailable {
		return nil
	}
	var all []Removed
	for id, s := range r.servers {
		if s.missing == 0 || now.Sub(max(s.missing, r.outageEnd)) < s.missingFor {
			continue
		}
		all = append(all, r.remove(s, max(r.removed[id].revision, s.Revision)))
	}
	if len(all) > 0 {
		r.publish()
	}
	r.settleDoubts(now)
	return all
}

// Forget drops the removal of a server, unless the server is listed again, and reports
// whether it did. From then on no record that isn't newer than the removal restores a
// server that is unknown here.
func (r *Roster) Forget(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servers[id] != nil {
		return false
	}
	r.serverList = max(r.serverList, r.removed[id].revision)
	delete(r.removed, id)
	return true
}

// forgetLeaving deletes the announcements of incarnations that are no longer
// listed, after leavingMemory. The caller must hold r.mu.
func (r *Roster) forgetLeaving(now clock.Instant) {
	for key, at := range r.leaving {
		if s := r.servers[key.ID]; now.Sub(at) > leavingMemory && (s == nil || s.Started != key.Started) {
			delete(r.leaving, key)
		}
	}
}

// publish builds and stores the view. The caller must hold r.mu.
func (r *Roster) publish() {
	v := &View{services: map[string][]*Server{}, byID: maps.Clone(r.servers), Evacuated: map[string]bool{}, evacuationEnds: map[string]clock.Instant{}, leaving: map[ServerKey]bool{}}
	for key := range r.leaving {
		v.leaving[key] = true
	}
	for domain, state := range r.evacuations {
		if state.active {
			v.Evacuated[domain] = true
		} else if state.ended != 0 {
			v.evacuationEnds[domain] = state.ended
		}
	}
	v.all = slices.SortedFunc(maps.Values(v.byID), func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	for _, s := range v.all {
		if s.Draining || v.leaving[s.Key()] || v.Evacuated[s.FailureDomain] {
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
