package roster

import (
	"log/slog"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/revision"
)

// restoreGrace is how long a restored registry's content may contradict what is
// known from the era before. Servers publish their entries again within about one
// heartbeat, and silent ones are removed after three; a heartbeat takes 1.2 s in
// the deployments at hand.
const restoreGrace = 5 * time.Second

// doubts holds what a restored registry listed although newer knowledge from the
// era before contradicts it. The older knowledge stays in force until the registry
// reports a change, or until the content has been listed for restoreGrace: by then
// servers and operators have written again what the copy lacked.
type doubts struct {
	servers     map[string]doubtedServer
	evacuations map[string]doubtedEvacuation
}

type doubtedServer struct {
	entry    Entry
	revision revision.Revision
	since    clock.Instant
}

type doubtedEvacuation struct {
	active   bool
	revision revision.Revision
	since    clock.Instant
}

func newDoubts() doubts {
	return doubts{servers: map[string]doubtedServer{}, evacuations: map[string]doubtedEvacuation{}}
}

// contradicts reports whether an entry of a restored copy contradicts what is known
// of the server: that its incarnation, or a later one, was removed or is draining.
func contradicts(e Entry, old *Server, gone removal) bool {
	if old == nil {
		return e.Started <= gone.started
	}
	return e.Started < old.Started || e.Started == old.Started && old.Draining && !e.Draining
}

// addServer records a listed entry as doubted.
func (d *doubts) addServer(e Entry, rev revision.Revision, now clock.Instant, log *slog.Logger) {
	before, ok := d.servers[e.ID]
	if ok && before.revision >= rev {
		return
	}
	if !ok || before.revision.Era() != rev.Era() {
		before.since = now
		log.Info("restored registry lists a server that has left; not using it for the grace time", "server", e.ID,
			"service", e.Service, "revision", rev, "grace", restoreGrace)
	}
	d.servers[e.ID] = doubtedServer{entry: e, revision: rev, since: before.since}
}

// addEvacuation records the state of an evacuation as doubted.
func (d *doubts) addEvacuation(domain string, active bool, rev revision.Revision, now clock.Instant, log *slog.Logger) {
	before, ok := d.evacuations[domain]
	if ok && before.revision >= rev {
		return
	}
	if !ok || before.revision.Era() != rev.Era() || before.active != active {
		before.since = now
		log.Info("restored registry contradicts the known state of an evacuation; keeping that for the grace time",
			"failureDomain", domain, "listed", active, "revision", rev, "grace", restoreGrace)
	}
	d.evacuations[domain] = doubtedEvacuation{active: active, revision: rev, since: before.since}
}

// keepListed deletes the doubts about servers that are no longer listed.
func (d *doubts) keepListed(ids map[string]bool) {
	for id := range d.servers {
		if !ids[id] {
			delete(d.servers, id)
		}
	}
}

// settleDoubts applies what has been listed for restoreGrace. A server that was
// draining stays so: an incarnation that leaves doesn't return. The caller must
// hold r.mu.
func (r *Roster) settleDoubts(now clock.Instant) {
	for id, d := range r.doubts.servers {
		if now.Sub(d.since) < restoreGrace {
			continue
		}
		delete(r.doubts.servers, id)
		if r.knownRevision(id) > d.revision {
			continue
		}
		if old := r.servers[id]; old != nil && old.Started == d.entry.Started {
			d.entry.Draining = d.entry.Draining || old.Draining
		}
		r.put(d.entry, d.revision, Listed, now)
	}
	for domain, d := range r.doubts.evacuations {
		if now.Sub(d.since) < restoreGrace {
			continue
		}
		delete(r.doubts.evacuations, domain)
		if r.evacuations[domain].revision < d.revision {
			r.setEvacuated(domain, d.active, d.revision, now)
		}
	}
}

// mayBeFromCopy reports whether the entry may come from the copy from which the
// registry was restored, so that an update of the era before is newer. The caller
// must hold r.mu.
func (r *Roster) mayBeFromCopy(s *Server, rev revision.Revision, now clock.Instant) bool {
	return s != nil && s.listed && rev.Era() < s.Revision.Era() && now.Sub(s.Seen) < restoreGrace
}

// applyOlderLeave applies another VM's update from the era before: that a server
// drains which the restored registry listed as available. The caller must hold
// r.mu.
func (r *Roster) applyOlderLeave(old *Server, e Entry, rev revision.Revision, now clock.Instant) {
	if !r.mayBeFromCopy(old, rev, now) || !e.Draining || old.Draining || e.Started != old.Started {
		return
	}
	s := *old
	s.Draining = true
	r.servers[s.ID] = &s
	r.log.Info("backend server drains, as another VM knew before the registry was restored", "server", s.ID, "revision", rev)
	r.publish()
}

// applyOlderRemoval applies another VM's update from the era before: that a server
// was removed which the restored registry listed. The caller must hold r.mu.
func (r *Roster) applyOlderRemoval(old *Server, rev revision.Revision, started int64, now clock.Instant) {
	if !r.mayBeFromCopy(old, rev, now) || started != old.Started {
		return
	}
	r.remove(old, old.Revision)
	r.doubts.addServer(old.Entry, old.Revision, now, r.log)
	r.publish()
}
