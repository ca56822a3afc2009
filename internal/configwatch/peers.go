package configwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxFetchPeers is the maximum number of peers from which one newer revision is
	// requested.
	maxFetchPeers = 4
	// maxConfirmPeers is the maximum number of peers asked for one confirmation.
	maxConfirmPeers = 2
	// maxPartPeers is the maximum number of peers asked for one part.
	maxPartPeers = 2
)

// startFromPeers puts the highest revision of the peers in force. It runs before
// the first read of the service, which may return an older revision. Its duration
// is bounded.
func (w *Watcher) startFromPeers(ctx context.Context) {
	const checkInterval = 50 * time.Millisecond
	deadline := w.Now().Add(firstPeerWait)
	for w.Now() < deadline && len(w.Peers.Revisions()) == 0 {
		if !pause(ctx, checkInterval) {
			return
		}
	}
	if len(w.Peers.Revisions()) > 0 {
		pause(ctx, furtherPeersWait)
	}
	w.recordPeerRevisions()
	ctx, cancel := context.WithTimeout(ctx, startFetchTimeout)
	defer cancel()
	for w.isBehind() && !w.fetchFromPeers(ctx) {
		if !pause(ctx, minBackoff) {
			return
		}
		w.recordPeerRevisions()
	}
}

// followPeers fetches newer revisions from peers until ctx ends. If this member
// isn't a watcher, followPeers also asks peers to confirm the revision in force.
func (w *Watcher) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		case <-ticker.C:
		}
		w.recordPeerRevisions()
		w.checkBehind()
		if w.isBehind() {
			w.catchUp(ctx)
		}
		if !w.IsWatcher() && w.confirmationAge() >= askPeersAfter {
			w.requestConfirmation(ctx)
		}
	}
}

func (w *Watcher) recordPeerRevisions() {
	revisions := w.Peers.Revisions()
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm, revision := range revisions {
		w.recordRevisionLocked(vm, revision)
	}
}

func (w *Watcher) isBehind() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.peerRevision > w.revision()
}

// catchUp fetches a newer revision from peers or, if that fails, from the
// service.
func (w *Watcher) catchUp(ctx context.Context) {
	w.mu.Lock()
	serviceAvailable := !w.view.serviceFailed
	w.mu.Unlock()
	if w.IsWatcher() && serviceAvailable {
		// This member's own watch most likely returns the same revision.
		if !pause(ctx, watcherGrace) || !w.isBehind() {
			return
		}
	}
	if !w.fetchFromPeers(ctx) && w.readLimiter.Allow() {
		_ = w.pollService(ctx, pollWait)
	}
}

// fetchFromPeers tries the peers with a newer revision, the highest first. It
// reports whether a revision of theirs was put in force.
func (w *Watcher) fetchFromPeers(ctx context.Context) bool {
	for _, vm := range w.newerPeers() {
		if w.fetchFromPeer(ctx, vm) {
			return true
		}
	}
	return false
}

// fetchFromPeer fetches the configuration in force at the peer and offers it. It
// reports whether the offer succeeded.
func (w *Watcher) fetchFromPeer(ctx context.Context, vm string) bool {
	w.countPeerCall()
	before := w.revision()
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	value, err := w.Peers.Manifest(callCtx, vm)
	cancel()
	if err != nil || value.Revision <= before {
		return false
	}
	sources := append([]partSource{w.peerPartSource(vm), w.fetchServicePart}, w.peerPartSources(vm)...)
	return w.offer(ctx, value, sources) == nil
}

