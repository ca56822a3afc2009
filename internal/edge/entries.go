package edge

import (
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
	// maxEntries bounds an answer of the directory.
	maxEntries = 64
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
	var near, regional, homes, last, all []string
	for _, m := range append([]mesh.Member{self}, others...) {
		if m.Reachable && m.Leaving && !m.Closing && (m.Region == at.region || slices.Contains(at.homes, m.Region)) {
			last = append(last, m.Callers)
		}
		if !m.Reachable || !m.Ready || m.Leaving {
			continue
		}
		all = append(all, m.Callers)
		if at.bound && slices.Contains(at.homes, m.Region) {
			homes = append(homes, m.Callers)
		}
		if m.Region != at.region {
			continue
		}
		regional = append(regional, m.Callers)
		if m.FailureDomain == at.domain {
			near = append(near, m.Callers)
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
	return choice[:min(len(choice), maxEntries)], len(regional) > 0
}
