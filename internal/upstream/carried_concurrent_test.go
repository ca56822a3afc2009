package upstream

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Guards against issue 54 (TWICE) where callers share few connections: one carries the ID of a
// request twice, after refusals, late copies and other responses in any order.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	is := is.New(t)
	const callers, requests, ids, maxOpen = 6, 300, 8, 4
	var twice atomic.Int64
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		carried, copies := map[string]bool{}, ""
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			id := req.Header.Get("Id")
			if carried[id] {
				twice.Add(1)
			}
			carried[id] = true
			if rng.IntN(2) == 0 {
				refusal := "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
				_, _ = io.WriteString(c, refusal)
				if rng.IntN(8) == 0 {
					copies += refusal
				}
				continue
			}
			_, _ = io.WriteString(c, copies)
			copies = ""
			reply(c, id, "answer to "+id)
		}
	})
	p := newPool()
	var sent, unsent, answered atomic.Int64
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(2, uint64(caller)))
			for range requests {
				id := strconv.Itoa(rng.IntN(ids))
				c := callWithID(address, id)
				c.MaxOpen = maxOpen
				body, e, err := exchange(t, p, c)
				switch {
				case errorx.IsOfType(err, ErrUnsent):
					unsent.Add(1)
				case err != nil:
					t.Errorf("request %s: %v", id, err)
				case e.StatusCode == http.StatusOK && body != "answer to "+id:
					t.Errorf("request %s got %q", id, body)
				case e.StatusCode == http.StatusOK:
					answered.Add(1)
				}
				sent.Add(1)
			}
		})
	}
	all.Wait()
	is.Equal(sent.Load(), int64(callers*requests))
	is.True(answered.Load() > 0)
	is.Equal(twice.Load(), int64(0))
	is.True(p.OpenConnections() <= maxOpen)
	t.Logf("%d requests, %d answered, %d not sent", sent.Load(), answered.Load(), unsent.Load())
}
