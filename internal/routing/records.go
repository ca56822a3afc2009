package routing

import (
	"sync"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Records keeps what outlives a Picker: the Servers, the Crossings and the
// prefix tables. A Picker is built from a snapshot and the records.
type Records struct {
	mu        sync.Mutex // guards the maps while a Picker is built
	servers   map[string]*record
	crossings map[crossingKey]*RegionTraffic
	prefixes  map[string]*PrefixTable
	turns     map[string]*atomic.Uint64
	paces     map[string]*atomic.Uint64
	nextID    uint16

	// topology is the part of a Picker that only the configuration decides.
	topology *topology
}

type record struct {
	server *Server
	id     uint16
}

type crossingKey struct{ region, target string }

// topology lists the own region's backend servers by target.
type topology struct {
	config  *objects.Set
	targets map[string][]*objects.BackendServer
	// capacity is the sum of Concurrency by region and target.
	capacity map[crossingKey]int
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		servers:   map[string]*record{},
		crossings: map[crossingKey]*RegionTraffic{},
		prefixes:  map[string]*PrefixTable{},
		turns:     map[string]*atomic.Uint64{},
		paces:     map[string]*atomic.Uint64{},
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

// record returns the record of a backend server and makes it if needed. The
// lock is held.
func (r *Records) record(name string) *record {
	rec := r.servers[name]
	if rec == nil {
		rec = &record{server: &Server{Name: name}, id: r.nextID}
		r.nextID++
		r.servers[name] = rec
	}
	return rec
}

func (r *Records) crossing(region, target string) *RegionTraffic {
	key := crossingKey{region, target}
	c := r.crossings[key]
	if c == nil {
		c = &RegionTraffic{}
		r.crossings[key] = c
	}
	return c
}

func (r *Records) prefixTable(target string) *PrefixTable {
	t := r.prefixes[target]
	if t == nil {
		t = &PrefixTable{}
		r.prefixes[target] = t
	}
	return t
}

// counterOf returns a target's counter, and makes it if needed.
func counterOf(counters map[string]*atomic.Uint64, target string) *atomic.Uint64 {
	n := counters[target]
	if n == nil {
		n = new(atomic.Uint64)
		counters[target] = n
	}
	return n
}

// topologyOf returns the topology of the snapshot's configuration. A new
// configuration also drops the records of what it no longer names.
func (r *Records) topologyOf(s *snapshot.Snapshot) *topology {
	if r.topology != nil && r.topology.config == s.Config {
		return r.topology
	}
	t := &topology{
		config: s.Config, targets: map[string][]*objects.BackendServer{},
		capacity: map[crossingKey]int{},
	}
	for target := range targetsOf(s.Config) {
		for _, b := range s.Config.BackendsOf(target) {
			region := s.Config.RegionOf(b.Spec.FailureDomain)
			if b.Spec.Role != RoleStandby {
				t.capacity[crossingKey{region, target}] += b.Spec.Concurrency
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
	for key := range r.crossings {
		if config.RouteOf(key.target) == nil {
			delete(r.crossings, key)
		}
	}
	for target := range r.prefixes {
		if config.Models[target] == nil {
			delete(r.prefixes, target)
		}
	}
}

// RoleStandby is the role of a replica that is held in reserve.
const RoleStandby = "standby"

// targetsOf returns the names of the models and services that have a route.
func targetsOf(config *objects.Set) map[string]bool {
	out := map[string]bool{}
	for _, r := range config.Routes {
		out[r.Spec.Model+r.Spec.Service] = true
	}
	return out
}
