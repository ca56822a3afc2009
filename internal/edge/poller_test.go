package edge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

// closingFetcher counts the calls of CloseExpired.
type closingFetcher struct{ calls atomic.Int64 }

func (f *closingFetcher) FetchReport(context.Context, *roster.Server) (Report, error) {
	return Report{}, nil
}
func (f *closingFetcher) CloseExpired() { f.calls.Add(1) }

// Guards against issue 35: connections to engines that are no longer polled stayed open.
func TestPollerClosesExpiredConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fetcher := &closingFetcher{}
		p := &poller{fetcher: fetcher, table: func() *ingress.Table { return nil }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+pollInterval/2)
		defer cancel()
		is.Equal(p.run(ctx), context.DeadlineExceeded)
		is.Equal(fetcher.calls.Load(), int64(time.Second/pollInterval))
	})
}

// refusingFetcher counts polls, all of which find no process.
type refusingFetcher struct{ polls atomic.Int32 }

func (f *refusingFetcher) FetchReport(context.Context, *roster.Server) (Report, error) {
	f.polls.Add(1)
	time.Sleep(time.Millisecond)
	return Report{}, upstream.ErrRefused.New("no process listens")
}

func (f *refusingFetcher) CloseExpired() {}

// Guards against a regression of issue 34: a poll that was refused caused the next one at
// once, so that each VM polled a server that was down without a pause.
func TestServerThatIsDownIsPolledAtItsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		servers := roster.New(slog.New(slog.DiscardHandler))
		servers.Put(roster.Entry{ID: "i-1", Service: "writer", Address: "10.0.0.1:1", FailureDomain: "a", Region: "r", Slots: 4, Started: 1}, 1, roster.Event, clock.Boot())
		table := ingress.NewTable(1, nil, []*ingress.Service{{Name: "writer", Engine: &ingress.Engine{Slots: 4}}}, ingress.Limits{})
		fetcher, refused := &refusingFetcher{}, atomic.Int32{}
		p := &poller{
			region: "r", table: func() *ingress.Table { return table }, roster: servers,
			balancer: balance.New("r", "a", balance.Bounds{}, balance.DefaultTuning, nil), fetcher: fetcher,
			now: clock.Synthetic(), log: slog.New(slog.DiscardHandler), inFlight: map[roster.ServerKey]bool{}, lost: make(chan *roster.Server, lostQueueLength),
			serverRank: func(string, string) (int, int) { return 1, 0 },
			onFailure:  func(*roster.Server) {}, onRefused: func(*roster.Server) { refused.Add(1) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = p.run(ctx) }()
		time.Sleep(time.Second)
		rounds := int32(time.Second/pollInterval) + 1
		is.True(fetcher.polls.Load() > 0)
		is.True(fetcher.polls.Load() <= rounds)
		is.Equal(refused.Load(), int32(1)) // the other VMs are told once
		p.serverLost(servers.View().Lookup("i-1"))
		synctest.Wait()
		is.True(fetcher.polls.Load() <= rounds+1) // a request that was refused has it polled at once
		cancel()
		<-done
		time.Sleep(pollTimeout) // until the polls have ended
	})
}
