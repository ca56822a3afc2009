package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Whatever bytes a server sends, an exchange ends when the server closes the connection.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 x\r\nKeep-Alive: timeout=-1\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nok"))
	f.Add([]byte("\x00\xff\r\n\r\n"))
	for _, c := range append(responseCases, earlyCases...) {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		p := NewPool(clock.Boot, time.Second)
		near, far := net.Pipe()
		head := &headReader{r: near}
		p.putIdle(&conn{
			Conn: near, pool: p, address: "server", head: head, reader: bufio.NewReaderSize(head, readBufferBytes),
			idleSince: clock.Boot(), idleTimeout: time.Minute,
		})
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(response)
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		e, err := p.Do(ctx, &Call{Address: "server", Method: http.MethodGet, Target: "/", Host: "server", MaxIdle: time.Minute})
		if err == nil {
			if e.StatusCode < http.StatusOK || e.StatusCode > maxStatus {
				t.Errorf("status %d", e.StatusCode)
			}
			_, _ = io.Copy(io.Discard, io.LimitReader(e, 1<<20))
			e.Release()
		}
		if ctx.Err() != nil {
			t.Error("the exchange did not end when the server closed the connection")
		}
	})
}