// newerPeers returns peers with a revision higher than the one in force, the
// highest first. Among equal revisions, peers of the own region come first; the
// order is random otherwise, which spreads the load.
func (w *Watcher) newerPeers() []string {
	revisions := w.Peers.Revisions()
	w.mu.Lock()
	if w.view.peerRevision > 0 && w.view.peerRevisionFrom != "" {
		revisions = withRevision(revisions, w.view.peerRevisionFrom, w.view.peerRevision)
	}
	var rejected uint64
	if w.rejected != nil {
		rejected = w.rejected.value.Revision
	}
	w.mu.Unlock()
	current := w.revision()
	var list []string
	for vm, revision := range revisions {
		if revision > current && revision != rejected {
			list = append(list, vm)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int {
		if revisions[a] != revisions[b] {
			if revisions[a] > revisions[b] {
				return -1
			}
			return 1
		}
		return w.regionRank(a) - w.regionRank(b)
	})
	return list[:min(len(list), maxFetchPeers)]
}

func withRevision(revisions map[string]uint64, vm string, revision uint64) map[string]uint64 {
	merged := make(map[string]uint64, len(revisions)+1)
	for name, r := range revisions {
		merged[name] = r
	}
	merged[vm] = max(merged[vm], revision)
	return merged
}

// regionRank returns 0 for a peer of the own region and 1 for others.
func (w *Watcher) regionRank(vm string) int {
	if m := w.Publisher.Load().Members[vm]; m != nil && m.Region == w.Self.Region {
		return 0
	}
	return 1
}

// requestConfirmation asks peers with at least the revision in force when it was
// last confirmed.
func (w *Watcher) requestConfirmation(ctx context.Context) {
	confirmer, ok := w.Peers.(Confirmer)
	if !ok {
		return
	}
	for _, vm := range w.peersWithRevision(w.revision(), maxConfirmPeers) {
		w.countPeerCall()
		askedAt := w.Now()
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		confirmation, err := confirmer.Confirmation(callCtx, vm)
		cancel()
		if err != nil {
			continue
		}
		w.RecordPeerRevision(vm, confirmation.Revision)
		if confirmation.Confirmed {
			w.recordConfirmedPeer(confirmation.Revision)
			w.recordConfirmation(confirmation.Revision, askedAt.Add(-confirmation.Age))
		}
		if w.confirmationAge() < askPeersAfter {
			return
		}
	}
}

// recordConfirmedPeer records the response of a confirmed peer. Such a peer either
// knows which revision was in force before this process started, or relies on a
// peer that does.
func (w *Watcher) recordConfirmedPeer(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.seenTrustedPeer = w.view.seenTrustedPeer || revision > 0
}

// peersWithRevision returns up to limit peers that have at least the revision,
// those of the own region first and in random order otherwise.
func (w *Watcher) peersWithRevision(revision uint64, limit int) []string {
	var list []string
	for vm, r := range w.Peers.Revisions() {
		if r >= revision && r > 0 {
			list = append(list, vm)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int { return w.regionRank(a) - w.regionRank(b) })
	return list[:min(len(list), limit)]
}

// peerPartSource returns a source that fetches parts from the peer.
func (w *Watcher) peerPartSource(vm string) partSource {
	return func(ctx context.Context, digest string) ([]byte, error) {
		w.countPeerCall()
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return w.Peers.Part(ctx, vm, digest)
	}
}

// peerPartSources returns sources that fetch parts from peers other than vm.
func (w *Watcher) peerPartSources(vm string) []partSource {
	var sources []partSource
	for _, other := range w.peersWithRevision(1, maxPartPeers) {
		if other != vm {
			sources = append(sources, w.peerPartSource(other))
		}
	}
	return sources
}

// partSources returns the sources for the parts of a manifest from the service. A
// process without a configuration asks peers first, as it needs all parts and
// the service limits the rate of calls.
func (w *Watcher) partSources() []partSource {
	if w.Peers == nil {
		return []partSource{w.fetchServicePart}
	}
	peers := w.peerPartSources("")
	if w.revision() == 0 {
		return append(peers, w.fetchServicePart)
	}
	return append([]partSource{w.fetchServicePart}, peers...)
}

func (w *Watcher) countPeerCall() {
	w.metrics.peerCalls.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.peerCalls++
}
