package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// sendOnce sends a request that isn't idempotent. It writes the request to a new
// connection, as an idle one may break before the server has read the request, and
// nobody could tell whether it ran.
func (s *Sender) sendOnce(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, w pipeline.Response) *verdict.Refusal {
	started := s.Now()
	if !s.pool.Total.Take() {
		return verdict.Busy(verdict.CodeOverloaded, "this VM has no more connections to backend servers", retryAfterFailure)
	}
	defer s.pool.Total.Give()
	conn, err := s.pool.Dialer.DialContext(ctx, "tcp", server.Spec.Address)
	if err != nil {
		s.observeError(ctx, server, started, err)
		return verdict.Busy(verdict.CodeBackendFailed, "the backend server could not be reached", retryAfterFailure)
	}
	defer func() { _ = upstream.Reset(conn) }()
	if refusal := req.CheckBeforeSend(); refusal != nil {
		return refusal
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	resp, err := exchangeOnce(newRequest(ctx, req, server), conn)
	if err != nil {
		s.observeError(ctx, server, started, err)
		return connectionRefusal(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	s.observeResponse(server, started, resp)
	if refusal := checkResponse(req, resp); refusal != nil {
		return refusal
	}
	return relayBuffered(ctx, req, server, resp, resp.Body, w)
}

// exchangeOnce writes the request once and returns the response. It skips 1xx
// responses.
func exchangeOnce(out *http.Request, conn net.Conn) (*http.Response, error) {
	out.Close = true
	if err := out.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(io.Reader(conn))
	for {
		resp, err := http.ReadResponse(reader, out)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// connectionRefusal returns the refusal for a connection that failed after the
// request may have been sent.
func connectionRefusal(ctx context.Context) *verdict.Refusal {
	if refusal := contextRefusal(ctx); refusal != nil {
		return refusal
	}
	return verdict.Ambiguous(verdict.CodeBackendFailed, "the connection to the backend server broke", retryAfterFailure)
}
