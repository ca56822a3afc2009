package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/filter/admission"
	"github.com/chestnutspring/chestnutspring/internal/filter/body"
	bookingfilter "github.com/chestnutspring/chestnutspring/internal/filter/booking"
	"github.com/chestnutspring/chestnutspring/internal/filter/deadline"
	"github.com/chestnutspring/chestnutspring/internal/filter/hopguard"
	"github.com/chestnutspring/chestnutspring/internal/filter/identify"
	"github.com/chestnutspring/chestnutspring/internal/filter/residency"
	"github.com/chestnutspring/chestnutspring/internal/filter/route"
	"github.com/chestnutspring/chestnutspring/internal/filter/settle"
	"github.com/chestnutspring/chestnutspring/internal/httpapi"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// instantServer responds to every request immediately, without a network.
type instantServer struct{}

func (instantServer) SendBackend(_ context.Context, req *pipeline.Request, _ *objects.BackendServer, w pipeline.Response) *verdict.Refusal {
	if refusal := req.CheckBeforeSend(); refusal != nil {
		return refusal
	}
	w.Start(pipeline.Head{Status: http.StatusOK, Header: http.Header{}})
	_, _ = io.WriteString(w, "answer")
	return nil
}

func (instantServer) SendPeer(context.Context, *pipeline.Request, pipeline.Hop, *snapshot.Member, pipeline.Response) *verdict.Refusal {
	return verdict.Refuse(http.StatusBadGateway, verdict.CodeOwnerUnreachable, "there is no peer")
}

// newBenchmarkHandler returns the handler of the callers' port with the whole
// pipeline, for a single region with the given number of replicas.
func newBenchmarkHandler(b *testing.B, replicas int) http.Handler {
	b.Helper()
	self := snapshot.Identity{VM: "entry-1", Incarnation: "1", Region: "region-1", FailureDomain: "domain-1"}
	publisher := snapshot.NewPublisher(self)
	set, statuses := newBenchmarkSet(replicas)
	publisher.Update(func(next *snapshot.Snapshot) {
		next.Config, next.ConfigUnconfirmed, next.ConfigConfirmedAt = set, false, clock.Boot()
		next.Backends, next.BackendsUpdatedAt = statuses, clock.Boot().Add(time.Hour)
		next.Members = map[string]*snapshot.Member{"entry-1": {Identity: self, Reachable: true}}
	})
	log, server := slog.New(slog.DiscardHandler), instantServer{}
	issuer := booking.NewIssuer(self, clock.Boot)
	bookings := bookingfilter.New(bookingfilter.Config{
		Self: self, Issuer: issuer, Peer: server, Now: clock.Boot, Log: log, Scope: tally.NoopScope,
	})
	last := route.New(route.Config{
		Backend: server, Peer: server, Publisher: publisher, Now: clock.Boot, Log: log, Scope: tally.NoopScope,
	})
	handler := pipeline.Chain(last,
		settle.New(bookings), identify.New(), residency.New(), deadline.New(clock.Boot), hopguard.New(), body.New(nil),
		settle.MarkKeyChecked(), bookings.Filter(), admission.New(admission.Config{Now: clock.Boot, Log: log, Scope: tally.NoopScope}),
	)
	return httpapi.NewCallers(httpapi.CallersConfig{
		Publisher: publisher, Now: clock.Boot, Handler: handler, Lookup: handler, KeyPrefix: issuer.Prefix,
	})
}

func newBenchmarkSet(replicas int) (*objects.Set, map[string]*snapshot.BackendStatus) {
	set := objects.NewSet()
	set.Revision = 1
	set.Regions["region-1"] = &objects.Region{Name: "region-1"}
	set.FailureDomains["domain-1"] = &objects.FailureDomain{Name: "domain-1", Spec: objects.FailureDomainSpec{Region: "region-1"}}
	set.Models["writer"] = &objects.Model{Name: "writer", Spec: objects.ModelSpec{Version: "1", MaxOutputTokens: 64, SecondsPerToken: 0.01, SecondsPerPromptToken: 0.0001}}
	set.Policies["policy"] = &objects.Policy{Name: "policy", Spec: objects.PolicySpec{
		Algorithm: objects.AlgorithmExpectedCompletion, RetryBudget: 0.1,
		KeyWindow: objects.Duration(time.Minute), MaxConfigAge: objects.Duration(time.Minute), MaxQueue: objects.Duration(time.Second),
	}}
	set.Routes["writer"] = &objects.Route{Name: "writer", Spec: objects.RouteSpec{Model: "writer", Policy: "policy"}}
	set.Teams["team-1"] = &objects.Team{Name: "team-1", Spec: objects.TeamSpec{Home: "region-1"}}
	statuses := map[string]*snapshot.BackendStatus{}
	for i := range replicas {
		name := "replica-" + string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{
			Address: "127.0.0.1:1", FailureDomain: "domain-1", Model: "writer", Concurrency: 1 << 20, Role: "serve",
		}}
		statuses[name] = &snapshot.BackendStatus{Name: name, Region: "region-1", Healthy: true, ConfirmedAt: clock.Boot().Add(time.Hour)}
	}
	set.Index()
	return set, statuses
}

// BenchmarkSlopeRequestPath measures the CPU time and allocations of a chat
// completion through all filters, without a network.
func BenchmarkSlopeRequestPath(b *testing.B) {
	for _, replicas := range []int{12, 139} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			handler := newBenchmarkHandler(b, replicas)
			const chat = `{"model":"writer","max_tokens":8,"messages":[{"role":"user","content":"May I launch?"}]}`
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, wire.PathChatCompletions, strings.NewReader(chat))
				r.Header.Set(wire.HeaderTeam, "team-1")
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatalf("status %d: %s", w.Code, w.Body)
				}
			}
		})
	}
}
