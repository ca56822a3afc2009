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

// step is one answer of the scripted entry VM.
type step struct {
	// method that must be asked.
	method string
	// fail breaks the connection.
	fail    bool
	status  int
	verdict string
	body    string
	retry   string
	// otherID answers with the id of another request.
	otherID bool
}

// script plays an entry VM without a network.
type script struct {
	t     *testing.T
	steps []step
	// keys are the idempotency keys of the calls, in order.
	keys []string
	// addresses are the addresses that were asked, in order.
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
		s.t.Fatalf("%s %s instead of %s", r.Method, r.URL, next.method)
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

// refused is a step that answers with a problem.
func refused(method, code, verdict, retry string) step {
	return step{method: method, status: 503, verdict: verdict, retry: retry, body: problem(code, verdict, false)}
}

func booked(method string) step {
	return step{method: method, status: 201, verdict: "ran", body: "booked"}
}

// TestBookNeverRunsTwice plays what can go wrong with a booking. sameKey says
// whether all calls must bear one key.
func TestBookNeverRunsTwice(t *testing.T) {
	const post, get = http.MethodPost, http.MethodGet
	cases := map[string]struct {
		steps   []step
		sameKey bool
	}{
		"answered":                        {[]step{booked(post)}, true},
		"lost connection: asks":           {[]step{{method: post, fail: true}, booked(get)}, true},
		"no entry knows: sends again":     {[]step{{method: post, fail: true}, refused(get, "key-unknown", "may-have-run", "1"), booked(post)}, true},
		"owner unreachable: asks later":   {[]step{refused(post, "owner-unreachable", "may-have-run", "1"), refused(get, "owner-unreachable", "may-have-run", "1"), booked(get)}, true},
		"another's answer: asks":          {[]step{{method: post, status: 201, verdict: "ran", otherID: true}, booked(get)}, true},
		"not run: takes a new key":        {[]step{refused(post, "overloaded", "not-run", "1"), booked(post)}, false},
		"closed while asked: new key too": {[]step{{method: post, fail: true}, refused(get, "key-closed", "not-run", ""), booked(post)}, false},
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

// TestBookReportsWhatNobodyKnows checks that an unknown outcome is an error
// with the verdict and the key, and no new attempt.
func TestBookReportsWhatNobodyKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gone := step{method: http.MethodGet, status: 502, verdict: "may-have-run", body: problem("owner-gone", "may-have-run", true)}
		caller, s := newClient(t, step{method: http.MethodPost, fail: true}, gone)
		_, err := caller.Book(context.Background(), slot)
		var refusal *client.Error
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Verdict, client.MayHaveRun)
		is.True(refusal.Final)
		is.Equal(refusal.Key, s.keys[0])
	})
}

// TestOutcomeIsAskedElsewhere checks that any entry VM can be asked for the
// outcome of a key.
func TestOutcomeIsAskedElsewhere(t *testing.T) {
	is := is.New(t)
	caller, s := newClient(t, step{method: http.MethodGet, fail: true}, booked(http.MethodGet))
	got, err := caller.Outcome(context.Background(), "p~1")
	is.NoErr(err)
	is.Equal(got.Key, "p~1")
	is.Equal(s.keys, []string{"p~1", "p~1"})
	is.Equal(s.addresses, []string{"a:1", "b:1"})
}

// TestBookStopsAtItsDeadline checks that Retry-After isn't waited for beyond
// the deadline.
func TestBookStopsAtItsDeadline(t *testing.T) {
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
		is.Equal(time.Since(started), time.Duration(0)) // given up at once
	})
}

// TestCallIsRepeatedElsewhere checks that an idempotent call goes to another
// entry after a failure, and gives up after its tries.
func TestCallIsRepeatedElsewhere(t *testing.T) {
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

// TestStreamIsWholeOrAnError checks that a stream without its last event, and
// one with an error event, don't end like whole ones.
func TestStreamIsWholeOrAnError(t *testing.T) {
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
