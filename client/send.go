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

// Request is a call of a plain service.
type Request struct {
	Service string
	Method  string
	// Path is the path within the service, with the query, such as "/slots".
	Path        string
	ContentType string
	Body        []byte
	// Priority is "high", "normal" or "low"; empty means normal.
	Priority string
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key of a booking.
	Key string
}

// path returns the path at an entry VM.
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

// errOtherRequest says that an answer names another request.
var errOtherRequest = errors.New("the answer belongs to another request")

// exchange sends an attempt and returns the head of the answer once it was
// checked to belong to the attempt. A refusal is returned as an error.
func (c *Client) exchange(ctx context.Context, a attempt) (*http.Response, *Error) {
	// Without GetBody and with a body that isn't empty in its type, the
	// transport can't send the request twice.
	var body io.Reader
	if a.method != http.MethodGet {
		body = io.MultiReader(bytes.NewReader(a.body))
	}
	req, err := http.NewRequestWithContext(ctx, a.method, c.url(a.address, a.path), body)
	if err != nil {
		return nil, &Error{Verdict: NotRun, Code: "bad-request", Detail: "the request can't be built", Err: err}
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
		return nil, transportError(errOtherRequest)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return nil, readProblem(resp)
	}
	if Verdict(resp.Header.Get(wire.HeaderVerdict)) != Ran {
		_ = resp.Body.Close()
		return nil, &Error{Verdict: MayHaveRun, Code: codeTransport, Status: resp.StatusCode, Detail: "the answer has no verdict"}
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return transportError(err)
	}
	return problemError(body, resp.Header)
}

// whole sends an attempt and reads the whole answer.
func (c *Client) whole(ctx context.Context, a attempt) (*Answer, *Error) {
	resp, refused := c.exchange(ctx, a)
	if refused != nil {
		return nil, refused
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, transportError(err)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Key: a.key}, nil
}

// Call sends an idempotent call of a service. It repeats the call at other
// entry VMs up to Config.MaxAttempts times. Its error is an *Error or
// ErrNoEntry.
func (c *Client) Call(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var answer *Answer
	err := c.repeat(ctx, func(address string) *Error {
		var refused *Error
		answer, refused = c.whole(ctx, attempt{
			address: address, method: r.Method, path: r.path(),
			contentType: r.ContentType, body: r.Body, priority: r.Priority,
		})
		return refused
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// repeat tries an idempotent request at one entry VM after another.
func (c *Client) repeat(ctx context.Context, try func(address string) *Error) error {
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
			entries = entriesOf(last.Entries)
			continue
		}
		useless := last.RetryAfter == 0 && last.Code != codeTransport
		if useless || i+1 == c.config.MaxAttempts || !pause(ctx, last.RetryAfter) {
			return last
		}
		c.forget()
	}
	return last
}

func entriesOf(addresses []string) []Entry {
	entries := make([]Entry, len(addresses))
	for i, address := range addresses {
		entries[i].Address = address
	}
	return entries
}

// pause waits before the next try. It reports false if the try would come
// after the deadline.
func pause(ctx context.Context, wait time.Duration) bool {
	wait = max(wait, shortestPause)
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

// withDeadline bounds a context that has no deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}
