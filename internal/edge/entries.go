package edge

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/mesh"
)

const (
	// entryTTL is how long callers may cache a response of the directory. It is
	// short so that callers leave a VM that shuts down before it exits; some
	// callers cache a response for three times as long.
	entryTTL = 500 * time.Millisecond
	// minDomainEntries is the number of VMs in the caller's failure domain below
	// which the VMs of the whole region are listed too.
	minDomainEntries = 2
	// maxEntries bounds the entries in a response of the directory.
	maxEntries = 64
	// maxEntriesPerVM bounds the entries of one VM, so that its loss cuts off a
	// bounded share of the callers.
	maxEntriesPerVM = 8
)

// callerLocation is a caller's region and failure domain. If a route of the
// caller's host is restricted to home regions, restricted is set and homes
// holds the regions that are home regions of the largest number of its routes.
type callerLocation struct {
	region, domain string
	homes          []string
	restricted     bool
}

// selectEntries returns the caller addresses of those of the members that a caller may use:
// those of its failure domain, or else of its region. A caller whose region has
// none is directed to the home regions of its host, then, if the host is
// restricted, to VMs of these regions or its own that are shutting down but still
// accept requests, and last to any VM that accepts requests. inRegion reports
// whether the caller's region has a VM that accepts requests.
func selectEntries(members []mesh.Member, at callerLocation) (list []string, inRegion bool) {
	var sameDomain, sameRegion, inHomeRegions, shuttingDown, all []mesh.Member
	for _, m := range members {
		if m.Reachable && m.Leaving && !m.Closing && (m.Region == at.region || slices.Contains(at.homes, m.Region)) {
			shuttingDown = append(shuttingDown, m)
		}
		if !m.AcceptsRequests() {
			continue
		}
		all = append(all, m)
		if at.restricted && slices.Contains(at.homes, m.Region) {
			inHomeRegions = append(inHomeRegions, m)
		}
		if m.Region != at.region {
			continue
		}
		sameRegion = append(sameRegion, m)
		if m.FailureDomain == at.domain {
			sameDomain = append(sameDomain, m)
		}
	}
	choice := all
	switch {
	case len(sameDomain) >= minDomainEntries:
		choice = sameDomain
	case len(sameRegion) > 0:
		choice = sameRegion
	case len(inHomeRegions) > 0:
		choice = inHomeRegions
	case at.restricted && len(shuttingDown) > 0:
		choice = shuttingDown
	}
	return weighted(choice), len(sameRegion) > 0
}

// weighted returns the caller addresses of the VMs. Callers connect to a random
// entry, so the address of a VM with more capacity is repeated.
func weighted(vms []mesh.Member) []string {
	vms = vms[:min(len(vms), maxEntries)]
	minCapacity, sum := math.Inf(1), 0.0
	for _, m := range vms {
		if m.Capacity <= 0 {
			minCapacity = 0 // some capacity is unknown: list each VM once
			break
		}
		minCapacity = min(minCapacity, m.Capacity)
		sum += m.Capacity
	}
	list := make([]string, 0, maxEntries)
	for _, m := range vms {
		list = append(list, m.Callers)
	}
	if minCapacity == 0 {
		return list
	}
	unit := max(minCapacity, sum/maxEntries)
	for _, m := range vms {
		repeats := min(maxEntriesPerVM, int(m.Capacity/unit)) - 1
		for range min(repeats, maxEntries-len(list)) {
			list = append(list, m.Callers)
		}
	}
	return list
}
