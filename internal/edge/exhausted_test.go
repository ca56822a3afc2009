package edge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

// exhaustedFetcher has no descriptors left for polls.
type exhaustedFetcher struct{}

func (exhaustedFetcher) CloseExpired() {}
func (exhaustedFetcher) FetchReport(context.Context, *roster.Server) (Report, error) {
	return Report{}, upstream.ErrExhausted.New("too many open files")
}

// Guards against a VM without descriptors that announces its servers as lost.
func TestLackOfDescriptorsLosesNoServer(t *testing.T) {
	for _, engine := range []*ingress.Engine{nil, {Slots: 4}} {
		is := is.New(t)
		table := ingress.NewTable(1, nil, []*ingress.Service{{Name: "writer", Engine: engine}}, ingress.Limits{})
		p := &poller{
			region: "r", table: func() *ingress.Table { return table }, now: clock.Boot, log: slog.New(slog.DiscardHandler),
			balancer: balance.New("r", "a", balance.Bounds{}, balance.DefaultTuning, oneVMFleet{}), fetcher: exhaustedFetcher{},
			probe:     func(context.Context, string) error { return upstream.ErrExhausted.New("too many open files") },
			onFailure: func(*roster.Server) { t.Error("announced as lost") },
		}
		s := &roster.Server{Entry: roster.Entry{ID: "i-1", Service: "writer", Address: "10.0.0.1:1", Started: 1}}
		for range 10 {
			p.check(t.Context(), s)
			time.Sleep(time.Millisecond)
		}
		is.True(!p.balancer.Load(s.Key()).Link.Lost())
		is.True(!p.balancer.Load(s.Key()).Link.Doubtful())
	}
}
