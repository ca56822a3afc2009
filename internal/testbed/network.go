package testbed

import (
	"fmt"
	"maps"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/link"
	standinplatform "github.com/chestnutspring/chestnutspring/internal/standin/platform"
)

// regionPair identifies the link between two regions, in alphabetical order. A
// pair of the same region identifies the network within that region. Gateways
// use that one only until they have exchanged their own addresses.
type regionPair struct{ a, b string }

func pairOf(a, b string) regionPair {
	if b < a {
		a, b = b, a
	}
	return regionPair{a, b}
}

// purpose is the purpose of a VM's port.
type purpose int

const (
	forwardPort purpose = iota
	controlPort
)

// portKey identifies the port through which a region reaches a VM.
type portKey struct {
	from    string // region
	to      string // VM
	purpose purpose
}

// startPlatform starts one listener of the platform for each region.
func (b *Bed) startPlatform(set *objects.Set) error {
	for name := range set.Regions {
		s, err := standin.Serve(loopback, b.Platform.Handler(name))
		if err != nil {
			return err
		}
		b.otherServers = append(b.otherServers, s)
		b.platformURLs[name] = s.URL()
		b.Platform.SetView(name, vmListValue, func(data []byte) []byte { return b.vmListFor(name, data) })
	}
	return nil
}

// startLinks starts the links and the ports through which each region reaches
// each VM.
func (b *Bed) startLinks(set *objects.Set) error {
	regions := slices.Sorted(maps.Keys(set.Regions))
	for i, from := range regions {
		b.links[pairOf(from, from)] = link.New(link.Config{})
		for j, to := range regions[i+1:] {
			spec := set.LinkBetween(from, to)
			if spec == nil {
				continue
			}
			b.links[pairOf(from, to)] = link.New(link.Config{
				Delay:             spec.Delay.AsDuration(),
				Jitter:            b.config.Jitter,
				Loss:              b.config.Loss,
				MegabitsPerSecond: spec.MegabitsPerSecond,
				Seed:              b.config.Seed + uint64(i*len(regions)+j),
			})
		}
	}
	for _, from := range regions {
		for _, g := range b.Gateways {
			if err := b.openPorts(from, g); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *Bed) openPorts(from string, g *Gateway) error {
	l := b.links[pairOf(from, g.Region)]
	if l == nil {
		return nil
	}
	direction := link.Forward
	if from > g.Region {
		direction = link.Backward
	}
	for _, purpose := range []purpose{forwardPort, controlPort} {
		port, err := l.Listen(direction, "")
		if err != nil {
			return err
		}
		b.ports[portKey{from, g.Name, purpose}] = port
	}
	return nil
}

// addressFrom returns the address at which a region reaches a VM, or "" if
// there is no link.
func (b *Bed) addressFrom(from, vm string, purpose purpose) string {
	port := b.ports[portKey{from, vm, purpose}]
	if port == nil {
		return ""
	}
	return port.Addr()
}

// setPortTargets sets the targets of a VM's ports to the addresses that its
// gateway listens on.
func (b *Bed) setPortTargets(g *Gateway) {
	for key, port := range b.ports {
		switch {
		case key.to != g.Name:
		case key.purpose == forwardPort:
			port.SetTarget(g.addresses.forward)
		default:
			port.SetTarget(g.addresses.control)
		}
	}
}

// Link returns the link between two regions. It panics if there is none, with the
// names: a test has misspelled one of them.
func (b *Bed) Link(a, c string) *link.Link {
	l := b.links[pairOf(a, c)]
	if l == nil {
		panic(fmt.Sprintf("testbed: there is no link between the regions %q and %q", a, c))
	}
	return l
}

// HasLink reports whether there is a link between two regions.
func (b *Bed) HasLink(a, c string) bool { return b.links[pairOf(a, c)] != nil }

// CutLink stalls all connections over the link between two regions.
func (b *Bed) CutLink(a, c string) { b.Link(a, c).SetCut(link.CutBlackhole) }

// HealLink undoes CutLink.
func (b *Bed) HealLink(a, c string) { b.Link(a, c).Heal() }

// Isolate disconnects a region from all other regions and from the platform.
func (b *Bed) Isolate(region string) {
	for pair, l := range b.links {
		if pair.a != pair.b && (pair.a == region || pair.b == region) {
			l.SetCut(link.CutBlackhole)
		}
	}
	b.Platform.SetOutage(region, standinplatform.OutageHang)
}

// Rejoin undoes Isolate.
func (b *Bed) Rejoin(region string) {
	for pair, l := range b.links {
		if pair.a != pair.b && (pair.a == region || pair.b == region) {
			l.Heal()
		}
	}
	b.Platform.SetOutage(region, standinplatform.OutageNone)
}

// RegionTraffic is the traffic from one region to another.
type RegionTraffic struct {
	From, To string
	Bytes    int64
}

// CrossRegionTraffic returns the number of bytes sent between regions so far.
func (b *Bed) CrossRegionTraffic() []RegionTraffic {
	var found []RegionTraffic
	for pair, l := range b.links {
		if pair.a == pair.b {
			continue
		}
		found = append(found,
			RegionTraffic{pair.a, pair.b, l.Bytes(link.Forward)},
			RegionTraffic{pair.b, pair.a, l.Bytes(link.Backward)})
	}
	return found
}
