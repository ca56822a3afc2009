package configwatch

import (
	"context"
	"errors"
	"sync"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("configwatch")
	// ErrMissingParts is returned if parts of a configuration could not be
	// fetched yet.
	ErrMissingParts = Errors.NewType("waiting", errorx.Temporary())
	// ErrRejected is returned if a configuration failed validation.
	ErrRejected = Errors.NewType("rejected")
	// ErrLowerRevision is returned if a revision is lower than the one in force.
	ErrLowerRevision = Errors.NewType("lower")
)

// maxParallelFetches is the maximum number of parts that are fetched
// concurrently.
const maxParallelFetches = 16

// partSource fetches a part by its digest.
type partSource func(ctx context.Context, digest string) ([]byte, error)

// offer puts the configuration in force if it is newer than the one in force.
// If offer returns nil, this configuration or a newer one is in force. Its
// errors are ErrLowerRevision, ErrMissingParts and ErrRejected.
func (w *Watcher) offer(ctx context.Context, value published.Value, sources []partSource) error {
	if done, err := w.knownOutcome(value); done {
		return err
	}
	manifest, err := bundle.ParseManifest(value.Data)
	if err != nil {
		return w.reject(value, err)
	}
	parts, err := w.collectParts(ctx, value, manifest, sources)
	if err != nil {
		return err
	}
	return w.apply(value, parts)
}

// knownOutcome reports whether the outcome of offering the value is known
// without fetching its parts, and returns that outcome.
func (w *Watcher) knownOutcome(value published.Value) (bool, error) {
	switch revision := w.revision(); {
	case value.Revision == revision:
		return true, nil
	case value.Revision < revision:
		w.countIgnored(value)
		return true, ErrLowerRevision.New("revision %d is lower than revision %d in force", value.Revision, revision)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rejected.matches(value) {
		return true, ErrRejected.New("revision %d: %s", value.Revision, w.rejected.reason)
	}
	return false, nil
}

func (w *Watcher) countIgnored(value published.Value) {
	w.metrics.ignored.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.ignoredLower++
}

// collectParts returns all parts of the manifest. It takes them from the
// configuration in force and from the pending one, and fetches the others from
// the sources, which are tried in order.
func (w *Watcher) collectParts(ctx context.Context, value published.Value, manifest *bundle.Manifest, sources []partSource) (map[string][]byte, error) {
	parts, missing := w.availableParts(value, manifest)
	if len(missing) == 0 {
		return parts, nil
	}
	// Fetch the first one alone: if it isn't available, the others aren't needed
	// yet. This saves calls to the service.
	data, err := fetchPart(ctx, missing[0], sources)
	if err != nil {
		return nil, w.setPending(value, parts, missing[0], err)
	}
	parts[missing[0]] = data
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelFetches)
	unavailable := ""
	for _, digest := range missing[1:] {
		g.Go(func() error {
			data, err := fetchPart(ctx, digest, sources)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				parts[digest] = data
			} else if unavailable == "" {
				unavailable = digest
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, w.setPending(value, parts, unavailable, err)
	}
	return parts, nil
}

// availableParts returns the parts of the manifest that this process has and
// the digests of the missing ones, starting with the one that was missing at the
// last attempt.
func (w *Watcher) availableParts(value published.Value, manifest *bundle.Manifest) (map[string][]byte, []string) {
	w.mu.Lock()
	pending := w.pending
	w.mu.Unlock()
	parts := make(map[string][]byte, bundle.PartCount)
	var missing []string
	for _, digest := range manifest.Digests() {
		if data, ok := w.Part(digest); ok {
			parts[digest] = data
			continue
		}
		if pending != nil && pending.parts[digest] != nil {
			parts[digest] = pending.parts[digest]
			continue
		}
		missing = append(missing, digest)
		if pending != nil && pending.value.Revision == value.Revision && digest == pending.missing {
			missing[0], missing[len(missing)-1] = digest, missing[0]
		}
	}
	return parts, missing
}

// fetchPart returns the part from the first source whose data matches the
// digest.
func fetchPart(ctx context.Context, digest string, sources []partSource) ([]byte, error) {
	err := error(published.ErrAbsent.New("no source of parts"))
	for _, source := range sources {
		var data []byte
		if data, err = source(ctx, digest); err != nil {
			continue
		}
		if err = bundle.Verify(digest, data); err == nil {
			return data, nil
		}
	}
	return nil, err
}

// setPending records a configuration with missing parts and returns
// ErrMissingParts.
func (w *Watcher) setPending(value published.Value, parts map[string][]byte, missing string, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	isNew := w.pending == nil || w.pending.value.Revision != value.Revision
	if w.pending == nil || w.pending.value.Revision <= value.Revision {
		w.pending = &pendingConfig{value: value, parts: parts, missing: missing, reason: cause.Error()}
		w.metrics.waiting.Update(1)
	}
	if isNew {
		w.Log.Warn("configuration has missing parts", "revision", value.Revision, "part", missing, "error", cause)
	}
	return ErrMissingParts.Wrap(cause, "revision %d", value.Revision)
}

// apply validates the complete configuration and puts it in force.
func (w *Watcher) apply(value published.Value, parts map[string][]byte) error {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if value.Revision <= w.revision() {
		return nil
	}
	get := func(digest string) ([]byte, error) { return parts[digest], nil }
	set, err := w.bundleReader.Open(value.Data, get)
	if err != nil {
		return w.reject(value, err)
	}
	set.Revision = value.Revision
	w.current.Store(&inForce{value: value, parts: parts})
	w.Publisher.Update(func(next *snapshot.Snapshot) { next.Config = set })
	w.recordApplied(value, set.Len())
	return nil
}

// recordApplied updates state and metrics after a configuration was put in
// force.
func (w *Watcher) recordApplied(value published.Value, objects int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending != nil && w.pending.value.Revision <= value.Revision {
		w.pending = nil
		w.metrics.waiting.Update(0)
	}
	if w.rejected != nil && w.rejected.value.Revision <= value.Revision {
		w.rejected = nil
		w.metrics.invalid.Update(0)
	}
	w.metrics.applied.Inc(1)
	w.metrics.revision.Update(float64(value.Revision))
	w.Log.Info("configuration in force", "revision", value.Revision, "objects", objects)
	select {
	case <-w.ready:
	default:
		close(w.ready)
	}
}

// reject records and logs a configuration that failed validation, and returns
// ErrRejected.
func (w *Watcher) reject(value published.Value, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rejected == nil || w.rejected.value.Revision <= value.Revision {
		w.rejected = &rejectedConfig{value: value, reason: cause.Error()}
		w.metrics.invalid.Update(1)
	}
	if w.pending != nil && w.pending.value.Revision == value.Revision {
		w.pending = nil
		w.metrics.waiting.Update(0)
	}
	w.metrics.rejected.Inc(1)
	w.Log.Error("configuration rejected", "revision", value.Revision, "error", truncatedText(cause))
	return ErrRejected.Wrap(cause, "revision %d", value.Revision)
}

// truncatedText returns the error's text, truncated for a log line.
func truncatedText(err error) string {
	const limit = 1000
	text := err.Error()
	if len(text) > limit {
		return text[:limit] + "..."
	}
	return text
}

// isTemporary reports whether the same call may succeed later.
func isTemporary(err error) bool {
	return err != nil && !errorx.IsOfType(err, ErrRejected) && !errorx.IsOfType(err, ErrLowerRevision) && !errors.Is(err, context.Canceled)
}
