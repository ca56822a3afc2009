package promises

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Invalid input is refused with a specific error, and the gateway keeps
// serving.
func TestInvalidInputIsRefused(t *testing.T) {
	bed := startBed(t, nil)
	entry := bed.GatewaysOf("jeju")[0].CallerAddress()
	const team = "hamdeok-kite-school"
	cases := map[string]struct {
		call   call
		status int
		code   verdict.Code
	}{
		"unknown team":    {chat("nobody", "x"), http.StatusForbidden, verdict.CodeUnknownTeam},
		"no team":         {chat("", "x"), http.StatusForbidden, verdict.CodeUnknownTeam},
		"malformed JSON":  {call{method: "POST", path: wire.PathChatCompletions, team: team, body: "{"}, http.StatusBadRequest, verdict.CodeBadRequest},
		"unknown model":   {call{method: "POST", path: wire.PathChatCompletions, team: team, body: `{"model":"x","messages":[{}]}`}, http.StatusNotFound, verdict.CodeUnknownModel},
		"unknown service": {call{method: "GET", path: wire.PathServices + "x/y", team: team}, http.StatusNotFound, verdict.CodeUnknownService},
		"unknown call":    {call{method: "DELETE", path: wire.PathServices + "spot-desk/bookings", team: team}, http.StatusNotFound, verdict.CodeUnknownService},
		"no key":          {call{method: "POST", path: wire.PathServices + "spot-desk/bookings", team: team}, http.StatusBadRequest, verdict.CodeKeyMissing},
		"malformed key":   {call{method: "POST", path: wire.PathServices + "spot-desk/bookings", team: team, key: "my-own-key"}, http.StatusBadRequest, verdict.CodeKeyMalformed},
		"oversized body":  {call{method: "POST", path: wire.PathChatCompletions, team: team, body: strings.Repeat("x", wire.MaxBodyBytes+1)}, http.StatusRequestEntityTooLarge, verdict.CodeTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := send(sharedClient, entry, c.call)
			if r.status != c.status || r.problem.Code != c.code || r.header.Get(wire.HeaderVerdict) != verdict.NotRun.String() {
				t.Errorf("%v, want status %d, code %s and verdict not-run", r, c.status, c.code)
			}
		})
	}
	t.Run("oversized headers", func(t *testing.T) { checkOversizedHeaders(t, entry) })
	t.Run("slow caller", func(t *testing.T) { checkSlowCaller(t, entry) })
	if r := send(sharedClient, entry, chat(team, "still serving")); !isComplete(r, "still serving") {
		t.Errorf("after invalid input: %v", r)
	}
}

func checkOversizedHeaders(t *testing.T, entry string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+entry+wire.PathEntries, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Filler", strings.Repeat("x", 2*wire.MaxHeaderBytes))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", resp.StatusCode)
	}
}

// headerTimeoutBound exceeds the gateway's timeout for reading request headers.
const headerTimeoutBound = 15 * time.Second

// checkSlowCaller sends request headers that never end. The gateway must close
// the connection.
func checkSlowCaller(t *testing.T, entry string) {
	t.Helper()
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: gateway\r\n", wire.PathEntries); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(headerTimeoutBound))
	if _, err := bufio.NewReader(conn).ReadByte(); err != nil {
		var timeout net.Error
		if ok := errors.As(err, &timeout); ok && timeout.Timeout() {
			t.Errorf("the connection was still open after %v", headerTimeoutBound)
		}
	}
}
