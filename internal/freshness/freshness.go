// Package freshness keeps how recent a VM's knowledge of the configuration is, so that a key
// which the operators have removed opens nothing once the removal has to be in force, also on
// a VM that is cut off, paused, restarted or informed by other VMs.
//
// A confirmation states that a version was the newest at an instant. It comes from a read
// of the registry, which counts from the instant at which it was sent, or from another VM, whose
// own knowledge has an age: that is subtracted from the instant at which the VM was asked. Time
// in transit only makes the knowledge older.
//
// The package opens no sockets and takes the time as a parameter, on the boot-time clock, which
// counts the time for which the VM was suspended.
package freshness

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// restoreSettle is the time after the registry was restored from a copy in which reads
	// confirm nothing: what the operators wrote last may be missing. It is written again
	// within about two seconds.
	restoreSettle = 2 * time.Second
	// margin is how long before the bound the knowledge counts as too old. It covers the
	// time from the decision to send a request until it is sent.
	margin = 300 * time.Millisecond
)

// Tracker keeps the age of the knowledge of the configuration in force. It is safe for
// concurrent use. The zero value has no bound and knows nothing.
type Tracker struct {
	// Bound is the time after the confirmation of a configuration from which keys that it
	// removed open nothing; zero means that there is no such bound.
	Bound time.Duration

	mu sync.Mutex
	// inForce is the version in force here, and newest the highest version heard of.
	inForce, newest uint64
	// asOf is an instant at which inForce was certainly the newest; zero means none is known.
	asOf clock.Instant
	// pending is a confirmation of a version that is not in force here yet.
	pending confirmation
	// readsCountFrom is the earliest instant at which a read that counts was sent.
	readsCountFrom clock.Instant
}

type confirmation struct {
	version uint64
	asOf    clock.Instant
}

// SetInForce records that a version came into force here.
func (t *Tracker) SetInForce(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.inForce {
		return
	}
	t.inForce = version
	t.newest = max(t.newest, version)
	if t.pending.version == version {
		t.asOf = max(t.asOf, t.pending.asOf)
	}
}

// Hear records that another VM has a version. Confirmations of lower versions don't count from
// now on.
func (t *Tracker) Hear(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = max(t.newest, version)
}

// ConfirmRead records that a read of the registry, which was sent at the given instant, found
// a version to be the newest.
func (t *Tracker) ConfirmRead(version uint64, sentAt clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt >= t.readsCountFrom {
		t.confirm(confirmation{version, sentAt})
	}
}

// ConfirmByVM records that another VM, which was asked at the given instant, stated that a
// version was the newest at the given age before its answer.
func (t *Tracker) ConfirmByVM(version uint64, askedAt clock.Instant, age time.Duration) {
	if age < 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(confirmation{version, askedAt.Add(-age)})
}

// confirm applies a confirmation. The caller holds the lock.
func (t *Tracker) confirm(c confirmation) {
	switch {
	case c.version < t.newest:
		return // its source has not heard of the newest version, or was restored without it
	case c.version == t.inForce:
		t.asOf = max(t.asOf, c.asOf)
	default:
		t.newest = c.version
		if c.version != t.pending.version {
			t.pending = c
		}
		t.pending.asOf = max(t.pending.asOf, c.asOf)
	}
}

// Restored records that the registry was restored from a copy.
func (t *Tracker) Restored(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readsCountFrom = now.Add(restoreSettle)
}

// Age returns the time since the configuration in force was certainly the newest, and false
// if that isn't known.
func (t *Tracker) Age(now clock.Instant) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asOf == 0 {
		return 0, false
	}
	return max(0, now.Sub(t.asOf)), true
}

// Permits reports whether a request for which a key is needed may be sent.
func (t *Tracker) Permits(now clock.Instant) bool {
	if t.Bound == 0 {
		return true
	}
	age, known := t.Age(now)
	return known && age < t.Bound-margin
}

// Confirmation returns the version in force and its age, for another VM, and false if it has
// no known age.
func (t *Tracker) Confirmation(now clock.Instant) (version uint64, age time.Duration, known bool) {
	age, known = t.Age(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce, age, known
}
