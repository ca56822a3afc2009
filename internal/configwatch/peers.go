package configwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxFetchPeers is how many peers are tried for one newer revision.
	maxFetchPeers = 4
	// maxConfirmPeers is how many peers are asked for one confirmation.
	maxConfirmPeers = 2
	// maxPartPeers is how many peers are asked for one part.
	maxPartPeers = 2
)

// startFromPeers takes the highest revision that peers have, before anything
// that the service shows is put in force. It takes a bounded time.
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

// followPeers fetches what peers have in force and asks them to confirm.
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

// catchUp fetches a newer revision from peers, or else from the service.
func (w *Watcher) catchUp(ctx context.Context) {
	w.mu.Lock()
	serviceAvailable := !w.view.serviceFailed
	w.mu.Unlock()
	if w.IsWatcher() && serviceAvailable {
		// Its own watch most likely brings the same.
		if !pause(ctx, watcherGrace) || !w.isBehind() {
			return
		}
	}
	if !w.fetchFromPeers(ctx) && w.readLimiter.Allow() {
		_ = w.pollService(ctx, pollWait)
	}
}

// fetchFromPeers tries peers with a newer revision, the highest first, and reports
// whether one of theirs came into force.
func (w *Watcher) fetchFromPeers(ctx context.Context) bool {
	for _, vm := range w.newerPeers() {
		if w.fetchFromPeer(ctx, vm) {
			return true
		}
	}
	return false
}

// fetchFromPeer fetches the configuration in force at a peer.
func (w *Watcher) fetchFromPeer(ctx context.Context, vm string) bool {
	w.countPeerCall()
	before := w.revision()
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	value, err := w.Peers.Manifest(call, vm)
	cancel()
	if err != nil || value.Revision <= before {
		return false
	}
	sources := append([]partSource{w.peerPartSource(vm), w.fetchServicePart}, w.peerPartSources(vm)...)
	return w.offer(ctx, value, sources) == nil
}

// newerPeers returns peers with a revision above the one in force: the highest
// first, then those of the own region, else in random order.
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

// regionRank is 0 for a peer of the own region and 1 for others.
func (w *Watcher) regionRank(vm string) int {
	if m := w.Publisher.Load().Members[vm]; m != nil && m.Region == w.Self.Region {
		return 0
	}
	return 1
}

// requestConfirmation asks peers with the same revision how fresh it is.
func (w *Watcher) requestConfirmation(ctx context.Context) {
	confirmer, ok := w.Peers.(Confirmer)
	if !ok {
		return
	}
	for _, vm := range w.peersWithRevision(w.revision(), maxConfirmPeers) {
		w.countPeerCall()
		askedAt := w.Now()
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		confirmation, err := confirmer.Confirmation(call, vm)
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

// recordConfirmedPeer records that a peer which is itself confirmed answered: it remembers,
// or relies on one that does.
func (w *Watcher) recordConfirmedPeer(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.seenTrustedPeer = w.view.seenTrustedPeer || revision > 0
}

// peersWithRevision returns up to limit peers that have at least the revision in force,
// those of the own region first.
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

// peerPartSource returns the source that asks one peer for a part.
func (w *Watcher) peerPartSource(vm string) partSource {
	return func(ctx context.Context, digest string) ([]byte, error) {
		w.countPeerCall()
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return w.Peers.Part(ctx, vm, digest)
	}
}

// peerPartSources returns sources that ask peers other than vm.
func (w *Watcher) peerPartSources(vm string) []partSource {
	var sources []partSource
	for _, other := range w.peersWithRevision(1, maxPartPeers) {
		if other != vm {
			sources = append(sources, w.peerPartSource(other))
		}
	}
	return sources
}

// partSources returns where the parts of a manifest from the service are
// sought: a process that has nothing yet asks peers first, for the service's
// calls are limited.
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
