package resume

import (
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// history is which software versions the servers of each service had lately.
type history struct {
	view *roster.View
	// services holds the versions of each service, with when the last server of a
	// version left the registry; zero while one is listed.
	services map[string]map[string]clock.Instant
	// since is from when on the history is complete.
	since clock.Instant
	// blindAt is when this VM last could not know of a new version.
	blindAt clock.Instant
}

// observe brings the history up to date with the view.
func (h *history) observe(view *roster.View, now clock.Instant) {
	if view == h.view {
		return
	}
	h.view = view
	listed := map[string]map[string]bool{}
	for _, s := range view.All() {
		if listed[s.Service] == nil {
			listed[s.Service] = map[string]bool{}
		}
		listed[s.Service][s.SoftwareVersion] = true
	}
	for service, versions := range listed {
		for version := range versions {
			h.set(service, version, 0)
		}
	}
	for service, versions := range h.services {
		for version, goneAt := range versions {
			if goneAt == 0 && !listed[service][version] {
				versions[version] = now
			}
		}
	}
}

// set records that a version was listed until goneAt; zero means that it is.
func (h *history) set(service, version string, goneAt clock.Instant) {
	if h.services[service] == nil {
		h.services[service] = map[string]clock.Instant{}
	}
	h.services[service][version] = goneAt
}

// expire forgets the versions at which no stream can go on any more.
func (h *history) expire(now clock.Instant) {
	for service, versions := range h.services {
		for version, goneAt := range versions {
			if goneAt != 0 && now.Sub(goneAt) > streamMemory {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
}

// only returns the only version that a stream of the service can have begun at, if
// the history shows that there is just one.
func (h *history) only(service string, now clock.Instant) (version string, ok bool) {
	if now.Sub(h.since) < streamMemory || h.isBlind(now) || len(h.services[service]) != 1 {
		return "", false
	}
	for version = range h.services[service] {
	}
	return version, true
}

// isBlind reports whether this VM may have missed a version lately.
func (h *history) isBlind(now clock.Instant) bool {
	return h.blindAt != 0 && now.Sub(h.blindAt) < blindMemory
}

// versionsRecord is the value of a KindSoftwareVersions record: the history of the VM
// of its name. It is encoded as an array, whose fields may not change (gossip.Encode).
type versionsRecord struct {
	// KnownForMs is for how long, in milliseconds, the history is complete.
	KnownForMs int64
	Services   []serviceVersions
}

// serviceVersions are the versions of a service. GoneForMs holds for each how long it
// is no longer listed, in milliseconds; zero means that it is.
type serviceVersions struct {
	Service   string
	Versions  []string
	GoneForMs []int64
}

// record returns the history for other VMs.
func (h *history) record(now clock.Instant) versionsRecord {
	var r versionsRecord
	if !h.isBlind(now) {
		r.KnownForMs = now.Sub(h.since).Milliseconds()
	}
	for service, versions := range h.services {
		s := serviceVersions{Service: service}
		for version, goneAt := range versions {
			gone := int64(0)
			if goneAt != 0 {
				gone = max(1, now.Sub(goneAt).Milliseconds())
			}
			s.Versions, s.GoneForMs = append(s.Versions, version), append(s.GoneForMs, gone)
		}
		r.Services = append(r.Services, s)
	}
	return r
}

// apply adds the history of another VM. If complete is true, this history reaches back
// as far as that one from now on. If isNew is true, this VM also learns of versions that
// are gone for long. Otherwise VMs would remind one another of them for good.
func (h *history) apply(r versionsRecord, complete, isNew bool, now clock.Instant) {
	for _, s := range r.Services {
		for i, version := range s.Versions[:min(len(s.Versions), len(s.GoneForMs))] {
			goneAt, known := h.services[s.Service][version]
			goneFor := time.Duration(min(max(0, s.GoneForMs[i]), streamMemory.Milliseconds())) * time.Millisecond
			switch {
			case known && goneAt == 0:
			case goneFor == 0:
				// Only the other VM lists the version: it may just have appeared or left.
				h.set(s.Service, version, now)
			case !known && goneFor < streamMemory && (isNew || goneFor < blindMemory):
				h.set(s.Service, version, now.Add(-goneFor))
			}
		}
	}
	if complete {
		knownFor := time.Duration(min(max(0, r.KnownForMs), streamMemory.Milliseconds())) * time.Millisecond
		h.since = min(h.since, now.Add(-knownFor))
	}
}

// equalVersions reports whether two records name the same versions, listed and not.
func equalVersions(a, b versionsRecord) bool {
	return slices.Equal(a.names(), b.names())
}

// names returns the versions of the record in order.
func (r versionsRecord) names() []string {
	var names []string
	for _, s := range r.Services {
		for i, version := range s.Versions {
			state := "listed"
			if s.GoneForMs[i] != 0 {
				state = "gone"
			}
			names = append(names, s.Service+"\x00"+version+"\x00"+state)
		}
	}
	slices.Sort(names)
	return names
}
