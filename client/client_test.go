package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/client"
)

// step is one expected request to the scripted entry VM and its response.
type step struct {
	// method is the expected request method.
	method string
	// fail makes the connection fail.
	fail    bool
	status  int
	verdict string
	body    string
	retry   string
	// otherID responds with the ID of another request.
	otherID bool
}

// script is an http.RoundTripper that simulates entry VMs without a network.
type script struct {
	t     *testing.T
	steps []step
	// keys are the idempotency keys of the requests, in order.
	keys []string
	// addresses are the hosts of the requests, in order.
	addresses []string
}

var errBroken = errors.New("connection reset")

// RoundTrip implements http.RoundTripper.
func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/v1/entries" {
		return answer(r, step{status: 200, body: `{"entries":[{"address":"a:1"},{"address":"b:1"}],"keyPrefix":"p","goodForSeconds":2}`}), nil
	}
	if len(s.steps) == 0 {
		s.t.Fatalf("unexpected %s %s", r.Method, r.URL)
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if r.Method != next.method {
		s.t.Fatalf("got %s %s, want %s", r.Method, r.URL, next.method)
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/bookings/")
	if r.Method == http.MethodPost {
		key = r.Header.Get("Idempotency-Key")
	}
	s.keys = append(s.keys, key)
	s.addresses = append(s.addresses, r.URL.Host)
	if next.fail {
		return nil, errBroken
	}
	return answer(r, next), nil
}

func answer(r *http.Request, s step) *http.Response {
	header := http.Header{"X-Request-Id": {r.Header.Get("X-Request-Id")}, "Verdict": {s.verdict}}
	if s.otherID {
		header.Set("X-Request-Id", "another")
	}
	if s.status >= 400 {
		header.Set("Content-Type", "application/problem+json")
	}
	if s.retry != "" {
		header.Set("Retry-After", s.retry)
	}
	return &http.Response{StatusCode: s.status, Header: header, Body: io.NopCloser(strings.NewReader(s.body)), Request: r}
}

func problem(code, verdict string, final bool) string {
	return fmt.Sprintf(`{"status":503,"code":%q,"verdict":%q,"final":%v}`, code, verdict, final)
}

func newClient(t *testing.T, steps ...step) (*client.Client, *script) {
	s := &script{t: t, steps: steps}
	return client.New(client.Config{Entries: []string{"a:1"}, Team: "gusts", HTTP: &http.Client{Transport: s}}), s
}

var slot = client.Request{Service: "spot-desk", Method: http.MethodPost, Path: "/bookings", Body: []byte("slot 7")}

// refused returns a step that responds with a problem.
func refused(method, code, verdict, retry string) step {
	return step{method: method, status: 503, verdict: verdict, retry: retry, body: problem(code, verdict, false)}
}

// booked returns a step that responds with a successful booking.
func booked(method string) step {
	return step{method: method, status: 201, verdict: "ran", body: "booked"}
}

// TestBookNeverRunsTwice checks which requests follow each failure of a
// booking. sameKey tells whether all of them must carry the same key.
func TestBookNeverRunsTwice(t *testing.T) {
	const post, get = http.MethodPost, http.MethodGet
	cases := map[string]struct {
		steps   []step
		sameKey bool
	}{
		"success":                                       {[]step{booked(post)}, true},
		"lost connection: requests outcome":             {[]step{{method: post, fail: true}, booked(get)}, true},
		"unknown key: sends the same key again":         {[]step{{method: post, fail: true}, refused(get, "key-unknown", "may-have-run", "1"), booked(post)}, true},
		"owner unreachable: requests outcome later":     {[]step{refused(post, "owner-unreachable", "may-have-run", "1"), refused(get, "owner-unreachable", "may-have-run", "1"), booked(get)}, true},
		"response of another request: requests outcome": {[]step{{method: post, status: 201, verdict: "ran", otherID: true}, booked(get)}, true},
		"not run: uses a new key":                       {[]step{refused(post, "overloaded", "not-run", "1"), booked(post)}, false},
		"key closed while polling: uses a new key":      {[]step{{method: post, fail: true}, refused(get, "key-closed", "not-run", ""), booked(post)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller, s := newClient(t, c.steps...)
				got, err := caller.Book(context.Background(), slot)
				is.NoErr(err)
				is.Equal(string(got.Body), "booked")
				is.Equal(len(s.steps), 0)
				first, last := s.keys[0], s.keys[len(s.keys)-1]
				is.True(strings.HasPrefix(first, "p~"))
				is.Equal(first == last, c.sameKey)
				is.Equal(got.Key, last)
			})
		})
	}
}

