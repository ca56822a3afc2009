package promises

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/answer"
	"github.com/chestnutspring/chestnutspring/internal/httpapi"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// seed makes link behaviour and loads reproducible. Every test logs its seed.
const seed = 20261204

// startBed starts the kite-consortium deployment and closes it when the test
// ends. change, if not nil, adjusts its configuration.
func startBed(t *testing.T, change func(*testbed.Config)) *testbed.Bed {
	t.Helper()
	root, err := testbed.ModuleRoot()
	if err != nil {
		t.Fatal(err)
	}
	config := testbed.Config{
		Deployment:    filepath.Join(root, "examples", "kite-consortium"),
		GatewayBinary: testbed.BuildGateway(t),
		Seed:          seed,
	}
	if change != nil {
		change(&config)
	}
	t.Logf("seed %d", config.Seed)
	bed, err := testbed.Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		bed.Close()
		if t.Failed() {
			for name, g := range bed.Gateways {
				t.Logf("%s:\n%s", name, strings.Join(g.Log(), "\n"))
			}
		}
	})
	return bed
}

// reply is the response that a caller received, or the error.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem answer.Problem
	err     error
}

// ok reports whether the caller received a response with a status below 400.
func (r reply) ok() bool { return r.err == nil && r.status < http.StatusBadRequest }

func (r reply) String() string {
	return fmt.Sprintf("status %d, code %q, verdict %q, error %v", r.status, r.problem.Code, r.header.Get(wire.HeaderVerdict), r.err)
}

// call describes a caller's request.
type call struct {
	method, path, team, key, body string
	timeout                       time.Duration
	// rawTimeout replaces the value of the timeout header if it is not empty.
	rawTimeout string
}

// defaultTimeout is the deadline of a caller's request if the call sets none.
const defaultTimeout = 10 * time.Second

// send sends a request to an entry over the client's connections.
func send(client *http.Client, entry string, c call) reply {
	if c.timeout == 0 {
		c.timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+entry+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{err: err}
	}
	// Without GetBody the transport cannot replay the request, so the test
	// sees each broken connection.
	req.GetBody = nil
	req.Header.Set(wire.HeaderTeam, c.team)
	req.Header.Set(wire.HeaderTimeout, fmt.Sprint(c.timeout.Milliseconds()))
	if c.rawTimeout != "" {
		req.Header.Set(wire.HeaderTimeout, c.rawTimeout)
	}
	if c.key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, c.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	return readReply(resp)
}

// readReply reads a response until its body ends.
func readReply(resp *http.Response) reply {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if r.status >= http.StatusBadRequest {
		r.problem = answer.ParseProblem(body)
	}
	return r
}

// chat returns a chat completion request whose complete response contains
// expectedText(prompt).
func chat(team, prompt string) call {
	body := fmt.Sprintf(`{"model":"wind-writer","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, chatTokens, prompt)
	return call{method: http.MethodPost, path: wire.PathChatCompletions, team: team, body: body}
}

// chatTokens is the number of tokens in a response.
const chatTokens = 5

// expectedText returns the text that a complete response to the prompt
// contains.
func expectedText(prompt string) string { return expectedTextOfLength(prompt, chatTokens) }

// expectedTextOfLength returns the text of a response with the given number of
// tokens.
func expectedTextOfLength(prompt string, tokens int) string { return standin.Answer(prompt, tokens) }

// isComplete reports whether r is the complete response to the prompt.
func isComplete(r reply, prompt string) bool {
	return r.ok() && strings.Contains(r.body, expectedText(prompt))
}

// eventually waits until the condition is true, and fails the test at the
// timeout.
func eventually(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", timeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// usableEntries returns the addresses of the entries in a response of
// /v1/entries, without leaving VMs.
func usableEntries(r reply) []string {
	var list httpapi.Entries
	if r.err != nil || json.Unmarshal([]byte(r.body), &list) != nil {
		return nil
	}
	var addrs []string
	for _, e := range list.Entries {
		if !e.Leaving {
			addrs = append(addrs, e.Address)
		}
	}
	return addrs
}

// sendOrder sends an order to an engine, as a gateway with an outdated view
// would after a pause, and returns the response's status.
func sendOrder(t *testing.T, bed *testbed.Bed, server, order string) int {
	t.Helper()
	url := "http://" + bed.PublishedSet().BackendServers[server].Spec.Address + "/orders"
	resp, err := http.Post(url, "application/json", strings.NewReader(order))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
