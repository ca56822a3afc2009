package balance

import (
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// unresponsivePolls is the number of unanswered polls in a row after which a
	// server gets no new requests.
	unresponsivePolls = 2
	// failedDialsOfLostLink is the number of failed attempts to connect in a row
	// after which a server gets no new requests.
	failedDialsOfLostLink = 2
)

// Link is what this VM knows of its own path to a backend server. Whether the link was
// lost or the server is down shows only at other VMs. The zero value is a link that
// works. Its methods are safe for concurrent use.
type Link struct {
	// missedPolls and failedDials count failures in a row. An answer over an open
	// connection doesn't show that new ones can be opened.
	missedPolls, failedDials atomic.Int32
	// restoredAt is when a lost link last worked again; zero means never.
	restoredAt atomic.Int64
}

// RecordPoll records whether a poll was answered.
func (l *Link) RecordPoll(answered bool, now clock.Instant) { l.record(&l.missedPolls, answered, now) }

// RecordDial records whether a connection could be opened.
func (l *Link) RecordDial(opened bool, now clock.Instant) { l.record(&l.failedDials, opened, now) }

func (l *Link) record(failures *atomic.Int32, ok bool, now clock.Instant) {
	if !ok {
		failures.Add(1)
		return
	}
	if failures.Load() == 0 {
		return
	}
	if l.Lost() {
		l.restoredAt.Store(int64(now))
	}
	failures.Store(0)
}

// Lost reports whether the server can't be reached: it answers no polls, or accepts no
// connections.
func (l *Link) Lost() bool {
	return l.missedPolls.Load() >= unresponsivePolls || l.failedDials.Load() >= failedDialsOfLostLink
}

// Doubtful reports whether the last poll was not answered, or the last attempt to
// connect failed.
func (l *Link) Doubtful() bool { return l.missedPolls.Load() > 0 || l.NeedsDial() }

// NeedsDial reports whether only a new connection can show that the link works.
func (l *Link) NeedsDial() bool { return l.failedDials.Load() > 0 }

// Settled reports whether the link works, and has worked for longer than d since it was
// last lost.
func (l *Link) Settled(d time.Duration, now clock.Instant) bool {
	if l.Lost() {
		return false
	}
	restored := clock.Instant(l.restoredAt.Load())
	return restored == 0 || now.Sub(restored) > d
}
