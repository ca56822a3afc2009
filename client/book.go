package client

import (
	"context"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Book sends a call that must be executed at most once. It sends the call with
// an idempotency key, retries only with the same key, and creates a new key only
// after the verdict NotRun. After a lost connection it requests the outcome of
// the key.
//
// The error is an *Error or ErrNoEntry. An *Error that has the verdict
// MayHaveRun and is not final carries the key for a later call of Outcome.
func (c *Client) Book(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		answer, failure, err := c.bookWithNewKey(ctx, r)
		if err != nil {
			return nil, err
		}
		if failure == nil {
			return answer, nil
		}
		noRetry := failure.RetryAfter == 0 && len(failure.Entries) == 0 && failure.Code != codeKeyClosed
		if failure.Verdict != NotRun || noRetry || !waitToRetry(ctx, failure.RetryAfter) {
			return nil, failure
		}
	}
}

// codeKeyClosed is the code of a key whose earlier attempt was refused. The
// call was not executed and may be sent with a new key immediately.
const codeKeyClosed = "key-closed"

// Outcome returns the outcome of a booking by its key. The error is an *Error
// or ErrNoEntry.
func (c *Client) Outcome(ctx context.Context, key string) (*Answer, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	entries, err := c.Entries(ctx)
	if err != nil {
		return nil, err
	}
	var last *Error
	for _, e := range entries {
		answer, failure := c.fetchOutcome(ctx, e.Address, key)
		if failure == nil {
			return answer, nil
		}
		last = failure
		if last.Code != codeTransport {
			break
		}
	}
	return nil, last
}

// bookWithNewKey sends the booking with one new key. The only other error than
// *Error is ErrNoEntry.
func (c *Client) bookWithNewKey(ctx context.Context, r Request) (*Answer, *Error, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return nil, nil, err
	}
	owner, key, err := c.newKey(ctx, entries)
	if err != nil {
		return nil, nil, err
	}
	b := booking{
		client: c,
		attempt: attempt{
			address: owner, method: r.Method, path: r.path(), contentType: r.ContentType,
			body: r.Body, key: key, priority: r.Priority,
		},
		entries: entries,
	}
	answer, failure := b.run(ctx)
	if failure != nil {
		failure.Key = key
	}
	return answer, failure, nil
}

// newKey returns a new idempotency key and the address of the entry VM that
// owns it.
func (c *Client) newKey(ctx context.Context, entries []Entry) (owner, key string, err error) {
	for _, e := range entries {
		list, err := c.fetchEntries(ctx, e.Address)
		if err == nil && list.KeyPrefix != "" {
			return e.Address, list.KeyPrefix + "~" + newID(), nil
		}
	}
	c.expireEntries()
	return "", "", ErrNoEntry
}

// fetchOutcome requests the outcome of a key from the entry VM at the address.
func (c *Client) fetchOutcome(ctx context.Context, address, key string) (*Answer, *Error) {
	answer, failure := c.sendAndRead(ctx, attempt{address: address, method: http.MethodGet, path: wire.PathBookings + key})
	if answer != nil {
		answer.Key = key
	}
	return answer, failure
}

// booking is a booking sent with one idempotency key.
type booking struct {
	client  *Client
	attempt attempt
	entries []Entry
	// nextEntry is the index of the next entry VM to request the outcome from,
	// modulo the number of entries.
	nextEntry int
}

// run sends the booking and polls the outcome of its key until the outcome is
// known or final, or the next attempt would exceed the deadline.
func (b *booking) run(ctx context.Context) (*Answer, *Error) {
	answer, failure := b.client.sendAndRead(ctx, b.attempt)
	for failure != nil && failure.Verdict == MayHaveRun && !failure.Final {
		if !waitToRetry(ctx, failure.RetryAfter) {
			return nil, failure
		}
		if failure.Code == codeKeyUnknown {
			// No attempt with this key has arrived, so the call may be sent
			// again with the same key.
			answer, failure = b.client.sendAndRead(ctx, b.attempt)
			continue
		}
		answer, failure = b.client.fetchOutcome(ctx, b.outcomeAddress(failure), b.attempt.key)
	}
	return answer, failure
}

// outcomeAddress returns the address to request the outcome from: the key's owner
// or, after a lost connection, the next entry VM, which forwards the request to
// the owner.
func (b *booking) outcomeAddress(failure *Error) string {
	if failure.Code != codeTransport {
		return b.attempt.address
	}
	address := b.entries[b.nextEntry%len(b.entries)].Address
	b.nextEntry++
	return address
}
