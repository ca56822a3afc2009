package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Request is a call to a plain service, one that is not a model.
type Request struct {
	Service string
	Method  string
	// Path is the path and query within the service, such as "/slots?day=1".
	Path        string
	ContentType string
	Body        []byte
	// Priority is "high", "normal" or "low"; empty means normal.
	Priority string
}

// Answer is a complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key of a booking.
	Key string
}

// path returns the path of the request at an entry VM.
func (r Request) path() string {
	return wire.PathServices + r.Service + "/" + strings.TrimPrefix(r.Path, "/")
}

// attempt is one HTTP exchange with an entry VM.
type attempt struct {
	address     string
	method      string
	path        string
	contentType string
	body        []byte
	key         string
	priority    string
}

// errRequestIDMismatch is wrapped in the error of a response that carries the ID
// of another request.
var errRequestIDMismatch = errors.New("response belongs to another request")

// send sends an attempt and returns the response with its body unread. It
// checks that the response belongs to the request and has the verdict Ran. A
// refusal is returned as an error.
func (c *Client) send(ctx context.Context, a attempt) (*http.Response, *Error) {
	// MultiReader hides the type of the body: NewRequest then sets neither
	// GetBody nor, for an empty body, NoBody, so net/http's transport can't
	// retry the request by itself.
	var body io.Reader
	if a.method != http.MethodGet {
		body = io.MultiReader(bytes.NewReader(a.body))
	}
	req, err := http.NewRequestWithContext(ctx, a.method, c.url(a.address, a.path), body)
	if err != nil {
		return nil, &Error{Verdict: NotRun, Code: "bad-request", Detail: "building the request failed", Err: err}
	}
	if len(a.body) > 0 {
		req.ContentLength = int64(len(a.body))
	}
	id := newID()
	c.setHeaders(ctx, req.Header, a, id)
	resp, err := c.config.HTTP.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	if resp.Header.Get(wire.HeaderRequestID) != id {
		_ = resp.Body.Close()
		return nil, transportError(errRequestIDMismatch)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return nil, readProblem(resp)
	}
	if Verdict(resp.Header.Get(wire.HeaderVerdict)) != Ran {
		_ = resp.Body.Close()
		return nil, &Error{Verdict: MayHaveRun, Code: codeTransport, Status: resp.StatusCode, Detail: "the response has no verdict \"ran\""}
	}
	return resp, nil
}

func (c *Client) setHeaders(ctx context.Context, h http.Header, a attempt, id string) {
	h.Set(wire.HeaderTeam, c.config.Team)
	h.Set(wire.HeaderRequestID, id)
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.key != "" {
		h.Set(wire.HeaderIdempotencyKey, a.key)
	}
	if a.priority != "" {
		h.Set(wire.HeaderPriority, a.priority)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		h.Set(wire.HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
}

func readProblem(resp *http.Response) *Error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMetadataBytes))
	if err != nil {
		return transportError(err)
	}
	return problemError(body, resp.Header)
}

// sendAndRead sends an attempt and reads the complete response.
func (c *Client) sendAndRead(ctx context.Context, a attempt) (*Answer, *Error) {
	resp, failure := c.send(ctx, a)
	if failure != nil {
		return nil, failure
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, transportError(err)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Key: a.key}, nil
}

// Call sends an idempotent call to a service. After a failure that permits it,
// Call retries at other entry VMs, with at most Config.MaxAttempts attempts in
// total. The error is an *Error or ErrNoEntry.
func (c *Client) Call(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	var answer *Answer
	err := c.retry(ctx, func(address string) *Error {
		var failure *Error
		answer, failure = c.sendAndRead(ctx, attempt{
			address: address, method: r.Method, path: r.path(),
			contentType: r.ContentType, body: r.Body, priority: r.Priority,
		})
		return failure
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// retry calls try with the addresses of entry VMs in order until it succeeds,
// a retry is useless or the attempts are used up.
func (c *Client) retry(ctx context.Context, try func(address string) *Error) error {
	entries, err := c.Entries(ctx)
	if err != nil {
		return err
	}
	var last *Error
	for i := range c.config.MaxAttempts {
		last = try(entries[i%len(entries)].Address)
		if last == nil {
			return nil
		}
		if len(last.Entries) > 0 {
			entries = newEntries(last.Entries)
			continue
		}
		noRetry := last.RetryAfter == 0 && last.Code != codeTransport
		if noRetry || i+1 == c.config.MaxAttempts || !waitToRetry(ctx, last.RetryAfter) {
			return last
		}
		c.expireEntries()
	}
	return last
}

func newEntries(addresses []string) []Entry {
	entries := make([]Entry, len(addresses))
	for i, address := range addresses {
		entries[i].Address = address
	}
	return entries
}

// waitToRetry waits before a retry, for at least minRetryDelay. It returns false
// if the wait would exceed the deadline of ctx or ctx ends.
func waitToRetry(ctx context.Context, wait time.Duration) bool {
	wait = max(wait, minRetryDelay)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// withDefaultTimeout applies DefaultTimeout to a context without a deadline.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}