// TestBookReportsUnknownOutcome checks that a final unknown outcome is returned
// as an error with the verdict and the key, without another attempt.
func TestBookReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		unknown := step{method: http.MethodGet, status: 502, verdict: "may-have-run", body: problem("owner-gone", "may-have-run", true)}
		caller, s := newClient(t, step{method: http.MethodPost, fail: true}, unknown)
		_, err := caller.Book(context.Background(), slot)
		var refusal *client.Error
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Verdict, client.MayHaveRun)
		is.True(refusal.Final)
		is.Equal(refusal.Key, s.keys[0])
	})
}

// TestOutcomeRetriesAtOtherEntry checks that Outcome continues at the next entry
// VM after a transport error.
func TestOutcomeRetriesAtOtherEntry(t *testing.T) {
	is := is.New(t)
	caller, s := newClient(t, step{method: http.MethodGet, fail: true}, booked(http.MethodGet))
	got, err := caller.Outcome(context.Background(), "p~1")
	is.NoErr(err)
	is.Equal(got.Key, "p~1")
	is.Equal(s.keys, []string{"p~1", "p~1"})
	is.Equal(s.addresses, []string{"a:1", "b:1"})
}

// TestBookFailsIfRetryAfterExceedsDeadline checks that Book returns without a
// wait if Retry-After is beyond the deadline.
func TestBookFailsIfRetryAfterExceedsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller, _ := newClient(t, refused(http.MethodPost, "overloaded", "not-run", "5"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		started := time.Now()
		_, err := caller.Book(ctx, slot)
		var refusal *client.Error
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Verdict, client.NotRun)
		is.Equal(refusal.RetryAfter, 5*time.Second)
		is.Equal(time.Since(started), time.Duration(0)) // no wait
	})
}

// TestCallRetriesAtOtherEntry checks that an idempotent call is retried at
// another entry VM after a failure, and fails after its last attempt.
func TestCallRetriesAtOtherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		forecast := client.Request{Service: "spot-desk", Method: http.MethodGet, Path: "/forecast"}
		fail := step{method: http.MethodGet, fail: true}
		caller, s := newClient(t, fail, booked(http.MethodGet))
		_, err := caller.Call(context.Background(), forecast)
		is.NoErr(err)
		is.Equal(s.addresses, []string{"a:1", "b:1"})
		caller, _ = newClient(t, fail, fail, fail)
		_, err = caller.Call(context.Background(), forecast)
		is.True(errors.Is(err, errBroken))
	})
}

// TestTruncatedStreamReturnsError checks that only a stream with its last event
// ends with io.EOF, not one that is truncated or has an error event.
func TestTruncatedStreamReturnsError(t *testing.T) {
	const event = "id: 1\ndata: {\"n\":1}\n\n"
	for body, whole := range map[string]bool{
		event + "data: [DONE]\n\n": true,
		event:                      false,
		event + "data: [DONE]":     false,
		event + "event: error\ndata: " + problem("answer-cut", "may-have-run", false) + "\n\n": false,
	} {
		is := is.New(t)
		caller, _ := newClient(t, step{method: http.MethodPost, status: 200, verdict: "ran", body: body})
		stream, err := caller.ChatStream(context.Background(), client.ChatRequest{Model: "wind-writer"})
		is.NoErr(err)
		data, err := stream.Next()
		is.NoErr(err)
		is.Equal(data, `{"n":1}`)
		_, err = stream.Next()
		is.Equal(errors.Is(err, io.EOF), whole)
		is.NoErr(stream.Close())
	}
}
