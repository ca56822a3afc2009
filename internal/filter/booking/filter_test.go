package bookingfilter_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	bookingfilter "github.com/chestnutspring/chestnutspring/internal/filter/booking"
	"github.com/chestnutspring/chestnutspring/internal/filter/settle"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	keyWindow = time.Minute
	service   = "spot-desk"
	team      = "gusts"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now atomic.Int64 }

func newManualClock() *manualClock {
	c := &manualClock{}
	c.now.Store(int64(time.Hour))
	return c
}

func (c *manualClock) Now() clock.Instant       { return clock.Instant(c.now.Load()) }
func (c *manualClock) Advance(by time.Duration) { c.now.Add(int64(by)) }

// answerSink records the answer that a caller receives for an attempt.
type answerSink struct {
	status  int
	body    []byte
	started bool
}

func (s *answerSink) Start(head pipeline.Head) { s.started, s.status = true, head.Status }
func (s *answerSink) Write(p []byte) (int, error) {
	s.body = append(s.body, p...)
	return len(p), nil
}
func (s *answerSink) Flush()        {}
func (s *answerSink) Started() bool { return s.started }

// network delivers owner and region hops between the gateways of a test.
type network struct {
	gateways map[string]*gateway
	// broken contains the VMs that refuse connections.
	broken map[string]bool
}

func (n *network) SendPeer(ctx context.Context, req *pipeline.Request, hop pipeline.Hop, to *snapshot.Member, w pipeline.Response) *verdict.Refusal {
	if n.broken[to.VM] {
		return verdict.Busy(verdict.CodeNoBackend, "no connection", time.Second)
	}
	target := n.gateways[to.VM]
	sent := *req
	sent.Hop, sent.VisitedVMs, sent.Snapshot = hop, append(sent.VisitedVMs, req.Snapshot.Self.VM), target.snapshot
	if req.Method == http.MethodGet {
		return target.filter.Lookup(ctx, &sent, w)
	}
	return target.handler.Handle(ctx, &sent, w)
}

type gateway struct {
	snapshot *snapshot.Snapshot
	issuer   *booking.Issuer
	filter   *bookingfilter.Filter
	handler  pipeline.Handler
	clock    *manualClock
	// backend is the handler after the filter.
	backend pipeline.HandlerFunc
	// early, if not nil, is returned by a filter before the booking filter.
	early *verdict.Refusal
}

// newGateways returns gateways on the named VMs, each in its own region.
func newGateways(vms ...string) (*network, []*gateway) {
	net := &network{gateways: map[string]*gateway{}, broken: map[string]bool{}}
	members := map[string]*snapshot.Member{}
	var list []*gateway
	for _, vm := range vms {
		identity := snapshot.Identity{VM: vm, Incarnation: "inc-" + vm, Region: "region-" + vm}
		members[vm] = &snapshot.Member{Identity: identity, Reachable: true}
		list = append(list, newGateway(net, identity, members))
	}
	return net, list
}

func newGateway(net *network, self snapshot.Identity, members map[string]*snapshot.Member) *gateway {
	g := &gateway{clock: newManualClock(), backend: respondBooked}
	g.snapshot = &snapshot.Snapshot{Self: self, Config: newConfig(), Members: members, ConfigConfirmedAt: g.clock.Now()}
	g.issuer = booking.NewIssuer(self, g.clock.Now)
	g.filter = bookingfilter.New(bookingfilter.Config{
		Self: self, Issuer: g.issuer, Peer: net, Now: g.clock.Now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
	})
	last := pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		return g.backend(ctx, req, w)
	})
	early := func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			if g.early != nil {
				return g.early
			}
			return next.Handle(ctx, req, w)
		})
	}
	g.handler = pipeline.Chain(last, settle.New(g.filter), early, settle.MarkKeyChecked(), g.filter.Filter())
	net.gateways[self.VM] = g
	return g
}

func newConfig() *objects.Set {
	set := objects.NewSet()
	set.Revision = 1
	set.Teams[team] = &objects.Team{Name: team}
	set.Teams["rivals"] = &objects.Team{Name: "rivals"}
	set.Routes["r"] = &objects.Route{Name: "r", Spec: objects.RouteSpec{Service: service, Policy: "p"}}
	set.Policies["p"] = &objects.Policy{Name: "p", Spec: objects.PolicySpec{
		KeyWindow: objects.Duration(keyWindow), MaxConfigAge: objects.Duration(time.Hour),
	}}
	set.Index()
	return set
}

func respondBooked(_ context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
	if refusal := req.BeforeSend(); refusal != nil {
		return refusal
	}
	w.Start(pipeline.Head{Status: http.StatusCreated})
	_, _ = w.Write([]byte("booked " + string(req.Body)))
	return nil
}

// newRequest returns a booking sent by a caller to this gateway.
func (g *gateway) newRequest(key, body string) *pipeline.Request {
	return &pipeline.Request{
		Snapshot: g.snapshot, Hop: pipeline.HopEntry, Team: team, Target: service,
		Method: http.MethodPost, Path: "/slots", Body: []byte(body), Key: key,
		Deadline: g.clock.Now().Add(10 * time.Second),
	}
}

// book sends one attempt and returns the answer and the refusal.
func (g *gateway) book(key, body string) (*answerSink, *verdict.Refusal) {
	sink := &answerSink{}
	refusal := g.handler.Handle(context.Background(), g.newRequest(key, body), sink)
	return sink, refusal
}

func TestRepeatedAttemptsGetSameAnswer(t *testing.T) {
	is := is.New(t)
	_, list := newGateways("a", "b")
	owner, entry := list[0], list[1]
	runs := 0
	owner.backend = func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		runs++
		return respondBooked(ctx, req, w)
	}
	key := owner.issuer.Prefix() + "~one"
	for _, g := range []*gateway{owner, entry, owner} {
		sink, refusal := g.book(key, "slot 7")
		is.Equal(refusal, nil)
		is.Equal(string(sink.body), "booked slot 7")
		is.Equal(sink.status, http.StatusCreated)
	}
	is.Equal(runs, 1)
}
