package routing

import (
	"sync"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Records holds the state that outlives a Picker: the Servers, the
// RegionTraffic and the prefix tables. A Picker is built from a snapshot and
// the records.
type Records struct {
	mu          sync.Mutex // guards the maps while a Picker is built
	servers     map[string]*serverRecord
	traffic     map[regionTarget]*RegionTraffic
	prefixes    map[string]*PrefixTable
	roundRobins map[string]*atomic.Uint64
	eventTimes  map[string]*atomic.Uint64
	nextID      uint16

	// topology is the part of a Picker that depends only on the configuration.
	// It is rebuilt when the configuration changes.
	topology *topology
}

type serverRecord struct {
	server *Server
	id     uint16
}

type regionTarget struct{ region, target string }

// topology lists the local region's backend servers by target.
type topology struct {
	config  *objects.Set
	targets map[string][]*objects.BackendServer
	// capacity is the sum of Concurrency by region and target, without
	// standbys.
	capacity map[regionTarget]int
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		servers:     map[string]*serverRecord{},
		traffic:     map[regionTarget]*RegionTraffic{},
		prefixes:    map[string]*PrefixTable{},
		roundRobins: map[string]*atomic.Uint64{},
		eventTimes:  map[string]*atomic.Uint64{},
	}
}

// Server returns the record of a backend server, or nil.
func (r *Records) Server(name string) *Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.servers[name]; rec != nil {
		return rec.server
	}
	return nil
}

// serverRecord returns the record of a backend server, creating it if needed.
// r.mu must be held.
func (r *Records) serverRecord(name string) *serverRecord {
	rec := r.servers[name]
	if rec == nil {
		rec = &serverRecord{server: &Server{Name: name}, id: r.nextID}
		r.nextID++
		r.servers[name] = rec
	}
	return rec
}

func (r *Records) trafficTo(region, target string) *RegionTraffic {
	key := regionTarget{region, target}
	t := r.traffic[key]
	if t == nil {
		t = &RegionTraffic{}
		r.traffic[key] = t
	}
	return t
}

func (r *Records) prefixTable(target string) *PrefixTable {
	t := r.prefixes[target]
	if t == nil {
		t = &PrefixTable{}
		r.prefixes[target] = t
	}
	return t
}

// valueFor returns a target's value, creating it if needed.
func valueFor(values map[string]*atomic.Uint64, target string) *atomic.Uint64 {
	v := values[target]
	if v == nil {
		v = new(atomic.Uint64)
		values[target] = v
	}
	return v
}

// topologyOf returns the topology of the snapshot's configuration. With a new
// configuration, it also removes the records of objects that are no longer
// configured.
func (r *Records) topologyOf(s *snapshot.Snapshot) *topology {
	if r.topology != nil && r.topology.config == s.Config {
		return r.topology
	}
	t := &topology{
		config: s.Config, targets: map[string][]*objects.BackendServer{},
		capacity: map[regionTarget]int{},
	}
	for target := range targetsOf(s.Config) {
		for _, b := range s.Config.BackendsOf(target) {
			region := s.Config.RegionOf(b.Spec.FailureDomain)
			if b.Spec.Role != RoleStandby {
				t.capacity[regionTarget{region, target}] += b.Spec.Concurrency
			}
			if region == s.Self.Region {
				t.targets[target] = append(t.targets[target], b)
			}
		}
	}
	r.prune(s.Config)
	r.topology = t
	return t
}

func (r *Records) prune(config *objects.Set) {
	for name := range r.servers {
		if config.BackendServers[name] == nil {
			delete(r.servers, name)
		}
	}
	for key := range r.traffic {
		if config.RouteOf(key.target) == nil {
			delete(r.traffic, key)
		}
	}
	for target := range r.prefixes {
		if config.Models[target] == nil {
			delete(r.prefixes, target)
		}
	}
}

// RoleStandby is the role of a replica kept in reserve.
const RoleStandby = "standby"

// targetsOf returns the names of the models and services that have a route.
func targetsOf(config *objects.Set) map[string]bool {
	out := map[string]bool{}
	for _, r := range config.Routes {
		out[r.Spec.Model+r.Spec.Service] = true
	}
	return out
}
