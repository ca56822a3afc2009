package gateway

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/placement"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// ErrNotNewest says that the configuration in force could not be confirmed as
// the newest.
var ErrNotNewest = Errors.NewType("not_newest", errorx.Temporary())

// newReconciler returns the part that orders placements from engines.
func (g *gateway) newReconciler(reader published.Reader) *placement.Reconciler {
	return placement.New(placement.Config{
		Self: g.self, Publisher: g.publisher, Now: g.now, Log: g.log,
		HTTP:    &http.Client{CheckRedirect: refuseRedirect},
		Confirm: func(ctx context.Context) error { return g.confirmNewest(ctx, reader) },
	})
}

// refuseRedirect keeps orders at the addresses that the configuration names.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// confirmNewest asks the configuration service whether the revision in force is
// its newest.
func (g *gateway) confirmNewest(ctx context.Context, reader published.Reader) error {
	value, err := reader.Read(ctx, published.ValueManifest)
	if err != nil {
		return err
	}
	if inForce := g.publisher.Load().Config.Revision; value.Revision != inForce {
		return ErrNotNewest.New("revision %d is in force, the service has %d", inForce, value.Revision)
	}
	return nil
}
