package configwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// followService watches the service, or reads it when this member doesn't
// watch and its configuration goes unconfirmed.
func (w *Watcher) followService(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		wait, bucket := watchWait, w.watchLimiter
		if !w.IsWatcher() {
			if !w.awaitFallback(ctx) {
				continue
			}
			wait, bucket = pollWait, w.readLimiter
		}
		if err := bucket.Wait(ctx); err != nil {
			continue
		}
		if err := w.pollService(ctx, wait); isTemporary(err) {
			pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
	return ctx.Err()
}

func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minBackoff
	policy.MaxInterval = maxBackoff
	policy.Reset()
	return policy
}

// awaitFallback waits until this member should read the service. It reports
// false where something may have changed and the caller should look again.
func (w *Watcher) awaitFallback(ctx context.Context) bool {
	if left := fallbackAfter - w.confirmationAge(); left > 0 {
		pause(ctx, min(left, askPeersAfter))
		return false
	}
	if !pause(ctx, rand.N(fallbackJitter)) {
		return false
	}
	return w.confirmationAge() >= fallbackAfter
}

// confirmationAge returns the time since the last confirmation; a process
// that is unconfirmed is as old as can be.
func (w *Watcher) confirmationAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view.unconfirmed {
		return time.Duration(1<<63 - 1)
	}
	age := w.Now().Sub(w.view.confirmedAt)
	w.metrics.age.Update(age.Seconds())
	return age
}

// pollService asks the service once for a newer manifest.
func (w *Watcher) pollService(ctx context.Context, wait time.Duration) error {
	askedAt := w.Now()
	value, err := w.watchService(ctx, wait)
	switch {
	case errorx.IsOfType(err, published.ErrUnchanged):
		return w.handleUnchanged(ctx, askedAt, value.Revision)
	case err != nil:
		return err
	}
	return w.handleManifest(ctx, askedAt, value)
}

func (w *Watcher) watchService(ctx context.Context, wait time.Duration) (published.Value, error) {
	w.countServiceCall()
	w.mu.Lock()
	after := max(w.view.serviceRevision, w.revision())
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+serviceTimeout)
	defer cancel()
	value, err := w.Reader.Watch(ctx, published.ValueManifest, after, wait)
	failed := err != nil && !errorx.IsOfType(err, published.ErrUnchanged)
	if failed {
		w.metrics.serviceErrors.Inc(1)
	}
	w.mu.Lock()
	w.view.serviceFailed = failed
	w.mu.Unlock()
	return value, err
}

func (w *Watcher) countServiceCall() {
	w.metrics.serviceCalls.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.serviceCalls++
}

// handleUnchanged handles a watch that ended without a newer revision. newest is
// the service's own newest revision, or zero where it didn't say.
func (w *Watcher) handleUnchanged(ctx context.Context, askedAt clock.Instant, newest uint64) error {
	revision := w.revision()
	if newest != 0 && newest < revision {
		w.countIgnored(published.Value{Revision: newest})
		return ErrLowerRevision.New("the service shows revision %d, %d is in force", newest, revision)
	}
	w.mu.Lock()
	waiting := w.pending
	w.mu.Unlock()
	if waiting != nil && waiting.value.Revision > revision {
		return w.offer(ctx, waiting.value, w.partSources())
	}
	w.recordConfirmation(revision, askedAt)
	return nil
}

// handleManifest handles a manifest that the service returned.
func (w *Watcher) handleManifest(ctx context.Context, askedAt clock.Instant, value published.Value) error {
	w.mu.Lock()
	w.view.serviceRevision = max(w.view.serviceRevision, value.Revision)
	w.mu.Unlock()
	if err := w.offer(ctx, value, w.partSources()); err != nil {
		return err
	}
	w.recordConfirmation(value.Revision, askedAt)
	return nil
}

// fetchServicePart reads a part from the service.
func (w *Watcher) fetchServicePart(ctx context.Context, digest string) ([]byte, error) {
	w.countServiceCall()
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	value, err := w.Reader.Read(ctx, published.ValuePartPrefix+digest)
	return value.Data, err
}
