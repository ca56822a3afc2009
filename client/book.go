package client

import (
	"context"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Book sends a call that must run at most once. It takes an idempotency key,
// repeats only with that key, and takes a new key only after the verdict
// NotRun. After a lost connection it asks for the outcome.
//
// Its error is an *Error or ErrNoEntry. An *Error with the verdict MayHaveRun
// that isn't final carries the key for a later Outcome.
func (c *Client) Book(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for {
		answer, refused, err := c.bookOnce(ctx, r)
		if err != nil {
			return nil, err
		}
		if refused == nil {
			return answer, nil
		}
		useless := refused.RetryAfter == 0 && len(refused.Entries) == 0 && refused.Code != codeKeyClosed
		if refused.Verdict != NotRun || useless || !pause(ctx, refused.RetryAfter) {
			return nil, refused
		}
	}
}

// codeKeyClosed says that an attempt before the last one was refused, so that
// a new key may be taken at once.
const codeKeyClosed = "key-closed"

// Outcome asks for the outcome of a booking by its key. Its error is an *Error
// or ErrNoEntry.
func (c *Client) Outcome(ctx context.Context, key string) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	entries, err := c.Entries(ctx)
	if err != nil {
		return nil, err
	}
	var last *Error
	for _, e := range entries {
		answer, refused := c.ask(ctx, e.Address, key)
		if refused == nil {
			return answer, nil
		}
		last = refused
		if last.Code != codeTransport {
			break
		}
	}
	return nil, last
}

// bookOnce books with one key. The error is ErrNoEntry.
func (c *Client) bookOnce(ctx context.Context, r Request) (*Answer, *Error, error) {
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
		send: attempt{
			address: owner, method: r.Method, path: r.path(), contentType: r.ContentType,
			body: r.Body, key: key, priority: r.Priority,
		},
		entries: entries,
	}
	answer, refused := b.run(ctx)
	if refused != nil {
		refused.Key = key
	}
	return answer, refused, nil
}

// newKey returns a new key and the address of the entry VM that owns it.
func (c *Client) newKey(ctx context.Context, entries []Entry) (owner, key string, err error) {
	for _, e := range entries {
		list, err := c.askEntries(ctx, e.Address)
		if err == nil && list.KeyPrefix != "" {
			return e.Address, list.KeyPrefix + "~" + newID(), nil
		}
	}
	c.forget()
	return "", "", ErrNoEntry
}

func (c *Client) ask(ctx context.Context, address, key string) (*Answer, *Error) {
	answer, refused := c.whole(ctx, attempt{address: address, method: http.MethodGet, path: wire.PathBookings + key})
	if answer != nil {
		answer.Key = key
	}
	return answer, refused
}

// booking is a booking with one key.
type booking struct {
	client  *Client
	send    attempt
	entries []Entry
	next    int
}

// run sends the booking and follows its key until the outcome is known, or the
// deadline is near, or asking is useless.
func (b *booking) run(ctx context.Context) (*Answer, *Error) {
	answer, refused := b.client.whole(ctx, b.send)
	for refused != nil && refused.Verdict == MayHaveRun && !refused.Final {
		if !pause(ctx, refused.RetryAfter) {
			return nil, refused
		}
		if refused.Code == codeKeyUnknown {
			// No attempt has arrived: the same key may be sent again.
			answer, refused = b.client.whole(ctx, b.send)
			continue
		}
		answer, refused = b.client.ask(ctx, b.nextAddress(refused), b.send.key)
	}
	return answer, refused
}

// nextAddress returns where to ask: the owner, and after a lost connection any
// other entry VM, which asks the owner.
func (b *booking) nextAddress(refused *Error) string {
	if refused.Code != codeTransport {
		return b.send.address
	}
	address := b.entries[b.next%len(b.entries)].Address
	b.next++
	return address
}
