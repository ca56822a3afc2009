package configwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// learnTries is how many peers are tried for one newer revision.
	learnTries = 4
	// confirmTries is how many peers are asked for one confirmation.
	confirmTries = 2
	// partPeers is how many peers are asked for one part.
	partPeers = 2
)

// startFromPeers takes the highest revision that peers have, before anything
// that the service shows is put in force. It takes a bounded time.
func (w *Watcher) startFromPeers(ctx context.Context) {
	const look = 50 * time.Millisecond
	deadline := w.Now().Add(startWait)
	for w.Now() < deadline && len(w.Peers.Revisions()) == 0 {
		if !pause(ctx, look) {
			return
		}
	}
	if len(w.Peers.Revisions()) > 0 {
		pause(ctx, settleWait)
	}
	w.hearAll()
	ctx, cancel := context.WithTimeout(ctx, startFetch)
	defer cancel()
	for w.isBehind() && !w.learn(ctx) {
		if !pause(ctx, minBackoff) {
			return
		}
		w.hearAll()
	}
}

// followPeers fetches what peers have in force and asks them to confirm.
func (w *Watcher) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		case <-ticker.C:
		}
		w.hearAll()
		w.noteBehind()
		if w.isBehind() {
			w.catchUp(ctx)
		}
		if !w.IsWatcher() && w.confirmationAge() >= askAfter {
			w.askConfirmation(ctx)
		}
	}
}

func (w *Watcher) hearAll() {
	revisions := w.Peers.Revisions()
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm, revision := range revisions {
		w.hear(vm, revision)
	}
}

func (w *Watcher) isBehind() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.known > w.revision()
}

// catchUp fetches a newer revision from peers, or else from the service.
func (w *Watcher) catchUp(ctx context.Context) {
	w.mu.Lock()
	patient := !w.view.serviceFailed
	w.mu.Unlock()
	if w.IsWatcher() && patient {
		// Its own watch most likely brings the same.
		if !pause(ctx, watcherGrace) || !w.isBehind() {
			return
		}
	}
	if !w.learn(ctx) && w.reads.Allow() {
		_ = w.poll(ctx, pollWait)
	}
}

// learn tries peers with a newer revision, the highest first, and reports
// whether one of theirs came into force.
func (w *Watcher) learn(ctx context.Context) bool {
	for _, vm := range w.ahead() {
		if w.learnFrom(ctx, vm) {
			return true
		}
	}
	return false
}

// learnFrom fetches the configuration in force at a peer.
func (w *Watcher) learnFrom(ctx context.Context, vm string) bool {
	w.countPeerCall()
	before := w.revision()
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	value, err := w.Peers.Manifest(call, vm)
	cancel()
	if err != nil || value.Revision <= before {
		return false
	}
	sources := append([]partSource{w.peerPart(vm), w.servicePart}, w.peerParts(vm)...)
	return w.offer(ctx, value, sources) == nil
}

// ahead returns peers with a revision above the one in force: the highest
// first, then those of the own region, else in random order.
func (w *Watcher) ahead() []string {
	revisions := w.Peers.Revisions()
	w.mu.Lock()
	if w.view.known > 0 && w.view.knownFrom != "" {
		revisions = withEntry(revisions, w.view.knownFrom, w.view.known)
	}
	var skip uint64
	if w.rejected != nil {
		skip = w.rejected.value.Revision
	}
	w.mu.Unlock()
	current := w.revision()
	var list []string
	for vm, revision := range revisions {
		if revision > current && revision != skip {
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
		return w.distance(a) - w.distance(b)
	})
	return list[:min(len(list), learnTries)]
}

func withEntry(revisions map[string]uint64, vm string, revision uint64) map[string]uint64 {
	merged := make(map[string]uint64, len(revisions)+1)
	for name, r := range revisions {
		merged[name] = r
	}
	merged[vm] = max(merged[vm], revision)
	return merged
}

// distance is 0 for a peer of the own region and 1 for others.
func (w *Watcher) distance(vm string) int {
	if m := w.Publisher.Load().Members[vm]; m != nil && m.Region == w.Self.Region {
		return 0
	}
	return 1
}

// askConfirmation asks peers with the same revision how fresh it is.
func (w *Watcher) askConfirmation(ctx context.Context) {
	confirmer, ok := w.Peers.(Confirmer)
	if !ok {
		return
	}
	for _, vm := range w.peersAt(w.revision(), confirmTries) {
		w.countPeerCall()
		asked := w.Now()
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		answer, err := confirmer.Confirmation(call, vm)
		cancel()
		if err != nil {
			continue
		}
		w.RecordPeerRevision(vm, answer.Revision)
		if answer.Confirmed {
			w.relyOn(answer.Revision)
			w.confirm(answer.Revision, asked.Add(-answer.Age))
		}
		if w.confirmationAge() < askAfter {
			return
		}
	}
}

// relyOn records that a peer which is itself confirmed answered: it remembers,
// or relies on one that does.
func (w *Watcher) relyOn(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.backed = w.view.backed || revision > 0
}

// peersAt returns up to limit peers that have at least the revision in force,
// those of the own region first.
func (w *Watcher) peersAt(revision uint64, limit int) []string {
	var list []string
	for vm, r := range w.Peers.Revisions() {
		if r >= revision && r > 0 {
			list = append(list, vm)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int { return w.distance(a) - w.distance(b) })
	return list[:min(len(list), limit)]
}

// peerPart returns the source that asks one peer for a part.
func (w *Watcher) peerPart(vm string) partSource {
	return func(ctx context.Context, digest string) ([]byte, error) {
		w.countPeerCall()
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return w.Peers.Part(ctx, vm, digest)
	}
}

// peerParts returns sources that ask peers other than vm.
func (w *Watcher) peerParts(vm string) []partSource {
	var sources []partSource
	for _, other := range w.peersAt(1, partPeers) {
		if other != vm {
			sources = append(sources, w.peerPart(other))
		}
	}
	return sources
}

// sourcesForServed returns where the parts of a manifest from the service are
// sought: a process that has nothing yet asks peers first, for the service's
// calls are limited.
func (w *Watcher) sourcesForServed() []partSource {
	if w.Peers == nil {
		return []partSource{w.servicePart}
	}
	peers := w.peerParts("")
	if w.revision() == 0 {
		return append(peers, w.servicePart)
	}
	return append([]partSource{w.servicePart}, peers...)
}

func (w *Watcher) countPeerCall() {
	w.metrics.peerCalls.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.peerCalls++
}
