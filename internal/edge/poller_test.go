package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
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
