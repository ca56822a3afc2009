package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// deadline is how long callers wait.
const deadline = 8 * time.Second

// callers send requests and keep the answers.
type callers struct {
	f      *fleet
	client *platformtest.Client
	count  atomic.Int64
	all    sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// answer is what a caller got.
type answer struct {
	platformtest.Answer
	id, kind, route string
	at              time.Time
}

func newCallers(f *fleet) *callers { return &callers{f: f, client: platformtest.NewClient()} }

// send sends one request of a kind to a VM and records the answer. Blocks are those of the prompt
// before the request's own.
func (c *callers) send(v *vm, kind, route, id, blocks string) answer {
	return c.request(context.Background(), v, kind, route, id, blocks, deadline, http.Header{})
}

// request is send with the time that the caller has left, and with more header fields. It ends
// when the context does.
func (c *callers) request(ctx context.Context, v *vm, kind, route, id, blocks string, remaining time.Duration, header http.Header) answer {
	if route != "boat-booking" && route != "forecast-read" {
		header.Set("Model", "m")
		header.Set(wire.Tokens, "826,240")
		header.Set(wire.Blocks, strings.TrimPrefix(blocks+","+id+":628", ","))
	}
	at := time.Now()
	c.f.note("%s: request %s on %s is sent to %s, resuming %q after %q", kind, id, route, v.Name, header.Get(wire.Resumes), header.Get(wire.LastEvent))
	a := answer{Answer: c.client.Send(ctx, v.callers(), platformtest.Call{
		Path: "/" + route + "/x", ID: id, Body: "a request " + id, Deadline: remaining, Header: header,
	}), id: id, kind: kind, route: route, at: at}
	c.f.note("%s: request %s gets %d, %d bytes, complete %v, signature %q, error %v", kind, id, a.Status, len(a.Body), a.Complete, a.Signature, a.Err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// every calls send at the interval until the context ends, each time beside the calls before.
func (c *callers) every(ctx context.Context, interval time.Duration, send func(n int64)) {
	c.all.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			n := c.count.Add(1)
			c.all.Go(func() { send(n) })
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	})
}

// vmsIn returns the VMs of a zone.
func (f *fleet) vmsIn(zone string) []*vm {
	var list []*vm
	for _, v := range f.vms {
		if v.Zone == zone {
			list = append(list, v)
		}
	}
	return list
}
