package configwatch

import (
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// view is what this process knows of revisions, besides the one in force.
type view struct {
	// known is the highest revision that any peer was heard to have in force,
	// and knownFrom is that peer.
	known     uint64
	knownFrom string
	// served is the highest revision that the service has shown.
	served uint64
	// backed says that a peer has been heard that this process may rely on to
	// remember what was in force before it started.
	backed bool
	// confirmed is when the revision in force was last known to be the
	// newest. It means nothing while unconfirmed is set.
	confirmed   clock.Instant
	unconfirmed bool
	// behind is when a revision above the one in force was first known; zero
	// means that none is.
	behind clock.Instant
	// serviceFailed says that the last call of the service failed.
	serviceFailed bool

	serviceCalls uint64
	peerCalls    uint64
	ignored      uint64
}

// hear records that vm has the revision in force. The caller holds w.mu.
func (w *Watcher) hear(vm string, revision uint64) {
	if revision == 0 {
		return
	}
	w.view.backed = w.view.backed || w.remembers(vm)
	if revision > w.view.known {
		w.view.known, w.view.knownFrom = revision, vm
	}
}

// remembers reports whether a peer that has a configuration is enough to trust
// the service after a start. Peers of the own region may have started at the
// same time, while the region was cut off; so it must be one of another
// region, where there are others.
func (w *Watcher) remembers(vm string) bool {
	s := w.Publisher.Load()
	if len(s.Config.Regions) == 1 {
		return true
	}
	m := s.Members[vm]
	return m != nil && m.Region != w.Self.Region
}

// pending is a configuration whose parts aren't all there yet.
type pending struct {
	value   published.Value
	parts   map[string][]byte
	missing string // digest of a part that is missing
	reason  string
}

// rejection is a configuration that failed the check.
type rejection struct {
	value  published.Value
	reason string
}

func (r *rejection) matches(value published.Value) bool {
	return r != nil && r.value.Revision == value.Revision && string(r.value.Data) == string(value.Data)
}

// confirm records that the revision was the newest at the instant at. It is
// ignored where the revision isn't in force any more or a newer one is known.
func (w *Watcher) confirm(revision uint64, at clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision == 0 || revision != w.revision() || w.floor() > revision {
		return
	}
	if w.Peers != nil && !w.view.backed {
		return // Nobody may remember: the service alone may be stale.
	}
	if !w.view.unconfirmed && at <= w.view.confirmed {
		return
	}
	w.view.confirmed, w.view.unconfirmed = at, false
	w.publishConfirmation()
}

// floor returns the lowest revision that can be the newest, by what peers
// have in force, what the service has shown and what orders engines have
// accepted: a fencing number is a revision.
func (w *Watcher) floor() uint64 {
	floor := max(w.view.known, w.view.served)
	for _, b := range w.Publisher.Load().Backends {
		floor = max(floor, b.Fence)
	}
	return floor
}

// publishConfirmation copies the confirmation into the snapshot.
func (w *Watcher) publishConfirmation() {
	confirmed, unconfirmed := w.view.confirmed, w.view.unconfirmed
	w.Publisher.Update(func(next *snapshot.Snapshot) {
		next.ConfigConfirmedAt, next.ConfigUnconfirmed = confirmed, unconfirmed
	})
}

// noteBehind marks the process unconfirmed where a newer revision has been
// known for longer than behindLimit.
func (w *Watcher) noteBehind() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	switch {
	case w.view.known <= w.revision():
		w.view.behind = 0
	case w.view.behind == 0:
		w.view.behind = now
	case now.Sub(w.view.behind) > behindLimit && !w.view.unconfirmed:
		w.view.unconfirmed = true
		w.publishConfirmation()
		w.Log.Warn("configuration is behind", "revision", w.revision(), "known", w.view.known, "peer", w.view.knownFrom)
	}
}

// State is the dump of a Watcher.
type State struct {
	Revision    uint64  `json:"revision"`
	Known       uint64  `json:"known"`
	Served      uint64  `json:"served"`
	Unconfirmed bool    `json:"unconfirmed"`
	AgeSeconds  float64 `json:"confirmedAgeSeconds"`
	Watches     bool    `json:"watches"`
	// Waiting is set while a manifest's parts aren't all there.
	Waiting *WaitingState `json:"waiting,omitempty"`
	// Rejected is set while the newest revision failed the check.
	Rejected     *RejectedState `json:"rejected,omitempty"`
	ServiceCalls uint64         `json:"serviceCalls"`
	PeerCalls    uint64         `json:"peerCalls"`
	Ignored      uint64         `json:"ignoredLowerRevisions"`
}

// WaitingState describes a manifest whose parts aren't all there.
type WaitingState struct {
	Revision uint64 `json:"revision"`
	Missing  string `json:"missing"`
	Reason   string `json:"reason"`
}

// RejectedState describes a configuration that failed the check.
type RejectedState struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// State returns the dump, of the type State.
func (w *Watcher) State() any {
	watches := w.IsWatcher()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := State{
		Revision: w.revision(), Known: w.view.known, Served: w.view.served,
		Unconfirmed: w.view.unconfirmed, Watches: watches,
		ServiceCalls: w.view.serviceCalls, PeerCalls: w.view.peerCalls, Ignored: w.view.ignored,
	}
	if !w.view.unconfirmed {
		s.AgeSeconds = w.Now().Sub(w.view.confirmed).Seconds()
	}
	if p := w.pending; p != nil {
		s.Waiting = &WaitingState{Revision: p.value.Revision, Missing: p.missing, Reason: p.reason}
	}
	if r := w.rejected; r != nil {
		s.Rejected = &RejectedState{Revision: r.value.Revision, Reason: r.reason}
	}
	return s
}

// metrics are the counters and gauges of a Watcher.
type metrics struct {
	applied, rejected, ignored, serviceCalls, serviceErrors, peerCalls tally.Counter
	revision, waiting, invalid, age                                    tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("config")
	return metrics{
		applied:       s.Counter("applied"),
		rejected:      s.Counter("rejected"),
		ignored:       s.Counter("ignored_lower_revision"),
		serviceCalls:  s.Counter("service_calls"),
		serviceErrors: s.Counter("service_errors"),
		peerCalls:     s.Counter("peer_calls"),
		revision:      s.Gauge("revision"),
		waiting:       s.Gauge("waiting_for_parts"),
		invalid:       s.Gauge("invalid"),
		age:           s.Gauge("confirmed_age_seconds"),
	}
}
