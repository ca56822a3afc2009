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
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// sendOnce sends a request that isn't idempotent. It bypasses http.Transport,
// which replays a request with an Idempotency-Key header and an empty body when
// a reused connection breaks, and writes the request to a new connection.
func (s *Sender) sendOnce(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, w pipeline.Response) *verdict.Refusal {
	started := s.Now()
	conn, err := s.dialer.DialContext(ctx, "tcp", server.Spec.Address)
	if err != nil {
		s.observeError(ctx, server, started, err)
		return verdict.Busy(verdict.CodeBackendFailed, "the backend server could not be reached", retryAfterFailure)
	}
	defer func() { _ = conn.Close() }()
	if refusal := req.CheckBeforeSend(); refusal != nil {
		return refusal
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	resp, err := exchange(newRequest(ctx, req, server), conn)
	if err != nil {
		s.observeError(ctx, server, started, err)
		return connectionRefusal(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	s.observeResponse(server, started, resp)
	if refusal := checkResponse(req, resp); refusal != nil {
		return refusal
	}
	return relayBuffered(ctx, req, server, resp, w)
}

// exchange writes the request once and returns the response. It skips 1xx
// responses.
func exchange(out *http.Request, conn net.Conn) (*http.Response, error) {
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
