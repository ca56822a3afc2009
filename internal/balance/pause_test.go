package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// TestPausedServerIsNotChosen covers servers that refuse with a time to wait: they
// get no requests in that time, and when all wait, the plan says for how long.
func TestPausedServerIsNotChosen(t *testing.T) {
	is := is.New(t)
	b, r := newTestBalancer(0, 2)
	q := &Query{
		Now: clock.Instant(time.Hour), Route: &ingress.Route{Kind: ingress.Safe}, Service: &ingress.Service{Name: "desk"},
		Demand: &Demand{}, Remaining: time.Second,
	}
	pause := func(id string, d time.Duration) { b.Load(roster.ServerKey{ID: id, Started: 1}).Pause.Begin(d, q.Now) }
	pause("desk0", 10*time.Second)
	for q.Random = range 50 {
		is.Equal(b.Choose(q, r.View()).Server.ID, "desk1")
	}
	pause("desk1", 2*time.Second)
	plan := b.Choose(q, r.View())
	is.True(plan.Server == nil)
	is.Equal(plan.Reason, ReasonPaused)
	is.True(plan.RetryAfter >= 2*time.Second && plan.RetryAfter <= 2*time.Second+maxPauseJitter)
	q.Now = q.Now.Add(2*time.Second + maxPauseJitter + rampStep)
	is.Equal(b.Choose(q, r.View()).Server.ID, "desk1")
}

// TestRequestsReturnGraduallyAfterPause covers many VMs whose pauses at one server
// begin together: what they send at first is spread over time.
func TestRequestsReturnGraduallyAfterPause(t *testing.T) {
	is := is.New(t)
	const vms = 300
	start := clock.Instant(time.Hour)
	pauses := make([]Pause, vms)
	for i := range pauses {
		pauses[i].Begin(4*time.Second, start)
	}
	admitted := func(after time.Duration, active int) int {
		n := 0
		for i := range pauses {
			if pauses[i].Admits(active, start.Add(after)) {
				n++
			}
		}
		return n
	}
	is.Equal(admitted(4*time.Second-time.Millisecond, 0), 0)
	is.True(admitted(4*time.Second+maxPauseJitter/4, 0) < vms/2) // not all at once
	is.Equal(admitted(4*time.Second+maxPauseJitter, 0), vms)
	is.True(admitted(4*time.Second+maxPauseJitter, 10) < vms/5) // and few requests each
	is.Equal(admitted(4*time.Second+maxPauseJitter+rampDuration, 1000), vms)
}

func TestPauseIsBounded(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var p Pause
	is.Equal(p.Begin(0, now), time.Duration(0))
	is.Equal(p.Begin(-time.Second, now), time.Duration(0))
	is.True(p.Admits(1000, now))
	is.Equal(p.Begin(100*time.Hour, now), maxPause)
	is.True(p.Remaining(now) <= maxPause+maxPauseJitter)
	p.Begin(time.Second, now)
	is.True(p.Remaining(now) >= maxPause) // a shorter pause doesn't end the one in force
	is.Equal(p.Remaining(now.Add(2*maxPause)), time.Duration(0))
}
