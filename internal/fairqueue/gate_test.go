package fairqueue

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// pool counts the slots for Claim.TryReserve. The gate's lock guards it.
type pool struct{ free, size int }

func (p *pool) claim(team string, cost, maxWait time.Duration) Claim {
	return Claim{
		Team: team, ExpectedDuration: cost, MaxWait: maxWait,
		TryReserve: func() bool {
			if p.free == 0 {
				return false
			}
			p.free--
			return true
		},
		Capacity: func() int { return p.size },
	}
}

func (p *pool) release(g *Gate, team string, expected, held time.Duration) {
	g.mu.Lock()
	p.free++
	g.mu.Unlock()
	g.Release(team, expected, held)
}

func TestCancelledCallerIsRemovedFromQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, p := NewGate(clock.Synthetic()), &pool{free: 1, size: 1}
		is.NoErr(g.Acquire(t.Context(), p.claim("a", time.Second, time.Minute)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- g.Acquire(ctx, p.claim("a", time.Second, time.Minute)) }()
		synctest.Wait()
		is.Equal(g.Queued(), 1)
		cancel()
		is.Equal(<-done, context.Canceled)
		is.Equal(g.Queued(), 0)
		p.release(g, "a", time.Second, time.Second)
		is.NoErr(g.Acquire(t.Context(), p.claim("a", time.Second, 0))) // the slot is free again
	})
}

func TestMaxWaitBoundsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, p := NewGate(clock.Synthetic()), &pool{free: 0, size: 1}
		start := time.Now()
		err := g.Acquire(t.Context(), p.claim("a", time.Second, 300*time.Millisecond))
		is.True(errorx.IsOfType(err, ErrWaitTimeout))
		is.Equal(time.Since(start), 300*time.Millisecond)
		err = g.Acquire(t.Context(), p.claim("a", time.Second, 0))
		is.True(errorx.IsOfType(err, ErrWaitTimeout))
		is.Equal(time.Since(start), 300*time.Millisecond) // refused at once
	})
}

// Queued requests get capacity that becomes free without a Release, such as a
// backend server that another gateway no longer uses.
func TestNewCapacityIsUsedWithoutRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, p := NewGate(clock.Synthetic()), &pool{free: 0, size: 4}
		go func() {
			time.Sleep(100 * time.Millisecond)
			g.mu.Lock()
			p.free = 1
			g.mu.Unlock()
		}()
		start := time.Now()
		is.NoErr(g.Acquire(t.Context(), p.claim("a", time.Second, time.Minute)))
		is.True(time.Since(start) <= 100*time.Millisecond+pollInterval)
	})
}

// A team that demands ten times its share increases the p99 of wait plus service
// time of the other teams by at most 10 %.
func TestGreedyTeamDoesNotDelayOtherTeams(t *testing.T) {
	alone := othersP99(t, 1)
	greedy := othersP99(t, 10)
	t.Logf("p99 of the other teams: %v without a greedy team, %v with one", alone, greedy)
	if greedy > alone*11/10 {
		t.Fatalf("p99 of the other teams increased from %v to %v", alone, greedy)
	}
}

// othersP99 runs four teams on 32 slots and returns the p99 of wait plus service
// time of all but the first. Each team's base rate is a quarter of 60 % of the
// capacity; the first team sends the given multiple of it.
func othersP99(t *testing.T, multiple float64) time.Duration {
	const (
		slots   = 32
		teams   = 4
		service = 500 * time.Millisecond
		length  = 60 * time.Second
	)
	var p99 time.Duration
	synctest.Test(t, func(t *testing.T) {
		g, p := NewGate(clock.Synthetic()), &pool{free: slots, size: slots}
		share := 0.6 * slots / service.Seconds() / teams // requests/s
		var mu sync.Mutex
		var others []time.Duration
		send := func(team string, held time.Duration) {
			start := time.Now()
			if g.Acquire(t.Context(), p.claim(team, service, 2*time.Second)) != nil {
				return
			}
			time.Sleep(held)
			p.release(g, team, service, held)
			if team != "team-0" {
				mu.Lock()
				others = append(others, time.Since(start))
				mu.Unlock()
			}
		}
		var wg sync.WaitGroup
		for i := range teams {
			rate := share
			if i == 0 {
				rate *= multiple
			}
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), 7))
				for start := time.Now(); time.Since(start) < length; {
					time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
					held := time.Duration((0.5 + rng.Float64()) * float64(service))
					wg.Go(func() { send("team-"+string(rune('0'+i)), held) })
				}
			})
		}
		wg.Wait()
		slices.Sort(others)
		p99 = others[len(others)*99/100]
	})
	return p99
}

// When all teams demand more than their shares, no slots are reserved: every slot
// is in use while requests are queued.
func TestOverloadByAllTeamsUsesAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const teams, callersEach, slots = 5, 9, 10
		g, p := NewGate(clock.Synthetic()), &pool{free: slots, size: slots}
		end := time.Now().Add(30 * time.Second)
		var callers sync.WaitGroup
		for n := range teams * callersEach {
			team := string(rune('a' + n%teams))
			callers.Go(func() {
				for time.Now().Before(end) {
					if g.Acquire(t.Context(), p.claim(team, time.Second, time.Minute)) == nil {
						time.Sleep(time.Second)
						p.release(g, team, time.Second, time.Second)
					}
				}
			})
		}
		time.Sleep(10 * time.Second) // until the smoothed demand has converged
		for range 100 {
			time.Sleep(73 * time.Millisecond)
			if used := g.InFlight(); used < slots {
				t.Errorf("%d of %d slots in use while %d requests are queued", used, slots, g.Queued())
				break
			}
		}
		callers.Wait()
	})
}
