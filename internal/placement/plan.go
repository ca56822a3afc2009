// Package placement decides which model version each replica has loaded and
// which role it has, and orders it from the engines.
//
// The plan is a pure function of the published set, so that any two gateways
// with the same revision order the same. The fencing number of an order is the
// revision. Each replica has one designated gateway of its region.
package placement

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// RoleServe is the role of a replica that serves; it is the default.
const RoleServe = "serve"

// DesiredState is what a replica should have.
type DesiredState struct {
	Server *objects.BackendServer
	Model  *objects.Model
	Role   string
	// Loaded lists "model@version" and "model@version+adapter", sorted.
	Loaded []string
}

// Plan returns what each model replica of the region should have, by name.
func Plan(set *objects.Set, region string) []DesiredState {
	var wants []DesiredState
	for _, server := range set.BackendServers {
		model := set.Models[server.Spec.Model]
		if model == nil || set.RegionOf(server.Spec.FailureDomain) != region {
			continue
		}
		wants = append(wants, wantOf(server, model))
	}
	slices.SortFunc(wants, func(a, b DesiredState) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	return wants
}

func wantOf(server *objects.BackendServer, model *objects.Model) DesiredState {
	base := model.Name + "@" + model.Spec.Version
	w := DesiredState{Server: server, Model: model, Role: server.Spec.Role, Loaded: []string{base}}
	if w.Role == "" {
		w.Role = RoleServe
	}
	for _, adapter := range model.Spec.Adapters {
		w.Loaded = append(w.Loaded, base+"+"+adapter)
	}
	slices.Sort(w.Loaded)
	return w
}

// The kinds of orders.
const (
	KindLoad   = "load"
	KindUnload = "unload"
	KindRole   = "role"
)

// Order is the body of POST /orders.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Report is the part of an engine's answer to GET /load that orders change.
type Report struct {
	Loaded []string `json:"loaded"`
	Role   string   `json:"role"`
	Fence  uint64   `json:"fence"`
}

// Orders returns what must be ordered so that a replica in the reported state
// gets what is wanted. Loads come first, so that a replica is never without a
// model on the way; what isn't wanted is unloaded last.
func Orders(w DesiredState, r Report, fence uint64) []Order {
	var orders []Order
	for _, name := range w.Loaded {
		if !slices.Contains(r.Loaded, name) {
			orders = append(orders, orderOf(KindLoad, name, fence))
		}
	}
	if r.Role != "" && r.Role != w.Role {
		orders = append(orders, Order{Fence: fence, Kind: KindRole, Role: w.Role})
	}
	for _, name := range r.Loaded {
		if !slices.Contains(w.Loaded, name) {
			orders = append(orders, orderOf(KindUnload, name, fence))
		}
	}
	return orders
}

func orderOf(kind, name string, fence uint64) Order {
	model, rest, _ := strings.Cut(name, "@")
	version, adapter, _ := strings.Cut(rest, "+")
	return Order{Fence: fence, Kind: kind, Model: model, Version: version, Adapter: adapter}
}

// DesignatedVM returns the VM that orders from the region's replicas: one of its
// live members, the same on all members that agree on who lives. A single one
// loads from the weight store for the region, one replica after the other.
func DesignatedVM(s *snapshot.Snapshot) string {
	vms := []string{}
	if !s.Leaving {
		vms = append(vms, s.Self.VM)
	}
	for _, m := range s.Members {
		if m.VM != s.Self.VM && m.Region == s.Self.Region && m.Reachable && !m.Leaving {
			vms = append(vms, m.VM)
		}
	}
	if len(vms) == 0 {
		return ""
	}
	slices.Sort(vms)
	return rendezvous.New(vms, xxhash.Sum64String).Lookup(s.Self.Region)
}
