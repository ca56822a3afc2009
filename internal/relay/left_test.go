package relay

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/drain"
)

// Guards against issue 48 (TWICE): a VM that had stood still went on with requests whose callers
// had left and sent them, or took their streams up, elsewhere.
func TestRequestWhoseCallerHasLeftIsNotServed(t *testing.T) {
	hop := base64.StdEncoding.EncodeToString([]byte(`{"id":"q","host":"h","method":"POST","target":"/x","path":"/x","entry":"vm-0","remainingMs":5000}`))
	// The relay has no configuration, and says so of requests that it would serve.
	for name, c := range map[string]struct{ head, served string }{
		"caller": {"", "code=no-configuration"}, "hop": {"Chestnut-Hop: " + hop + "\r\n", "code=revision-too-old"},
	} {
		for _, left := range []bool{false, true} {
			t.Run(fmt.Sprint(name, left), func(t *testing.T) {
				is := is.New(t)
				r, lines, _ := loggedRelay()
				r.Protocol = deadlineProtocol{deadline: time.Minute}
				r.Leaving = func() bool { return false }
				r.Refusing = r.Leaving
				r.ExitAt = func() clock.Instant { return 0 }
				handler := r.CallerHandler()
				if name == "hop" {
					handler = r.HopHandler()
				}
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				conn, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\n%sContent-Length: 2\r\n\r\nok", c.head)
				is.NoErr(err)
				if left {
					is.NoErr(conn.Close())
					time.Sleep(20 * time.Millisecond)
				}
				server := drain.New(&http.Server{Handler: handler})
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
				await := func(text string) bool {
					for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						if strings.Contains(lines.String(), text) {
							return true
						}
					}
					return false
				}
				if !left {
					is.True(await(c.served))
					return
				}
				is.True(await("caller has left"))
				is.Equal(strings.Contains(lines.String(), c.served), false)
			})
		}
	}
}
