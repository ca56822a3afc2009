package promises

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// hopClient sends hops as another gateway would.
type hopClient struct{ http *http.Client }

func newHopClient() *hopClient {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &hopClient{http: &http.Client{Transport: &http.Transport{Protocols: protocols}}}
}

// forgedHop is a hop with headers chosen by the test.
type forgedHop struct {
	hop, visitedVMs, team, body string
}

// hopReply is a gateway's response to a hop.
type hopReply struct {
	status  int
	refusal *verdict.Refusal
}

func (c *hopClient) send(t *testing.T, g *testbed.Gateway, h forgedHop) hopReply {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+g.ForwardAddress()+wire.PathForward, strings.NewReader(h.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		wire.HeaderHop: h.hop, wire.HeaderVisitedVMs: h.visitedVMs, wire.HeaderTeam: h.team,
		wire.HeaderRequestTarget: http.MethodPost + " " + wire.PathChatCompletions,
		wire.HeaderRequestID:     "forged-1", wire.HeaderTimeout: "5000",
		wire.HeaderIncarnation: "forged", wire.HeaderRevision: "1",
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply := hopReply{status: resp.StatusCode}
	if value := resp.Header.Get(wire.HeaderRefusal); value != "" {
		reply.refusal = &verdict.Refusal{}
		if err := json.Unmarshal([]byte(value), reply.refusal); err != nil {
			t.Fatal(err)
		}
	}
	return reply
}

// Hops with forged, repeated or overlong lists of visited VMs are refused
// before they reach a backend server. A request of a region hop is never
// forwarded again: without capacity in the receiver's region it is refused.
func TestPromiseNoLoops(t *testing.T) {
	bed := startBed(t, nil)
	client := newHopClient()
	receiver := bed.GatewaysOf("busan")[0]
	const team = "dadaepo-gear"
	body := chat(team, "looping").body
	for _, visitedVMs := range []string{receiver.Name, "jeju-entry-1,jeju-entry-1", "jeju-entry-1,jeju-entry-2,saemangeum-entry-1"} {
		r := client.send(t, receiver, forgedHop{hop: "region", visitedVMs: visitedVMs, team: team, body: body})
		if r.refusal == nil || r.refusal.Code != verdict.CodeLoop || r.refusal.Verdict != verdict.NotRun {
			t.Errorf("visited VMs %s: status %d, refusal %v, want %s", visitedVMs, r.status, r.refusal, verdict.CodeLoop)
		}
	}
	for _, h := range []forgedHop{{hop: "entry", visitedVMs: "jeju-entry-1"}, {hop: "region"}, {hop: "other", visitedVMs: "jeju-entry-1"}} {
		h.team, h.body = team, body
		if r := client.send(t, receiver, h); r.status < http.StatusBadRequest {
			t.Errorf("hop %q with visited VMs %q was accepted: status %d", h.hop, h.visitedVMs, r.status)
		}
	}
	for name := range bed.Engines {
		if strings.HasPrefix(name, "wind-writer-busan") {
			bed.StopBackend(name)
		}
	}
	r := client.send(t, receiver, forgedHop{hop: "region", visitedVMs: "jeju-entry-1", team: team, body: body})
	if r.refusal == nil || r.refusal.Verdict != verdict.NotRun {
		t.Errorf("a region hop without capacity: status %d, refusal %v, want a refusal with verdict not-run", r.status, r.refusal)
	}
	for region, records := range requestsByRegion(bed) {
		if len(records) > 0 {
			t.Errorf("backend servers in %s recorded %v", region, records)
		}
	}
}

// A caller cannot act as a gateway: the caller port does not accept hops.
func TestCallerPortRejectsHops(t *testing.T) {
	bed := startBed(t, nil)
	r := send(http.DefaultClient, bed.GatewaysOf("busan")[0].CallerAddress(), call{
		method: http.MethodPost, path: wire.PathForward, team: "dadaepo-gear", body: "{}",
	})
	if r.status != http.StatusNotFound {
		t.Errorf("%v, want 404", r)
	}
}
