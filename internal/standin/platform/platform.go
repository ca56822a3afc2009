// Package platform is a stand-in of the operators' platform: the
// configuration service, the list of VMs and the directory.
//
// It serves the protocol of internal/platform to readers. Only the process
// that hosts it can publish.
package platform

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Outage is the way in which the service fails.
type Outage int32

// The ways to fail.
const (
	// OutageNone means that the service works.
	OutageNone Outage = iota
	// OutageError answers each call with status 503.
	OutageError
	// OutageHang never answers.
	OutageHang
)

// View changes a value for the readers of one region, for example so that
// addresses lead over that region's links.
type View func(data []byte) []byte

type version struct {
	revision uint64
	data     []byte
}

// Platform holds the values. Its methods are safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	values  map[string][]version // oldest first
	views   map[string]map[string]View
	revisionsBehind   map[string]int // value name, "" for all: revisions to lag behind
	outages    map[string]Outage
	changed chan struct{} // closed at the next change
	calls   atomic.Uint64
	callsByRegion      map[string]uint64 // calls by region
}

// New returns a platform without values.
func New() *Platform {
	return &Platform{
		values:  map[string][]version{},
		views:   map[string]map[string]View{},
		revisionsBehind:   map[string]int{},
		outages:    map[string]Outage{},
		changed: make(chan struct{}),
		callsByRegion:      map[string]uint64{},
	}
}

// Publish sets a value and returns its new revision.
func (p *Platform) Publish(name string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.append(name, data)
	p.notifyReaders()
	return revision
}

// PublishAll sets several values at once: no reader sees only some of them.
func (p *Platform) PublishAll(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		p.append(name, values[name])
	}
	p.notifyReaders()
}

// PublishRevision sets a value with the given revision, which may be lower than the
// newest, as a faulty service might.
func (p *Platform) PublishRevision(name string, revision uint64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[name] = append(p.values[name], version{revision, slices.Clone(data)})
	p.notifyReaders()
}

// Remove deletes a value.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.values, name)
	p.notifyReaders()
}

// SetView changes how the readers of a region see a value.
func (p *Platform) SetView(region, name string, view View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.views[region] == nil {
		p.views[region] = map[string]View{}
	}
	p.views[region][name] = view
	p.notifyReaders()
}

// SetOutage makes the service fail for the readers of a region, or of all
// regions if region is "".
func (p *Platform) SetOutage(region string, outage Outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outages[region] = outage
	p.notifyReaders()
}

// SetStale makes reads of a value, or of all values if name is "", return the
// value that is the given number of revisions older than the newest.
func (p *Platform) SetStale(name string, revisions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revisionsBehind[name] = revisions
	p.notifyReaders()
}

// Calls returns how many calls were made. A waiting watch counts as one.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

// RegionCalls returns how many calls the readers of a region made.
func (p *Platform) RegionCalls(region string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callsByRegion[region]
}

// Revision returns the newest revision of a value; zero means that there is
// none.
func (p *Platform) Revision(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest(name)
}

func (p *Platform) append(name string, data []byte) uint64 {
	revision := p.newest(name) + 1
	p.values[name] = append(p.values[name], version{revision, slices.Clone(data)})
	return revision
}

func (p *Platform) newest(name string) uint64 {
	var revision uint64
	for _, v := range p.values[name] {
		revision = max(revision, v.revision)
	}
	return revision
}

func (p *Platform) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// readState is what a reader sees at one moment.
type readState struct {
	version version
	exists  bool
	outage  Outage
	changed <-chan struct{}
}

func (p *Platform) read(region, name string) readState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := readState{outage: max(p.outages[""], p.outages[region]), changed: p.changed}
	versions := p.values[name]
	if len(versions) == 0 {
		return s
	}
	lag := max(p.revisionsBehind[""], p.revisionsBehind[name])
	s.version = versions[max(0, len(versions)-1-lag)]
	s.exists = true
	if view := p.views[region][name]; view != nil {
		s.version.data = view(s.version.data)
	}
	return s
}

func (p *Platform) countCall(region string) {
	p.calls.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsByRegion[region]++
}
