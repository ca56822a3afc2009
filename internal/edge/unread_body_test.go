package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/relay"
)

// Guards against connections to the port for other VMs that stay in use for good: the HTTP
// server waited for a body that no handler reads before it responded.
func TestWithheldBodyThatNothingReadsEndsItsConnection(t *testing.T) {
	server := httptest.NewServer(newSilentEdge().hopRouter())
	defer server.Close()
	for _, request := range []string{"POST " + relay.PathCancelHop, "POST /unknown", "PUT " + relay.PathHop, "POST " + relay.PathHop, "POST " + pathQuota} {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx", request)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(response.Close)
		})
	}
}
