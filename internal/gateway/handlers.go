package gateway

import (
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/dispatch"
	"github.com/chestnutspring/chestnutspring/internal/filter/admission"
	"github.com/chestnutspring/chestnutspring/internal/filter/body"
	"github.com/chestnutspring/chestnutspring/internal/filter/deadline"
	"github.com/chestnutspring/chestnutspring/internal/filter/hopguard"
	"github.com/chestnutspring/chestnutspring/internal/filter/identify"
	"github.com/chestnutspring/chestnutspring/internal/filter/residency"
	"github.com/chestnutspring/chestnutspring/internal/filter/route"
	"github.com/chestnutspring/chestnutspring/internal/filter/settle"
	"github.com/chestnutspring/chestnutspring/internal/forward"
	"github.com/chestnutspring/chestnutspring/internal/httpapi"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	bookingfilter "github.com/chestnutspring/chestnutspring/internal/filter/booking"
)

// handlers are the handlers of the HTTP ports.
type handlers struct {
	callers, forward, operators http.Handler
}

// handlers creates the filter pipeline and the handlers of the HTTP ports.
func (g *gateway) handlers() handlers {
	peer := forward.NewClient(forward.Config{Self: g.self, Now: g.now, Log: g.log, TLS: g.tls.peerClient})
	g.backend = dispatch.New(dispatch.Config{Buffers: g.clients.OutgoingBuffers(), Windows: g.clients.Windows, MaxConnections: g.clients.PooledConnections(), Now: g.now, Log: g.log, Scope: g.metrics.Scope, Observe: g.fleet.Observe})
	issuer := booking.NewIssuer(g.self, g.now)
	g.booking = bookingfilter.New(bookingfilter.Config{
		Self: g.self, Issuer: issuer, Peer: peer, Now: g.now, Log: g.log, Scope: g.metrics.Scope,
	})
	g.route = route.New(route.Config{
		Backend: g.backend, Peer: peer, Publisher: g.publisher, Now: g.now, Log: g.log, Scope: g.metrics.Scope,
	})
	handler := pipeline.Chain(g.route,
		settle.New(g.booking),
		identify.New(),
		residency.New(),
		deadline.New(g.now),
		hopguard.New(),
		body.New(g.memory),
		settle.MarkKeyChecked(),
		g.booking.Filter(),
		admission.New(admission.Config{Limiter: g.limiter, Now: g.now, Log: g.log, Scope: g.metrics.Scope}),
	)
	lookup := pipeline.Chain(pipeline.HandlerFunc(g.booking.Lookup),
		bookingfilter.LookupFilter(),
		deadline.New(g.now),
		hopguard.New(),
	)
	return handlers{
		callers: httpapi.NewCallers(httpapi.CallersConfig{
			Publisher: g.publisher, Now: g.now, Handler: handler, Lookup: lookup, KeyPrefix: issuer.Prefix,
			CorrectRefusal: func(req *pipeline.Request, refusal *verdict.Refusal) *verdict.Refusal {
				if bookingfilter.IsLookup(req) {
					return bookingfilter.CorrectLookupRefusal(refusal)
				}
				return settle.CorrectRefusal(g.booking, req, refusal)
			},
		}),
		forward: forward.NewServer(forward.ServerConfig{
			Publisher: g.publisher, Now: g.now, Handler: handler, Lookup: lookup, OnPeerRevision: g.config.RecordPeerRevision,
			MaxRequests: forwardKind.Connections(&g.clients.Bounds),
		}),
		operators: httpapi.NewOperators(httpapi.OperatorsConfig{
			Ready: g.ready, Metrics: g.metrics.Handler, State: g.state,
		}),
	}
}

// ready reports whether a configuration is in force and the fleet is ready.
func (g *gateway) ready() bool {
	for _, ready := range []<-chan struct{}{g.config.Ready(), g.fleet.Ready()} {
		select {
		case <-ready:
		default:
			return false
		}
	}
	return true
}
