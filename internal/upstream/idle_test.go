package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Guards against descriptors that a faulty server holds: it announced an idle timeout of
// years, and the connections that it closed were kept for as long.
func TestConnectionsWithALongIdleTimeoutAreClosed(t *testing.T) {
	for _, timeout := range []string{"4000000000", "9223372036", "9223372036854775807"} {
		is := is.New(t)
		address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if req, _ := readRequest(r); req != nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout="+timeout+"\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		p, now := newPool(), clock.Boot()
		p.Now = func() clock.Instant { return now }
		_, _, err := exchange(t, p, call(address, "1"))
		is.NoErr(err)
		is.Equal(p.OpenConnections(), 1)
		now = now.Add(maxIdleTimeout + time.Second)
		p.CloseExpired()
		is.Equal(p.OpenConnections(), 0)
	}
}
