package fleet

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// watchersPerRegion is the number of members of a region that watch the
	// platform.
	watchersPerRegion = 2
	// carriersPerRegion is the number of members of a region that exchange
	// records with each other region.
	carriersPerRegion = 2
	// unreachableTargets is the number of unreachable members of this region to
	// which connections are attempted at a time, in rotation.
	unreachableTargets = 2
	// unreachableInterval is the time between two steps of that rotation.
	unreachableInterval = 5 * time.Second
)

// roles holds the tasks of this member in the fleet. They are derived from the
// reachable members.
type roles struct {
	// viewID identifies the inputs of the assignment of probers: the reachable
	// members and the configuration revision. Members with the same viewID have
	// the same assignment.
	viewID uint32
	// live lists the reachable members of this region, sorted.
	live []string
	// probers holds the members that probe each backend server, by its name.
	probers map[string][]string
	// targets holds the addresses of the peers to which changes are sent, by VM;
	// by "seed ADDRESS" for a seed.
	targets map[string]string
}

// assignRoles derives the roles from the members.
func (f *Fleet) assignRoles(members map[string]*snapshot.Member, now clock.Instant) {
	live := f.liveMembers(members)
	view := f.computeViewID(live)
	if view != f.roles.viewID || f.roles.probers == nil {
		f.roles.probers = f.assignProbers(live, members)
	}
	f.roles.live, f.roles.viewID = live, view
	f.watcher.Store(slices.Contains(membership.Choose(live, "watcher", watchersPerRegion), f.cfg.Self.VM))
	f.roles.targets = f.linkTargets(members, live, now)
}

// liveMembers returns the reachable members of this region, including this one,
// sorted.
func (f *Fleet) liveMembers(members map[string]*snapshot.Member) []string {
	live := []string{f.cfg.Self.VM}
	for vm, m := range members {
		if vm != f.cfg.Self.VM && m.Region == f.cfg.Self.Region && m.Reachable {
			live = append(live, vm)
		}
	}
	slices.Sort(live)
	return live
}

func (f *Fleet) computeViewID(live []string) uint32 {
	text := strings.Join(live, " ") + " " + strconv.FormatUint(f.config.Revision, 10)
	return uint32(xxhash.Sum64String(text) & 0xffff)
}

// linkTargets returns the peers to send to: the gossip peers in this region, a
// receiver in each region for which this member is a carrier, unreachable
// members in rotation, and seeds whose members aren't known.
func (f *Fleet) linkTargets(members map[string]*snapshot.Member, live []string, now clock.Instant) map[string]string {
	targets := map[string]string{}
	add := func(vm string) {
		if m := members[vm]; m != nil && m.ControlAddress != "" && vm != f.cfg.Self.VM {
			targets[vm] = m.ControlAddress
		}
	}
	for _, vm := range membership.SelectPeers(f.withoutAvoided(live, now), f.cfg.Self.VM) {
		add(vm)
	}
	for _, vm := range f.regionReceivers(members, live, now) {
		add(vm)
	}
	for _, vm := range f.nextUnreachable(members, live, now) {
		add(vm)
	}
	f.addSeeds(targets, members)
	return targets
}

// withoutAvoided returns the VMs without those to which a connection failed
// recently, or all of them if no peer would be left.
func (f *Fleet) withoutAvoided(vms []string, now clock.Instant) []string {
	kept := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool {
		until, ok := f.avoidUntil[vm]
		return ok && now < until
	})
	if len(kept) == 0 || len(kept) == 1 && kept[0] == f.cfg.Self.VM {
		return vms
	}
	return kept
}

// regionReceivers returns one peer in each region for which this member is a
// carrier.
func (f *Fleet) regionReceivers(members map[string]*snapshot.Member, live []string, now clock.Instant) []string {
	byRegion := map[string][]string{}
	for vm, m := range members {
		if m.Region != f.cfg.Self.Region && (m.Reachable || m.Incarnation == "") {
			byRegion[m.Region] = append(byRegion[m.Region], vm)
		}
	}
	var chosen []string
	for region, vms := range byRegion {
		slices.Sort(vms)
		own := membership.Choose(live, "carrier/"+region, carriersPerRegion)
		rank := slices.Index(own, f.cfg.Self.VM)
		if rank < 0 {
			continue
		}
		// Carriers of different rank get different receivers where there are
		// several.
		order := membership.Choose(f.withoutAvoided(vms, now), "receiver/"+f.cfg.Self.Region, carriersPerRegion)
		chosen = append(chosen, order[rank%len(order)])
	}
	return chosen
}

// nextUnreachable returns the unreachable members of this region that are next
// in the rotation of connection attempts.
func (f *Fleet) nextUnreachable(members map[string]*snapshot.Member, live []string, now clock.Instant) []string {
	var unreachable []string
	for vm, m := range members {
		if m.Region == f.cfg.Self.Region && !slices.Contains(live, vm) {
			unreachable = append(unreachable, vm)
		}
	}
	slices.Sort(unreachable)
	start := int(now.Sub(f.startedAt)/unreachableInterval) * unreachableTargets
	var chosen []string
	for i := range min(unreachableTargets, len(unreachable)) {
		chosen = append(chosen, unreachable[(start+i)%len(unreachable)])
	}
	return chosen
}

// addSeeds adds the seeds whose address belongs to no reachable member.
func (f *Fleet) addSeeds(targets map[string]string, members map[string]*snapshot.Member) {
	known := map[string]bool{f.cfg.ControlAddress: true}
	for _, m := range members {
		if m.Reachable {
			known[m.ControlAddress] = true
		}
	}
	for _, address := range targets {
		known[address] = true
	}
	for _, address := range f.cfg.Seeds {
		if !known[address] {
			targets["seed "+address] = address
		}
	}
}

// updateLinks starts and stops links to match the targets of the roles.
func (f *Fleet) updateLinks(ctx context.Context, group *errgroup.Group, now clock.Instant) {
	for name, l := range f.links {
		if l.failedAt != 0 {
			f.avoidUntil[name] = now.Add(avoidAfterFailure)
		}
		if f.roles.targets[name] != l.address {
			l.cancel()
			delete(f.links, name)
		}
	}
	maps.DeleteFunc(f.avoidUntil, func(_ string, until clock.Instant) bool { return until <= now })
	for name, address := range f.roles.targets {
		if f.links[name] == nil {
			vm := name
			if strings.HasPrefix(name, "seed ") {
				vm = ""
			}
			f.links[name] = f.startLink(ctx, group, vm, address)
		}
	}
}
