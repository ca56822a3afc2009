package fleet

import (
	"slices"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/peer"
)

// State is the state dump of a Fleet.
type State struct {
	ProtocolVersion int    `json:"protocolVersion"`
	Watcher         bool   `json:"watcher"`
	Leaving         bool   `json:"leaving"`
	ListRevision    uint64 `json:"listRevision"`
	Records         int    `json:"records"`
	// Live names the reachable members of this region.
	Live  []string    `json:"live"`
	Links []LinkState `json:"links"`
	// Probes names the backend servers that this member probes.
	Probes []string `json:"probes"`
	// The counts below are totals since the start of the process.
	ControlBytesSent     int64 `json:"controlBytesSent"`
	ControlBytesReceived int64 `json:"controlBytesReceived"`
	ProbeBytesSent       int64 `json:"probeBytesSent"`
	ProbeBytesReceived   int64 `json:"probeBytesReceived"`
	ObservationsDropped  int64 `json:"observationsDropped"`
}

// LinkState is the state of one link to a peer.
type LinkState struct {
	VM        string `json:"vm"`
	Address   string `json:"address"`
	Connected bool   `json:"connected"`
}

// State returns the state dump.
func (f *Fleet) State() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{
		ProtocolVersion:      peer.ProtocolVersion,
		Watcher:              f.watcher.Load(),
		Leaving:              f.leaving,
		ListRevision:         f.listRevision,
		Records:              f.store.Len(),
		Live:                 f.roles.live,
		ControlBytesSent:     f.controlMeter.Sent.Load(),
		ControlBytesReceived: f.controlMeter.Received.Load(),
		ProbeBytesSent:       f.probeMeter.Sent.Load(),
		ProbeBytesReceived:   f.probeMeter.Received.Load(),
		ObservationsDropped:  f.droppedObservations.Load(),
	}
	for _, l := range f.links {
		s.Links = append(s.Links, LinkState{VM: l.vm, Address: l.address, Connected: l.session != nil})
	}
	slices.SortFunc(s.Links, func(a, b LinkState) int { return strings.Compare(a.Address, b.Address) })
	for _, name := range f.tracker.Names() {
		if slices.Contains(f.roles.probers[name], f.cfg.Self.VM) {
			s.Probes = append(s.Probes, name)
		}
	}
	return s
}
