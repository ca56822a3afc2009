package edge

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/mesh"
)

const (
	// entryTTL is how long callers may keep an answer of the directory. It is
	// short, so that callers leave a VM that shuts down before it must go;
	// some keep an answer for three times as long.
	entryTTL = 500 * time.Millisecond
	// fewEntries is the number of VMs of the caller's failure domain below
	// which those of the whole region are named too.
	fewEntries = 2
	// maxEntries bounds an answer of the directory, and maxTimes the entries of
	// one VM, so that its loss cuts off a bounded share of the callers.
	maxEntries = 64
	maxTimes   = 8
)

// place is where a caller is, and which regions its host's routes permit.
type place struct {
	region, domain string
	homes          []string
	bound          bool
}

// entries returns the callers' addresses of the VMs that a caller may use:
// those of its failure domain, else of its region. Only where its region has
// none is it sent to others: first to those that may serve all routes of its
// host, then, for a host with bound routes, to those that may and shut down but
// still take requests. The second result is whether its region has any.
func entries(self mesh.Member, others []mesh.Member, at place) (list []string, inRegion bool) {
	var near, regional, homes, last, all []mesh.Member
	for _, m := range append([]mesh.Member{self}, others...) {
		if m.Reachable && m.Leaving && !m.Closing && (m.Region == at.region || slices.Contains(at.homes, m.Region)) {
			last = append(last, m)
		}
		if !m.AcceptsRequests() {
			continue
		}
		all = append(all, m)
		if at.bound && slices.Contains(at.homes, m.Region) {
			homes = append(homes, m)
		}
		if m.Region != at.region {
			continue
		}
		regional = append(regional, m)
		if m.FailureDomain == at.domain {
			near = append(near, m)
		}
	}
	choice := all
	switch {
	case len(near) >= fewEntries:
		choice = near
	case len(regional) > 0:
		choice = regional
	case len(homes) > 0:
		choice = homes
	case at.bound && len(last) > 0:
		choice = last
	}
	return weighted(choice), len(regional) > 0
}

// weighted returns the callers' addresses of the VMs. Callers connect to one of
// them at random, so one of a larger VM stands there more than once.
func weighted(vms []mesh.Member) []string {
	vms = vms[:min(len(vms), maxEntries)]
	least, sum := math.Inf(1), 0.0
	for _, m := range vms {
		if m.Capacity <= 0 {
			least = 0 // not all are known: all count alike
			break
		}
		least = min(least, m.Capacity)
		sum += m.Capacity
	}
	list := make([]string, 0, maxEntries)
	for _, m := range vms {
		list = append(list, m.Callers)
	}
	if least == 0 {
		return list
	}
	unit := max(least, sum/maxEntries)
	for _, m := range vms {
		times := min(maxTimes, int(m.Capacity/unit)) - 1
		for range min(times, maxEntries-len(list)) {
			list = append(list, m.Callers)
		}
	}
	return list
}
