package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// The server answers a hop with any headers, and accepts only known hop kinds
// with a list of visited VMs, a target and a timeout.
func FuzzHop(f *testing.F) {
	f.Add("region", "a,b", "POST /v1/chat/completions", "500", "7")
	f.Add("owner", "", "GET", "-1", "x")
	f.Add("entry", ",", " /", "99999999999999999999", "")
	f.Add("", "a", "POST /\x00", "1", "18446744073709551616")
	accept := pipeline.HandlerFunc(func(_ context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
		w.Start(pipeline.Head{Status: http.StatusOK, Header: http.Header{}})
		return nil
	})
	server := NewServer(ServerConfig{
		Publisher: snapshot.NewPublisher(snapshot.Identity{VM: "receiver"}),
		Now:       clock.Boot, Handler: accept, Lookup: accept, OnPeerRevision: func(string, uint64) {},
	})
	f.Fuzz(func(t *testing.T, hop, visited, target, timeout, revision string) {
		r := httptest.NewRequest(http.MethodPost, wire.PathForward, io.NopCloser(strings.NewReader("")))
		for name, value := range map[string]string{
			wire.HeaderHop: hop, wire.HeaderVisitedVMs: visited, wire.HeaderRequestTarget: target, wire.HeaderTimeout: timeout,
			wire.HeaderRevision: revision, wire.HeaderRequestID: "request-1", wire.HeaderIncarnation: "i",
		} {
			r.Header.Set(name, value)
		}
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		known := hop == string(pipeline.HopOwner) || hop == string(pipeline.HopRegion)
		if w.Code == http.StatusOK && (!known || visited == "") {
			t.Errorf("hop %q with visited VMs %q was accepted", hop, visited)
		}
	})
}
