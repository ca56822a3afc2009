// Package placement decides which model versions each replica has loaded and
// which role it has, and sends the orders for that to its engine.
//
// The desired state is a pure function of the published configuration, so that
// any two gateways with the same revision send the same orders. The fencing
// token of an order is the revision. Each region has one designated gateway,
// which sends the orders to the region's replicas.
package placement

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// RoleServe is the role of a replica that serves requests. It is the default.
const RoleServe = "serve"

// DesiredState is the configured state of a replica.
type DesiredState struct {
	Server *objects.BackendServer
	Model  *objects.Model
	Role   string
	// Loaded lists "model@version" and "model@version+adapter", sorted.
	Loaded []string
}

// Plan returns the desired state of each model replica of the region, sorted by
// name.
func Plan(set *objects.Set, region string) []DesiredState {
	var states []DesiredState
	for _, server := range set.BackendServers {
		model := set.Models[server.Spec.Model]
		if model == nil || set.RegionOf(server.Spec.FailureDomain) != region {
			continue
		}
		states = append(states, desiredStateOf(server, model))
	}
	slices.SortFunc(states, func(a, b DesiredState) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	return states
}

func desiredStateOf(server *objects.BackendServer, model *objects.Model) DesiredState {
	base := model.Name + "@" + model.Spec.Version
	state := DesiredState{Server: server, Model: model, Role: server.Spec.Role, Loaded: []string{base}}
	if state.Role == "" {
		state.Role = RoleServe
	}
	for _, adapter := range model.Spec.Adapters {
		state.Loaded = append(state.Loaded, base+"+"+adapter)
	}
	slices.Sort(state.Loaded)
	return state
}

// The kinds of orders.
const (
	KindLoad   = "load"
	KindUnload = "unload"
	KindRole   = "role"
)

// Order is the body of POST /orders. Fence is its fencing token.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Report is the part of an engine's response to GET /load that orders change.
type Report struct {
	Loaded []string `json:"loaded"`
	Role   string   `json:"role"`
	Fence  uint64   `json:"fence"`
}

// Orders returns the orders that bring a replica from the reported to the
// desired state. Loads come first and unloads last, so that the replica always
// has a model loaded.
func Orders(desired DesiredState, r Report, fence uint64) []Order {
	var orders []Order
	for _, name := range desired.Loaded {
		if !slices.Contains(r.Loaded, name) {
			orders = append(orders, newOrder(KindLoad, name, fence))
		}
	}
	if r.Role != "" && r.Role != desired.Role {
		orders = append(orders, Order{Fence: fence, Kind: KindRole, Role: desired.Role})
	}
	for _, name := range r.Loaded {
		if !slices.Contains(desired.Loaded, name) {
			orders = append(orders, newOrder(KindUnload, name, fence))
		}
	}
	return orders
}

func newOrder(kind, name string, fence uint64) Order {
	model, rest, _ := strings.Cut(name, "@")
	version, adapter, _ := strings.Cut(rest, "+")
	return Order{Fence: fence, Kind: kind, Model: model, Version: version, Adapter: adapter}
}

// DesignatedVM returns the VM that sends orders to the region's replicas, or ""
// if there is none. It is one of the region's reachable VMs, by rendezvous
// hashing, so that all VMs with the same view of the members agree on it. Only
// one VM sends orders so that the region loads from the weight store one
// replica at a time.
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
