// Package platform is a stand-in for the operators' platform: the configuration
// service with the list of VMs and the directory.
//
// It serves the protocol of internal/published. Only the process that hosts it can
// publish values.
package platform

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Outage is a kind of outage of the service. Higher values take precedence.
type Outage int32

const (
	// OutageNone means that the service works.
	OutageNone Outage = iota
	// OutageError makes each call fail with status 503.
	OutageError
	// OutageHang leaves calls without a response.
	OutageHang
)

// View transforms a value for the readers of one region, for example to replace
// addresses by those of that region's links.
type View func(data []byte) []byte

type version struct {
	revision uint64
	data     []byte
}

// Platform holds the published values with all their revisions. Its methods are
// safe for concurrent use.
type Platform struct {
	mu              sync.Mutex
	values          map[string][]version // in order of publication
	views           map[string]map[string]View
	revisionsBehind map[string]int // by value name; "" means all values
	outages         map[string]Outage
	changed         chan struct{} // closed and replaced at each change
	calls           atomic.Uint64
	callsByRegion   map[string]uint64 // calls by region
}

// New returns a platform without values.
func New() *Platform {
	return &Platform{
		values:          map[string][]version{},
		views:           map[string]map[string]View{},
		revisionsBehind: map[string]int{},
		outages:         map[string]Outage{},
		changed:         make(chan struct{}),
		callsByRegion:   map[string]uint64{},
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

// PublishAll sets several values atomically.
func (p *Platform) PublishAll(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		p.append(name, values[name])
	}
	p.notifyReaders()
}

// PublishRevision sets a value with the given revision. The revision may be lower
// than the newest one, to simulate a faulty service.
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

// SetView sets the view of a value for the readers of a region.
func (p *Platform) SetView(region, name string, view View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.views[region] == nil {
		p.views[region] = map[string]View{}
	}
	p.views[region][name] = view
	p.notifyReaders()
}

// SetOutage sets the outage for the readers of a region, or of all regions if
// region is "".
func (p *Platform) SetOutage(region string, outage Outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outages[region] = outage
	p.notifyReaders()
}

// SetStale makes reads of a value, or of all values if name is "", return an
// older value: the given number of publications before the last one.
func (p *Platform) SetStale(name string, revisions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revisionsBehind[name] = revisions
	p.notifyReaders()
}

// Calls returns the number of calls. A watch counts as one call.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

// RegionCalls returns the number of calls from a region.
func (p *Platform) RegionCalls(region string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callsByRegion[region]
}

// Revision returns the newest revision of a value, or 0 if there is no value.
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

// readState is the state of a value for one reader.
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
