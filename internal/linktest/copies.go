package linktest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// CopyingServer sends responses a second time: before a response it may write a copy of the one
// before on the connection.
type CopyingServer struct {
	Address string
	handler http.Handler
	// copies reports whether a copy of the earlier response is written before the one that is
	// due. Its parameters are their status codes.
	copies func(earlier, due int) bool
}

// CopyAll makes a CopyingServer write a copy of each response.
func CopyAll(int, int) bool { return true }

// CopyRefusals makes a CopyingServer write the copy of a refusal before the response to a request
// that it ran.
func CopyRefusals(earlier, due int) bool {
	return earlier >= http.StatusBadRequest && due < http.StatusBadRequest
}

// StartCopyingServer starts a CopyingServer, which ends with the test. The handler's responses
// are written once it has returned. A handler that panics with http.ErrAbortHandler ends the
// connection after what it has written.
func StartCopyingServer(t *testing.T, handler http.HandlerFunc, copies func(earlier, due int) bool) *CopyingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &CopyingServer{Address: l.Addr().String(), handler: handler, copies: copies}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve serves the requests of a connection.
func (s *CopyingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var earlier bytes.Buffer
	earlierStatus := 0
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		recorder := httptest.NewRecorder()
		aborted := s.run(recorder, request)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		due := recorder.Result()
		due.ContentLength = int64(recorder.Body.Len())
		if aborted {
			due.ContentLength++ // more than is sent
		}
		if earlierStatus != 0 && s.copies(earlierStatus, due.StatusCode) {
			if _, err := conn.Write(earlier.Bytes()); err != nil {
				return
			}
		}
		earlier.Reset()
		earlierStatus = due.StatusCode
		writeErr := due.Write(&earlier) // fails for an aborted response, after what there is of it
		if _, err := conn.Write(earlier.Bytes()); err != nil || writeErr != nil || request.Close {
			return
		}
	}
}

// run runs the handler and reports whether it aborted the response.
func (s *CopyingServer) run(w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if cause := recover(); cause == http.ErrAbortHandler {
			aborted = true
		} else if cause != nil {
			panic(cause)
		}
	}()
	s.handler.ServeHTTP(w, r)
	return false
}
