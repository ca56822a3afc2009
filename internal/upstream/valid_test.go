package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// responseCase is what a server sends and what the sender of the request gets: a whole
// response with a status and a body, or, if the status is 0, a failure.
type responseCase struct {
	name, text string
	status     int
	body       string
}

const (
	okEnd   = "Id: 1\r\nContent-Length: 2\r\n\r\nok"
	chunked = "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)

// responseCases are the responses that are valid and those that are a failure of the server.
var responseCases = []responseCase{
	{"version 1.1", "HTTP/1.1 200 OK\r\n" + okEnd, 200, "ok"},
	{"version 1.0", "HTTP/1.0 200 OK\r\n" + okEnd, 200, "ok"},
	{"no reason", "HTTP/1.1 200\r\n" + okEnd, 200, "ok"},
	{"empty reason", "HTTP/1.1 200 \r\n" + okEnd, 200, "ok"},
	{"line feeds", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok", 200, "ok"},
	{"status 599", "HTTP/1.1 599 x\r\n" + okEnd, 599, "ok"},
	{"chunks", "HTTP/1.1 200 OK\r\n" + chunked, 200, "ok"},
	{"after 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + okEnd, 200, "ok"},
	{"after 103", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + okEnd, 200, "ok"},
	{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + okEnd, 200, "ok"},
	{"another response after it", "HTTP/1.1 200 OK\r\n" + okEnd + "HTTP/1.1 200 OK\r\n" + okEnd, 200, "ok"},

	{"status 000", "HTTP/1.1 000 x\r\n" + okEnd, 0, ""},
	{"status 099", "HTTP/1.1 099 x\r\n" + okEnd, 0, ""},
	{"status 20", "HTTP/1.1 20 x\r\n" + okEnd, 0, ""},
	{"status 101", "HTTP/1.1 101 x\r\n" + okEnd, 0, ""},
	{"status 600", "HTTP/1.1 600 x\r\n" + okEnd, 0, ""},
	{"status 999", "HTTP/1.1 999 x\r\n" + okEnd, 0, ""},
	{"status 2000", "HTTP/1.1 2000 x\r\n" + okEnd, 0, ""},
	{"status 0200", "HTTP/1.1 0200 x\r\n" + okEnd, 0, ""},
	{"status +20", "HTTP/1.1 +20 x\r\n" + okEnd, 0, ""},
	{"status -20", "HTTP/1.1 -20 x\r\n" + okEnd, 0, ""},
	{"two spaces", "HTTP/1.1  200 OK\r\n" + okEnd, 0, ""},
	{"a tab", "HTTP/1.1\t200 OK\r\n" + okEnd, 0, ""},
	{"a space before the version", " HTTP/1.1 200 OK\r\n" + okEnd, 0, ""},
	{"an empty line before it", "\r\nHTTP/1.1 200 OK\r\n" + okEnd, 0, ""},
	{"version 2.0", "HTTP/2.0 200 OK\r\n" + okEnd, 0, ""},
	{"version 1.2", "HTTP/1.2 200 OK\r\n" + okEnd, 0, ""},
	{"version 0.9", "ok", 0, ""},
	{"another protocol", "ICY 200 OK\r\n" + okEnd, 0, ""},
	{"after 100 two spaces", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1  200 OK\r\n" + okEnd, 0, ""},
	{"after 103 status 600", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 x\r\n" + okEnd, 0, ""},
	{"contradicting lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + okEnd, 0, ""},
	{"lengths in one field", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2, 1\r\n\r\nok", 0, ""},
	{"length below 0", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: -2\r\n\r\nok", 0, ""},
	{"length with a sign", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: +2\r\n\r\nok", 0, ""},
	{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + chunked, 0, ""},
	{"chunks and length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\ncontent-length: 12\r\nId: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, ""},
	{"chunks twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunked, 0, ""},
	{"another encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + okEnd, 0, ""},
	{"chunks in version 1.0", "HTTP/1.0 200 OK\r\n" + chunked, 0, ""},
	{"folded line", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n" + okEnd, 0, ""},
	{"line folded by a tab", "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n" + okEnd, 0, ""},
	{"folded first line", "HTTP/1.1 200 OK\r\n A: b\r\n" + okEnd, 0, ""},
	{"space before the colon", "HTTP/1.1 200 OK\r\nA : b\r\n" + okEnd, 0, ""},
	{"no colon", "HTTP/1.1 200 OK\r\nA\r\n" + okEnd, 0, ""},
	{"bytes after the length", "HTTP/1.1 200 OK\r\n" + okEnd + "ay", 0, ""},
	{"bytes after the chunks", "HTTP/1.1 200 OK\r\n" + chunked + "ay", 0, ""},
	{"bytes after no content", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\nok", 0, ""},
	{"a part by length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nok", 0, ""},
	{"a part by chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 0, ""},
}

// Guards against responses that another program reads differently: a status that is none, a
// header of two meanings, or a body of which a part looks like the whole.
func TestInvalidResponseIsAFailure(t *testing.T) {
	for _, c := range responseCases {
		for _, pieces := range []int{0, 1} { // in one write, and byte by byte
			if pieces > 0 && strings.HasPrefix(c.name, "bytes after") {
				continue // bytes that come after the response was read are seen at the next use
			}
			t.Run(fmt.Sprint(c.name, "/", pieces), func(t *testing.T) {
				is := is.New(t)
				address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					if req, _ := readRequest(r); req == nil {
						return
					}
					for rest := []byte(c.text); len(rest) > 0; {
						k := len(rest)
						if pieces > 0 {
							k = pieces
						}
						if _, err := conn.Write(rest[:k]); err != nil {
							return
						}
						rest = rest[k:]
					}
					if c.status == 0 {
						_ = conn.(*net.TCPConn).CloseWrite()
					}
					_, _ = io.Copy(io.Discard, conn)
				})
				p := newPool()
				body, x, err := exchange(t, p, call(address, "1"))
				if c.status == 0 {
					is.True(err != nil)
					is.Equal(p.OpenConnections(), 0) // it never returns to the pool
					return
				}
				is.NoErr(err)
				is.Equal(x.StatusCode, c.status)
				is.Equal(body, c.body)
			})
		}
	}
}

const (
	// uploadBytes is the size of an upload, and smallBufferBytes that of the socket buffers,
	// which don't hold it.
	uploadBytes, smallBufferBytes = 400_000, 8 << 10
)

// setSmallBuffers bounds the socket buffers of a listener or of a connection that is dialed.
func setSmallBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, smallBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBufferBytes))
	})
	return errors.Join(err, failed)
}

// uploadRead are the bytes of an upload that a server reads before its early response.
var uploadRead = []int64{0, 1_000, 100_000}

// earlyCases are early responses to an upload, before the server closes or resets the
// connection. Those that are whole by their framing are delivered.
var earlyCases = []responseCase{
	{"without length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", 0, ""},
	{"with length", "HTTP/1.1 200 OK\r\n" + okEnd, 200, "ok"},
	{"chunked", "HTTP/1.1 200 OK\r\n" + chunked, 200, "ok"},
	{"part with length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nok", 0, ""},
	{"part chunked", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", 0, ""},
	{"only 100", "HTTP/1.1 100 Continue\r\n\r\n", 0, ""},
	{"only 103", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, ""},
	{"after 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + okEnd, 200, "ok"},
	{"after 103 without length", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", 0, ""},
	{"413", "HTTP/1.1 413 Too Large\r\n" + okEnd, 413, "ok"},
	{"413 without length", "HTTP/1.1 413 Too Large\r\nId: 1\r\n\r\nok", 0, ""},
	{"nothing", "", 0, ""},
}

// Guards against an early response to an upload of which a part looks complete, or whose
// connection, on which the rest of the upload may follow, serves another request.
func TestEarlyResponseToAnUploadIsWholeOrAFailure(t *testing.T) {
	for _, c := range earlyCases {
		for _, read := range uploadRead {
			for _, ending := range []string{"close", "half close", "reset"} {
				t.Run(fmt.Sprint(c.name, "/", read, "/", ending), func(t *testing.T) {
					is := is.New(t)
					l, err := (&net.ListenConfig{Control: setSmallBuffers}).Listen(t.Context(), "tcp", "127.0.0.1:0")
					is.NoErr(err)
					serveOn(t, l, func(_ int, conn net.Conn, r *bufio.Reader) {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						_, _ = io.CopyN(io.Discard, r, read)
						_, _ = io.WriteString(conn, c.text)
						switch ending {
						case "reset":
							time.Sleep(5 * time.Millisecond) // the response arrives before the reset
							_ = conn.(*net.TCPConn).SetLinger(0)
						case "half close":
							_ = conn.(*net.TCPConn).CloseWrite()
							time.Sleep(200 * time.Millisecond)
						}
					})
					p := newPool()
					p.Dialer = &net.Dialer{Control: setSmallBuffers}
					upload := call(l.Addr().String(), "1")
					upload.Body = membudget.Segments{bytes.Repeat([]byte("u"), uploadBytes)}
					body, x, err := exchange(t, p, upload)
					is.Equal(p.OpenConnections(), 0) // it never returns to the pool
					switch {
					case c.status == 0:
						is.True(err != nil)
					case err == nil: // the end of the connection may overtake the response
						is.Equal(x.StatusCode, c.status)
						is.Equal(body, c.body)
					}
				})
			}
		}
	}
}

// A response without length to an upload that was sent whole is complete as before.
func TestResponseWithoutLengthToAWholeUploadIsComplete(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok")
	})
	for range 50 {
		upload := call(address, "1")
		upload.Body = membudget.Segments{bytes.Repeat([]byte("u"), uploadBytes)}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		x, err := newPool().Do(ctx, upload)
		is.NoErr(err)
		body, err := io.ReadAll(x)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		x.Release()
		cancel()
	}
}
