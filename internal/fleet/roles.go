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
	// watchers is how many members of a region watch the platform.
	watchers = 2
	// carriers is how many members of a region report to each other region.
	carriers = 2
	// attempts is how many silent members of the own region are tried at a
	// time, in turn.
	attempts = 2
	// attemptInterval is how long one of them is tried.
	attemptInterval = 5 * time.Second
)

// roles is what this member does for the fleet; it follows from who is
// reachable.
type roles struct {
	// view identifies what the division of probes rests on: the reachable
	// members and the configuration. Equal views divide equally.
	view uint32
	// live are the reachable members of the own region, in order.
	live []string
	// probers holds the members that probe each backend server.
	probers map[string][]string
	// targets are the peers to which changes are sent: VM and address.
	targets map[string]string
}

// assign works out the roles from the members.
func (f *Fleet) assign(members map[string]*snapshot.Member, now clock.Instant) {
	live := f.liveMembers(members)
	view := f.viewOf(live)
	if view != f.roles.view || f.roles.probers == nil {
		f.roles.probers = f.divideProbes(live, members)
	}
	f.roles.live, f.roles.view = live, view
	f.watcher.Store(slices.Contains(membership.Choose(live, "watcher", watchers), f.cfg.Self.VM))
	f.roles.targets = f.targets(members, live, now)
}

// liveMembers returns the reachable members of the own region, self included.
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

func (f *Fleet) viewOf(live []string) uint32 {
	text := strings.Join(live, " ") + " " + strconv.FormatUint(f.set.Revision, 10)
	return uint32(xxhash.Sum64String(text) & 0xffff)
}

// targets returns the peers to send to: neighbours, the receivers of the
// regions for which this member is a carrier, silent members in turn, and
// seeds whose members aren't known.
func (f *Fleet) targets(members map[string]*snapshot.Member, live []string, now clock.Instant) map[string]string {
	targets := map[string]string{}
	add := func(vm string) {
		if m := members[vm]; m != nil && m.ControlAddress != "" && vm != f.cfg.Self.VM {
			targets[vm] = m.ControlAddress
		}
	}
	for _, vm := range membership.SelectPeers(f.preferred(live, now), f.cfg.Self.VM) {
		add(vm)
	}
	for _, vm := range f.receivers(members, live, now) {
		add(vm)
	}
	for _, vm := range f.silentInTurn(members, live, now) {
		add(vm)
	}
	f.addSeeds(targets, members)
	return targets
}

// preferred drops the peers that couldn't be connected to lately, unless none
// is left.
func (f *Fleet) preferred(vms []string, now clock.Instant) []string {
	kept := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool {
		until, ok := f.avoid[vm]
		return ok && now < until
	})
	if len(kept) == 0 || len(kept) == 1 && kept[0] == f.cfg.Self.VM {
		return vms
	}
	return kept
}

// receivers returns one peer in each region for which this member carries.
func (f *Fleet) receivers(members map[string]*snapshot.Member, live []string, now clock.Instant) []string {
	byRegion := map[string][]string{}
	for vm, m := range members {
		if m.Region != f.cfg.Self.Region && (m.Reachable || m.Incarnation == "") {
			byRegion[m.Region] = append(byRegion[m.Region], vm)
		}
	}
	var chosen []string
	for region, vms := range byRegion {
		slices.Sort(vms)
		own := membership.Choose(live, "carrier/"+region, carriers)
		rank := slices.Index(own, f.cfg.Self.VM)
		if rank < 0 {
			continue
		}
		// A different rank begins at a different receiver.
		order := membership.Choose(f.preferred(vms, now), "receiver/"+f.cfg.Self.Region, carriers)
		chosen = append(chosen, order[rank%len(order)])
	}
	return chosen
}

// silentInTurn returns a few members of the own region that aren't reachable.
func (f *Fleet) silentInTurn(members map[string]*snapshot.Member, live []string, now clock.Instant) []string {
	var silent []string
	for vm, m := range members {
		if m.Region == f.cfg.Self.Region && !slices.Contains(live, vm) {
			silent = append(silent, vm)
		}
	}
	slices.Sort(silent)
	turn := int(now.Sub(f.started)/attemptInterval) * attempts
	var chosen []string
	for i := range min(attempts, len(silent)) {
		chosen = append(chosen, silent[(turn+i)%len(silent)])
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

// connect starts and ends links so that they match the roles.
func (f *Fleet) connect(ctx context.Context, group *errgroup.Group, now clock.Instant) {
	for name, l := range f.links {
		if l.failed != 0 {
			f.avoid[name] = now.Add(avoidAfterFailure)
		}
		if f.roles.targets[name] != l.address {
			l.cancel()
			delete(f.links, name)
		}
	}
	maps.DeleteFunc(f.avoid, func(_ string, until clock.Instant) bool { return until <= now })
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
