package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// cutHeads are responses that a server may cut off anywhere in their heads.
var cutHeads = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n",
	"close":         "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nConnection: close\r\n\r\n",
	"old version":   "HTTP/1.0 200 OK\r\nRequest-Id: q\r\n\r\n",
	"line feeds":    "HTTP/1.1 200 OK\nRequest-Id: q\nContent-Length: 4\n\n",
	"continued":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 4\r\n\r\n",
	"early hints":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\n",
	"no content":    "HTTP/1.1 204 No Content\r\nRequest-Id: q\r\n\r\n",
	"other request": "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\n",
}

// rawReply is what a server sends on a connection before it closes or resets it.
type rawReply struct {
	text  string
	reset bool
}

// serveReplies serves each connection to l with the next reply.
func serveReplies(l net.Listener, replies <-chan rawReply) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		r := <-replies
		_, _ = io.WriteString(conn, r.text)
		if r.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// sender sends requests to a server of its own.
type sender struct {
	t       *testing.T
	pool    *Pool
	address string
	replies chan rawReply
}

func newSender(t *testing.T) *sender {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &sender{t: t, pool: NewPool(clock.Boot, time.Second), address: l.Addr().String(), replies: make(chan rawReply, 1)}
	go serveReplies(l, s.replies)
	return s
}

// send sends a request to which the server replies, and reads the body of the response.
func (s *sender) send(r rawReply) (body []byte, status int, err error) {
	s.replies <- r
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
	defer cancel()
	x, err := s.pool.Do(ctx, &Call{
		Address: s.address, Method: http.MethodGet, Target: "/", Host: "h",
		MatchResponse: func(h http.Header) bool { return h.Get("Request-Id") == "q" },
	})
	if err != nil {
		return nil, 0, err
	}
	defer x.Release()
	body, err = io.ReadAll(x)
	return body, x.StatusCode, err
}

// Guards against the third report of issue 38 (MIXED): a server stops anywhere in the
// head of its response and closes, and the response counts as whole.
func TestHeadThatIsCutOffIsNoResponse(t *testing.T) {
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSender(t)
			for cut := range len(head) {
				for _, reset := range []bool{false, true} {
					_, status, err := s.send(rawReply{head[:cut], reset})
					if err == nil {
						t.Errorf("status %d although the head was cut off after %q", status, head[:cut])
					}
				}
			}
		})
	}
}

// Guards against the same for statuses below 200: only those from 100 to 199 precede a
// response, and no other protocol follows.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSender(t)
	whole := "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 2\r\n\r\nok"
	for _, first := range []string{"HTTP/1.1 000 None", "HTTP/1.1 001 One", "HTTP/1.1 099 Ninety-nine", "HTTP/1.1 101 Switching Protocols"} {
		if _, _, err := s.send(rawReply{text: first + "\r\n\r\n" + whole}); err == nil {
			t.Errorf("a response after %q counts", first)
		}
	}
	for _, first := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 102 Processing", "HTTP/1.1 103 Early Hints"} {
		body, _, err := s.send(rawReply{text: first + "\r\n\r\n" + whole})
		is.NoErr(err)
		is.Equal(string(body), "ok")
	}
}

// A body that is cut off is incomplete unless nothing but the connection marks its end.
func TestBodyThatIsCutOffIsIncomplete(t *testing.T) {
	t.Parallel()
	s := newSender(t)
	for _, whole := range []string{cutHeads["length"] + "abcd", cutHeads["chunks"] + "4\r\nabcd\r\n0\r\n\r\n", cutHeads["chunks"] + "4\r\nabcd\r\n0\r\nX-Sum: 1\r\n\r\n"} {
		for cut := strings.Index(whole, "\r\n\r\n") + 4; cut < len(whole); cut++ {
			if _, _, err := s.send(rawReply{text: whole[:cut]}); err == nil {
				t.Errorf("the body counts as complete although it was cut off after %q", whole[:cut])
			}
		}
	}
}
