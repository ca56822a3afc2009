package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Guards against issue 48 (TWICE): a server that stood still for a second counted as one that
// goes on with other requests, as a new one had just been sent to it.
func TestSentRequestIsNoProgressOfItsServer(t *testing.T) {
	is := is.New(t)
	l, now := &Load{}, clock.Instant(time.Hour)
	l.Begin(&Demand{}, &Estimate{}, now).RecordFirstByte(now)
	now = now.Add(1100 * time.Millisecond)
	l.Begin(&Demand{}, &Estimate{}, now)
	is.Equal(l.Progressing(now), false)
	is.Equal(l.SilentFor(now), time.Duration(0)) // the new request has waited for no time yet
}

// Guards against the same when the server goes on: its responses don't all arrive at once.
func TestServerThatStoodStillIsNotSettledAtOnce(t *testing.T) {
	is := is.New(t)
	l, now := &Load{}, clock.Instant(time.Hour)
	f := l.Begin(&Demand{}, &Estimate{}, now)
	f.RecordFirstByte(now)
	now = now.Add(1300 * time.Millisecond)
	f.RecordFirstByte(now)
	is.Equal(l.Progressing(now), false)
	is.Equal(l.Settled(now), false)
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		f.RecordFirstByte(now)
	}
	is.Equal(l.Progressing(now), true)
	is.Equal(l.Settled(now), true)
	now = now.Add(400 * time.Millisecond)
	is.Equal(l.Progressing(now), false) // no data just now
	is.Equal(l.Settled(now), true)
}
