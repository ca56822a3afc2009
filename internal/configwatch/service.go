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
		wait, bucket := watchWait, w.watches
		if !w.IsWatcher() {
			if !w.awaitFallback(ctx) {
				continue
			}
			wait, bucket = pollWait, w.reads
		}
		if err := bucket.Wait(ctx); err != nil {
			continue
		}
		if err := w.poll(ctx, wait); isTemporary(err) {
			pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
	return ctx.Err()
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	b.Reset()
	return b
}

// awaitFallback waits until this member should read the service. It reports
// false where something may have changed and the caller should look again.
func (w *Watcher) awaitFallback(ctx context.Context) bool {
	if left := fallbackAfter - w.confirmationAge(); left > 0 {
		pause(ctx, min(left, askAfter))
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
	age := w.Now().Sub(w.view.confirmed)
	w.metrics.age.Update(age.Seconds())
	return age
}

// poll asks the service once for a newer manifest.
func (w *Watcher) poll(ctx context.Context, wait time.Duration) error {
	asked := w.Now()
	value, err := w.watchOnce(ctx, wait)
	switch {
	case errorx.IsOfType(err, published.ErrUnchanged):
		return w.unchanged(ctx, asked, value.Revision)
	case err != nil:
		return err
	}
	return w.served(ctx, asked, value)
}

func (w *Watcher) watchOnce(ctx context.Context, wait time.Duration) (published.Value, error) {
	w.countServiceCall()
	w.mu.Lock()
	after := max(w.view.served, w.revision())
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

// unchanged handles a watch that ended without a newer revision. newest is
// the service's own newest revision, or zero where it didn't say.
func (w *Watcher) unchanged(ctx context.Context, asked clock.Instant, newest uint64) error {
	revision := w.revision()
	if newest != 0 && newest < revision {
		w.ignore(published.Value{Revision: newest})
		return ErrLower.New("the service shows revision %d, %d is in force", newest, revision)
	}
	w.mu.Lock()
	waiting := w.pending
	w.mu.Unlock()
	if waiting != nil && waiting.value.Revision > revision {
		return w.offer(ctx, waiting.value, w.sourcesForServed())
	}
	w.confirm(revision, asked)
	return nil
}

// served handles a manifest that the service returned.
func (w *Watcher) served(ctx context.Context, asked clock.Instant, value published.Value) error {
	w.mu.Lock()
	w.view.served = max(w.view.served, value.Revision)
	w.mu.Unlock()
	if err := w.offer(ctx, value, w.sourcesForServed()); err != nil {
		return err
	}
	w.confirm(value.Revision, asked)
	return nil
}

// servicePart reads a part from the service.
func (w *Watcher) servicePart(ctx context.Context, digest string) ([]byte, error) {
	w.countServiceCall()
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	value, err := w.Reader.Read(ctx, published.ValuePartPrefix+digest)
	return value.Data, err
}
