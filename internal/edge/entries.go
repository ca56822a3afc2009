package edge

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/mesh"
)

const (
	// entryTTL is how long callers may keep an answer of the directory. It is
	// short, so that callers leave a VM that shuts down before it must go;
	// some keep an answer for three times as long.
	entryTTL = time.Second
	// fewEntries is the number of VMs of the caller's failure domain below
	// which those of the whole region are named too.
	fewEntries = 2
	// maxEntries bounds an answer of the directory.
	maxEntries = 64
)

// entries returns the callers' addresses of the VMs that a caller in a region
// and failure domain may use: those near it, or all where none is near. A
// region's callers are sent to another region only if it has no VM.
func entries(self mesh.Member, others []mesh.Member, region, domain string) []string {
	var near, regional, all []string
	for _, m := range append([]mesh.Member{self}, others...) {
		if !m.Reachable || !m.Ready || m.Leaving {
			continue
		}
		all = append(all, m.Callers)
		if m.Region != region {
			continue
		}
		regional = append(regional, m.Callers)
		if m.FailureDomain == domain {
			near = append(near, m.Callers)
		}
	}
	switch {
	case len(near) >= fewEntries:
		return near[:min(len(near), maxEntries)]
	case len(regional) > 0:
		return regional[:min(len(regional), maxEntries)]
	default:
		return all[:min(len(all), maxEntries)]
	}
}
