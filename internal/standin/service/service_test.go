package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

func book(t *testing.T, url, key string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest("POST", url+"/bookings", strings.NewReader("boat 3"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header["Idempotency-Key"] = []string{key}
	req.GetBody = nil // prevents the transport from retrying the request
	resp, err := http.DefaultClient.Do(req)
	if resp != nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func TestExecutionsAreCountedPerKeyEvenWithoutResponse(t *testing.T) {
	is := is.New(t)
	s := New(Config{Name: "desk"})
	server, err := standin.Serve("127.0.0.1:0", s.Handler())
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	resp, err := book(t, server.URL(), "k1")
	is.NoErr(err)
	var a Answer
	is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
	is.Equal(a, Answer{Server: "desk", Execution: 1, Echo: standin.Digest([]byte("boat 3")), Key: "k1", Path: "/bookings"})
	s.InjectFault(FaultRunAndClose, 1)
	_, err = book(t, server.URL(), "k2")
	is.True(err != nil)
	s.InjectFault(FaultRefuse, 1)
	resp, err = book(t, server.URL(), "k3")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.Executions(), map[string]int{"k1": 1, "k2": 1})
	is.Equal(s.Calls(), map[string]int{"POST /bookings": 2})
}
