package gateway

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/placement"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// ErrNotNewest is returned if the configuration in force isn't the newest.
var ErrNotNewest = Errors.NewType("not_newest", errorx.Temporary())

// newReconciler returns the reconciler that sends placement orders to engines.
func (g *gateway) newReconciler(reader published.Reader) *placement.Reconciler {
	return placement.New(placement.Config{
		Self: g.self, Publisher: g.publisher, Now: g.now, Log: g.log,
		HTTP:    &http.Client{CheckRedirect: refuseRedirect},
		Confirm: func(ctx context.Context) error { return g.confirmNewest(ctx, reader) },
	})
}

// refuseRedirect prevents redirects, so that orders are only sent to addresses
// in the configuration.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// confirmNewest reads the newest revision from the configuration service. It
// returns ErrNotNewest if that isn't the revision in force.
func (g *gateway) confirmNewest(ctx context.Context, reader published.Reader) error {
	value, err := reader.Read(ctx, published.ValueManifest)
	if err != nil {
		return err
	}
	if inForce := g.publisher.Load().Config.Revision; value.Revision != inForce {
		return ErrNotNewest.New("revision %d is in force, but the newest is %d", inForce, value.Revision)
	}
	return nil
}
