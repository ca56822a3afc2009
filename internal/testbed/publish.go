package testbed

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// vmListValue is the name of the platform value with the list of VMs.
const vmListValue = published.ValueVMs

// Publish publishes a configuration. The addresses of backend servers are
// replaced by those of the stand-ins.
func (b *Bed) Publish(set *objects.Set) error {
	set = b.withStandinAddresses(set)
	built, err := bundle.Build(set)
	if err != nil {
		return ErrStart.Wrap(err, "bundle")
	}
	values := map[string][]byte{published.ValueManifest: built.Manifest}
	for digest, part := range built.Parts {
		if b.Platform.Revision(published.ValuePartPrefix+digest) == 0 {
			values[published.ValuePartPrefix+digest] = part
		}
	}
	b.Platform.PublishAll(values)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set = set
	return nil
}

// withStandinAddresses returns a copy of the set with the addresses of the
// stand-ins.
func (b *Bed) withStandinAddresses(set *objects.Set) *objects.Set {
	next := *set
	next.BackendServers = map[string]*objects.BackendServer{}
	for name, server := range set.BackendServers {
		copied := *server
		if s := b.server(name); s != nil {
			copied.Spec.Address = s.Addr()
		}
		next.BackendServers[name] = &copied
	}
	next.Index()
	return &next
}

// UpdateConfig publishes a copy of the configuration after change has edited it.
// The copy is shallow: change must replace objects rather than modify them.
func (b *Bed) UpdateConfig(change func(next *objects.Set)) error {
	next := *b.PublishedSet()
	next.Regions = maps.Clone(next.Regions)
	next.BackendServers = maps.Clone(next.BackendServers)
	next.Routes = maps.Clone(next.Routes)
	next.ResidencyRules = maps.Clone(next.ResidencyRules)
	next.Teams = maps.Clone(next.Teams)
	next.Policies = maps.Clone(next.Policies)
	next.Limits = maps.Clone(next.Limits)
	change(&next)
	return b.Publish(&next)
}

// SetVMState sets the state of an entry VM or of a backend server's VM in the
// list of VMs and publishes the list. The state "" removes the VM from the list.
func (b *Bed) SetVMState(vm, state string) error {
	b.mu.Lock()
	b.vmStates[vm] = state
	b.mu.Unlock()
	return b.publishVMs()
}

// publishVMs publishes the list of VMs and the directory.
func (b *Bed) publishVMs() error {
	list, err := json.Marshal(b.vmList())
	if err != nil {
		return err
	}
	entries, err := json.Marshal(b.directoryEntries())
	if err != nil {
		return err
	}
	b.Platform.PublishAll(map[string][]byte{
		vmListValue:              list,
		published.ValueDirectory: entries,
	})
	if b.directory != nil {
		b.directory.Set(b.directoryEntries())
	}
	return nil
}

func (b *Bed) vmList() published.VMList {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list published.VMList
	add := func(vm published.VM) {
		state, set := b.vmStates[vm.Name]
		if !set {
			state = published.StateLive
		}
		if state != "" {
			vm.State = state
			list.VMs = append(list.VMs, vm)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		add(b.Gateways[name].vm())
	}
	for _, name := range slices.Sorted(maps.Keys(b.set.BackendServers)) {
		domain := b.set.BackendServers[name].Spec.FailureDomain
		add(published.VM{
			Name: name, Region: b.set.RegionOf(domain),
			FailureDomain: domain, Role: published.RoleBackend,
		})
	}
	return list
}

// vmListFor returns the list of VMs as published to a region. The addresses of
// entry VMs in it are ports of the links from that region.
func (b *Bed) vmListFor(region string, data []byte) []byte {
	var list published.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return data
	}
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role != published.RoleEntry {
			continue
		}
		vm.ForwardAddress = b.addressFrom(region, vm.Name, forwardPort)
		vm.ControlAddress = b.addressFrom(region, vm.Name, controlPort)
	}
	view, err := json.Marshal(list)
	if err != nil {
		return data
	}
	return view
}
