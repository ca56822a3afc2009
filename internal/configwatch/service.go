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

// followService watches the service until ctx ends. If this member isn't a
// watcher, followService reads the service only while peers don't confirm the
// configuration.
func (w *Watcher) followService(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		wait, limiter := watchWait, w.watchLimiter
		if !w.IsWatcher() {
			if !w.awaitFallback(ctx) {
				continue
			}
			wait, limiter = pollWait, w.readLimiter
		}
		if err := limiter.Wait(ctx); err != nil {
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

// awaitFallback waits until this member should read the service itself. It
// reports false if the caller should check again whether a read is needed.
func (w *Watcher) awaitFallback(ctx context.Context) bool {
	if remaining := fallbackAfter - w.confirmationAge(); remaining > 0 {
		pause(ctx, min(remaining, askPeersAfter))
		return false
	}
	if !pause(ctx, rand.N(fallbackJitter)) {
		return false
	}
	return w.confirmationAge() >= fallbackAfter
}

// confirmationAge returns the time since the last confirmation, or the maximum
// duration if the process is unconfirmed.
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

// pollService asks the service once for a newer manifest, which the service may
// delay by up to wait, and handles the response.
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
// the newest revision that the service reported, or zero if it reported none.
func (w *Watcher) handleUnchanged(ctx context.Context, askedAt clock.Instant, newest uint64) error {
	revision := w.revision()
	if newest != 0 && newest < revision {
		w.countIgnored(published.Value{Revision: newest})
		return ErrLowerRevision.New("the service reports revision %d, lower than revision %d in force", newest, revision)
	}
	w.mu.Lock()
	pending := w.pending
	w.mu.Unlock()
	if pending != nil && pending.value.Revision > revision {
		return w.offer(ctx, pending.value, w.partSources())
	}
	w.recordConfirmation(revision, askedAt)
	return nil
}

// handleManifest handles a manifest that the service returned at or after
// askedAt.
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

// fetchServicePart fetches a part from the service.
func (w *Watcher) fetchServicePart(ctx context.Context, digest string) ([]byte, error) {
	w.countServiceCall()
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	value, err := w.Reader.Read(ctx, published.ValuePartPrefix+digest)
	return value.Data, err
}
