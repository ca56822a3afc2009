package configwatch

import (
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// view holds what this process knows about revisions, except for the
// configuration in force.
type view struct {
	// peerRevision is the highest revision that a peer reported to have in
	// force, and peerRevisionFrom is the VM name of that peer.
	peerRevision     uint64
	peerRevisionFrom string
	// serviceRevision is the highest revision that the service returned.
	serviceRevision uint64
	// seenTrustedPeer is set once a trusted peer (see isTrustedPeer) has reported its
	// revision, or a confirmed peer has responded. Until then no revision is
	// confirmed, since the service alone may be stale.
	seenTrustedPeer bool
	// confirmedAt is when the revision in force was last known to be the newest.
	// It is invalid while unconfirmed is set.
	confirmedAt clock.Instant
	unconfirmed bool
	// behindSince is when this process noticed that a peer has a higher revision
	// than the one in force; zero means that no peer has.
	behindSince clock.Instant
	// serviceFailed reports whether the last watch or read of the service failed.
	serviceFailed bool

	serviceCalls uint64
	peerCalls    uint64
	ignoredLower uint64
}

// recordRevisionLocked records that vm has the revision in force. The caller
// must hold w.mu.
func (w *Watcher) recordRevisionLocked(vm string, revision uint64) {
	if revision == 0 {
		return
	}
	w.view.seenTrustedPeer = w.view.seenTrustedPeer || w.isTrustedPeer(vm)
	if revision > w.view.peerRevision {
		w.view.peerRevision, w.view.peerRevisionFrom = revision, vm
	}
}

// isTrustedPeer reports whether a revision from the peer is sufficient to trust
// the service after a start. Peers of the own region may have restarted together
// with this process while the region was partitioned, and then know no more than
// the service, which may be stale. The peer must therefore be in another region,
// if there is one.
func (w *Watcher) isTrustedPeer(vm string) bool {
	s := w.Publisher.Load()
	if len(s.Config.Regions) == 1 {
		return true
	}
	m := s.Members[vm]
	return m != nil && m.Region != w.Self.Region
}

// pendingConfig is a configuration with missing parts.
type pendingConfig struct {
	value   published.Value
	parts   map[string][]byte
	missing string // digest of a missing part
	reason  string
}

// rejectedConfig is a configuration that failed validation.
type rejectedConfig struct {
	value  published.Value
	reason string
}

func (r *rejectedConfig) matches(value published.Value) bool {
	return r != nil && r.value.Revision == value.Revision && string(r.value.Data) == string(value.Data)
}

// recordConfirmation records that the revision was the newest at the instant at. It
// has no effect if the revision is no longer in force or a newer one is known.
func (w *Watcher) recordConfirmation(revision uint64, at clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision == 0 || revision != w.revision() || w.minNewestRevision() > revision {
		return
	}
	if w.Peers != nil && !w.view.seenTrustedPeer {
		return // the service may be stale, and no trusted peer has reported its revision
	}
	if !w.view.unconfirmed && at <= w.view.confirmedAt {
		return
	}
	w.view.confirmedAt, w.view.unconfirmed = at, false
	w.publishConfirmation()
}

// minNewestRevision returns a lower bound of the newest revision. It is the highest
// revision that is known from peers, from the service, or from the orders that
// engines have accepted: the fencing number of an order is a revision.
func (w *Watcher) minNewestRevision() uint64 {
	floor := max(w.view.peerRevision, w.view.serviceRevision)
	for _, b := range w.Publisher.Load().Backends {
		floor = max(floor, b.Fence)
	}
	return floor
}

// publishConfirmation copies the confirmation to the snapshot.
func (w *Watcher) publishConfirmation() {
	confirmed, unconfirmed := w.view.confirmedAt, w.view.unconfirmed
	w.Publisher.Update(func(next *snapshot.Snapshot) {
		next.ConfigConfirmedAt, next.ConfigUnconfirmed = confirmed, unconfirmed
	})
}

// checkBehind marks the process as unconfirmed if a newer revision of a peer has
// been known for longer than behindLimit.
func (w *Watcher) checkBehind() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	switch {
	case w.view.peerRevision <= w.revision():
		w.view.behindSince = 0
	case w.view.behindSince == 0:
		w.view.behindSince = now
	case now.Sub(w.view.behindSince) > behindLimit && !w.view.unconfirmed:
		w.view.unconfirmed = true
		w.publishConfirmation()
		w.Log.Warn("configuration is out of date", "revision", w.revision(), "peerRevision", w.view.peerRevision, "peer", w.view.peerRevisionFrom)
	}
}

// State is the state dump of a Watcher.
type State struct {
	Revision        uint64  `json:"revision"`
	PeerRevision    uint64  `json:"known"`
	ServiceRevision uint64  `json:"served"`
	Unconfirmed     bool    `json:"unconfirmed"`
	AgeSeconds      float64 `json:"confirmedAgeSeconds"`
	IsWatcher       bool    `json:"watches"`
	// Waiting is set while a configuration has missing parts.
	Waiting *WaitingState `json:"waiting,omitempty"`
	// Rejected is set after a configuration failed validation, until one with the
	// same or a higher revision is in force.
	Rejected     *RejectedState `json:"rejected,omitempty"`
	ServiceCalls uint64         `json:"serviceCalls"`
	PeerCalls    uint64         `json:"peerCalls"`
	IgnoredLower uint64         `json:"ignoredLowerRevisions"`
}

// WaitingState describes a configuration with missing parts.
type WaitingState struct {
	Revision uint64 `json:"revision"`
	Missing  string `json:"missing"`
	Reason   string `json:"reason"`
}

// RejectedState describes a configuration that failed validation.
type RejectedState struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// State returns the state dump. Its type is State.
func (w *Watcher) State() any {
	isWatcher := w.IsWatcher()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := State{
		Revision: w.revision(), PeerRevision: w.view.peerRevision, ServiceRevision: w.view.serviceRevision,
		Unconfirmed: w.view.unconfirmed, IsWatcher: isWatcher,
		ServiceCalls: w.view.serviceCalls, PeerCalls: w.view.peerCalls, IgnoredLower: w.view.ignoredLower,
	}
	if !w.view.unconfirmed {
		s.AgeSeconds = w.Now().Sub(w.view.confirmedAt).Seconds()
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
