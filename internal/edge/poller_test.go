package edge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/serverlimit"
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
			balancer: balance.New("r", "a", balance.Bounds{}, balance.DefaultTuning, oneVMFleet{}), fetcher: fetcher,
			now: clock.Synthetic(), log: slog.New(slog.DiscardHandler), inFlight: map[roster.ServerKey]bool{}, urgent: make(chan *roster.Server, urgentQueueLength),
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

// linkFetcher fails all polls and probes while the link is cut.
type linkFetcher struct {
	cut           atomic.Bool
	polls, probes atomic.Int32
}

func (f *linkFetcher) result() error {
	if f.cut.Load() {
		return upstream.ErrNoConnection.New("the link is cut")
	}
	return nil
}

func (f *linkFetcher) FetchReport(context.Context, *roster.Server) (Report, error) {
	f.polls.Add(1)
	return Report{}, f.result()
}

func (f *linkFetcher) probe(context.Context, string) error {
	f.probes.Add(1)
	return f.result()
}

func (f *linkFetcher) CloseExpired() {}

// Guards against RECOVER (issue 42): a link to a plain server, which isn't polled, was found
// lost and restored only by requests.
func TestLinkToPlainServerIsCheckedWhileItIsDoubtful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		servers := roster.New(slog.New(slog.DiscardHandler))
		servers.Put(roster.Entry{ID: "desk-1", Service: "desk", Address: "10.0.0.1:1", FailureDomain: "a", Region: "r", Slots: 4, Started: 1}, 1, roster.Event, clock.Boot())
		servers.Put(roster.Entry{ID: "writer-1", Service: "writer", Address: "10.0.0.2:1", FailureDomain: "a", Region: "r", Slots: 4, Started: 1}, 2, roster.Event, clock.Boot())
		table := ingress.NewTable(1, nil, []*ingress.Service{{Name: "desk"}, {Name: "writer", Engine: &ingress.Engine{Slots: 4}}}, ingress.Limits{})
		fetcher, announced := &linkFetcher{}, atomic.Int32{}
		p := &poller{
			region: "r", table: func() *ingress.Table { return table }, roster: servers,
			balancer: balance.New("r", "a", balance.Bounds{}, balance.DefaultTuning, oneVMFleet{}), fetcher: fetcher, probe: fetcher.probe,
			now: clock.Synthetic(), log: slog.New(slog.DiscardHandler), inFlight: map[roster.ServerKey]bool{}, urgent: make(chan *roster.Server, urgentQueueLength),
			serverRank: func(string, string) (int, int) { return 1, 0 },
			onFailure:  func(*roster.Server) { announced.Add(1) }, onRefused: func(*roster.Server) {}, onReport: func(string, balance.Report) {},
			requestLimits: serverlimit.New(serverlimit.Config{Now: clock.Synthetic(), Scope: tally.NoopScope}),
			brittle:       serverlimit.New(serverlimit.Config{Now: clock.Synthetic(), Scope: tally.NoopScope}),
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = p.run(ctx) }()
		desk, writer := servers.View().Lookup("desk-1"), servers.View().Lookup("writer-1")
		link := &p.balancer.Load(desk.Key()).Link
		time.Sleep(time.Second)
		is.Equal(fetcher.probes.Load(), int32(0)) // a link that works is not probed

		fetcher.cut.Store(true)
		link.RecordDial(false, p.now()) // by a request
		p.queueCheck(desk)
		synctest.Wait()
		is.True(link.Lost())
		time.Sleep(5 * time.Second)
		is.True(p.balancer.Load(writer.Key()).Link.Lost())
		is.True(announced.Load() <= 2) // not again and again while it is lost

		breaker := &p.balancer.Load(desk.Key()).Breaker
		for range 20 { // requests that failed while the link was lost
			breaker.RecordFailure(p.now())
		}
		fetcher.cut.Store(false)
		time.Sleep(2 * pollInterval)
		is.True(!link.Lost() && !p.balancer.Load(writer.Key()).Link.Lost())
		is.True(breaker.Ready(p.now())) // the server is used again at once
		probes := fetcher.probes.Load()
		time.Sleep(time.Second)
		is.Equal(fetcher.probes.Load(), probes)
		cancel()
		<-done
	})
}

// oneVMFleet is the Fleet of a region with one VM, as far as polls need it.
type oneVMFleet struct{ balance.Fleet }

func (oneVMFleet) ServerRank(string, string) (vms, rank int) { return 1, 0 }
func (oneVMFleet) KnowsFleet() bool                          { return true }
func (oneVMFleet) LargeRegion() bool                         { return false }
