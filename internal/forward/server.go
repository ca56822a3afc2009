package forward

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/answer"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Publisher *snapshot.Publisher
	Now       clock.Clock
	// Handler serves requests.
	Handler pipeline.Handler
	// Lookup serves queries for the outcome of an idempotency key.
	Lookup pipeline.Handler
	// OnPeerRevision is called with the configuration revision of the sender of
	// each well-formed hop.
	OnPeerRevision func(vm string, revision uint64)
	// MaxRequests bounds the requests in progress, of which a connection may carry many; zero
	// means no bound.
	MaxRequests int
}

// Server receives requests from other gateways.
type Server struct {
	ServerConfig
	inProgress atomic.Int64
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a Server.
func NewServer(config ServerConfig) *Server { return &Server{ServerConfig: config} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathForward || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	req, sender, ok := s.parse(w, r)
	if !ok {
		http.Error(w, "malformed hop", http.StatusBadRequest)
		return
	}
	// Ends the read of a body that is withheld. HTTP/2 streams support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(req.Deadline.Sub(s.Now())))
	s.reportRevision(sender, r)
	w.Header().Set("Trailer", wire.HeaderRefusal)
	out := answer.NewWriter(w, req)
	defer s.inProgress.Add(-1)
	if s.inProgress.Add(1) > int64(s.MaxRequests) && s.MaxRequests > 0 {
		writeRefusal(w, out, req, verdict.Busy(verdict.CodeOverloaded, "this gateway serves as many requests of others as it may", retryAfterFailure))
		return
	}
	if refusal := s.handlerFor(req).Handle(r.Context(), req, out); refusal != nil {
		writeRefusal(w, out, req, refusal)
	}
}

// handlerFor returns Lookup for the paths of booking outcomes and Handler for
// all others.
func (s *Server) handlerFor(req *pipeline.Request) pipeline.Handler {
	if strings.HasPrefix(req.Path, wire.PathBookings) {
		return s.Lookup
	}
	return s.Handler
}

// reportRevision calls OnPeerRevision if the hop has a valid revision header.
func (s *Server) reportRevision(sender string, r *http.Request) {
	if revision, err := strconv.ParseUint(r.Header.Get(wire.HeaderRevision), 10, 64); err == nil {
		s.OnPeerRevision(sender, revision)
	}
}

// ServerHTTP2 returns the HTTP/2 settings of the server for other gateways. Requests end soon
// after their sender has fallen silent.
func ServerHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: senderPingAfter, PingTimeout: senderPingTimeout,
		MaxReceiveBufferPerConnection: MaxReceiveBuffer, MaxReceiveBufferPerStream: MaxReceiveBuffer,
	}
}

// parse builds the request from the hop's headers and returns the VM that sent
// it. It reports false if a header is missing or malformed.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (req *pipeline.Request, sender string, ok bool) {
	method, path, found := strings.Cut(r.Header.Get(wire.HeaderRequestTarget), " ")
	milliseconds, err := strconv.ParseInt(r.Header.Get(wire.HeaderTimeout), 10, 64)
	visited := strings.Split(r.Header.Get(wire.HeaderVisitedVMs), ",")
	if !found || !strings.HasPrefix(path, "/") || err != nil || milliseconds <= 0 || visited[0] == "" {
		return nil, "", false
	}
	remaining := min(time.Duration(milliseconds)*time.Millisecond, wire.MaxTimeout)
	req = &pipeline.Request{
		ID:            r.Header.Get(wire.HeaderRequestID),
		Snapshot:      s.Publisher.Load(),
		Hop:           pipeline.Hop(r.Header.Get(wire.HeaderHop)),
		VisitedVMs:    visited,
		Sender:        r.Header.Get(wire.HeaderIncarnation),
		Team:          r.Header.Get(wire.HeaderTeam),
		Method:        method,
		Path:          path,
		Header:        r.Header,
		RawBody:       http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes),
		BodyBytes:     r.ContentLength,
		InterruptBody: answer.InterruptBody(w),
		Priority:      pipeline.ParsePriority(r.Header.Get(wire.HeaderPriority)),
		Deadline:      s.Now().Add(remaining),
		Key:           r.Header.Get(wire.HeaderIdempotencyKey),
	}
	known := req.Hop == pipeline.HopOwner || req.Hop == pipeline.HopRegion
	return req, visited[len(visited)-1], known && req.ID != ""
}

// writeRefusal sends a refusal in a header, or in the trailer if the response
// has started.
func writeRefusal(w http.ResponseWriter, out *answer.Writer, req *pipeline.Request, refusal *verdict.Refusal) {
	w.Header().Set(wire.HeaderRefusal, encodeRefusal(refusal))
	if out.Started() {
		return
	}
	w.Header().Set(wire.HeaderRequestID, req.ID)
	w.WriteHeader(refusal.Status)
}
