package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// Limits of control connections.
const (
	// MaxConnections is the maximum number of open connections of a Server.
	MaxConnections = 512
	// handshakeTimeout bounds the TLS handshake and the wait for the hello.
	handshakeTimeout = 3 * time.Second
	// idleTimeout is how long a connection stays open without receiving data.
	idleTimeout = 30 * time.Second
	// pingTimeout bounds the wait for the response to a ping.
	pingTimeout = 3 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = 3 * time.Second
	// memoryTimeout bounds the wait of a large message for memory that others hold.
	memoryTimeout = 3 * time.Second
)

// Handler handles the messages of peers. Its methods are called concurrently for
// different connections, and in message order for each connection.
type Handler interface {
	// Self returns the hello of this process.
	Self() Hello
	// OnMessage is called for each message, before it is handled, with the sender's
	// configuration revision.
	OnMessage(from Hello, revision uint64)
	// Gossip applies records from a peer. Complete is true if the peer has no
	// further records for this VM.
	Gossip(from Hello, records []gossip.Record, complete bool)
	// Manifest returns the configuration manifest, if this process has one.
	Manifest() (published.Value, bool)
	// Part returns the configuration part with the digest, if this process has it.
	Part(digest string) ([]byte, bool)
}

// Confirmer is an optional interface of a Handler that can report how recently
// the configuration in use was confirmed as the newest.
type Confirmer interface {
	Confirmation() Confirmation
}

// Server accepts control connections from peers.
type Server struct {
	Handler Handler
	// TLS is nil if no keys are configured; connections are plain TCP then.
	TLS *tls.Config
	Log *slog.Logger
	// Meter counts the bytes of the connections, if it isn't nil.
	Meter *Meter
	// Memory holds the large messages; nil means no bound.
	Memory *membudget.Budget
}

// Serve accepts connections on l until ctx ends, and then waits for the open ones
// to end. It returns ErrUnreachable if l is closed before.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer func() { _ = l.Close() }() // the function above may not have run yet
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, MaxConnections)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return ErrUnreachable.Wrap(err, "accept")
		}
		if err != nil {
			s.Log.Warn("control accept failed", "error", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.Log.Warn("control connection refused", "remote", conn.RemoteAddr(), "connections", MaxConnections)
			_ = conn.Close()
			continue
		}
		connections.Go(func() {
			defer func() { <-slots }()
			s.ServeConn(ctx, conn)
		})
	}
}

// ServeConn handles one connection until it ends.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	remote := conn.RemoteAddr()
	metered := &meteredConn{Conn: conn, meter: s.Meter, readTimeout: idleTimeout}
	var secured net.Conn = metered
	if s.TLS != nil {
		secure := tls.Server(metered, s.TLS)
		handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := secure.HandshakeContext(handshake)
		cancel()
		if err != nil {
			s.Log.Warn("peer refused", "remote", remote, "error", err)
			_ = conn.Close()
			return
		}
		secured = secure
	}
	in := &inbound{server: s, remote: remote, close: func() { _ = conn.Close() }}
	helloTimer := time.AfterFunc(handshakeTimeout, in.closeWithoutHello)
	defer helloTimer.Stop()
	stream := newStream(secured, in.receiveGossip)
	stream.memory = s.Memory
	rpc := newConn(ctx, stream, in, s.Log, remote)
	<-rpc.DisconnectNotify()
}

// newConn starts a JSON-RPC connection on a stream. Protocol errors are logged.
func newConn(ctx context.Context, stream *stream, h jsonrpc2.Handler, l *slog.Logger, remote net.Addr) *jsonrpc2.Conn {
	logger := log.New(&logWriter{log: l, remote: remote}, "", 0)
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(logger))
}

// logWriter writes the log lines of package jsonrpc2 to a slog.Logger.
type logWriter struct {
	log    *slog.Logger
	remote net.Addr
}

var _ io.Writer = (*logWriter)(nil)

// Write implements io.Writer.
func (w *logWriter) Write(p []byte) (int, error) {
	w.log.Warn("peer connection error", "remote", w.remote, "error", string(p[:max(0, len(p)-1)]))
	return len(p), nil
}

// inbound handles the messages of one incoming connection.
type inbound struct {
	server *Server
	remote net.Addr
	close  func()
	mu     sync.Mutex
	// from is the peer's Hello, or nil before it is received.
	from    *Hello
	decoder gossip.Decoder
}

var _ jsonrpc2.Handler = (*inbound)(nil)

// closeWithoutHello closes the connection if no Hello has been received.
func (in *inbound) closeWithoutHello() {
	if in.peerHello() == nil {
		in.server.Log.Warn("peer refused", "remote", in.remote, "error", "no hello within the handshake timeout")
		in.close()
	}
}

func (in *inbound) peerHello() *Hello {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.from
}

// Handle implements jsonrpc2.Handler. It closes the connection after a malformed
// or unexpected message.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := in.dispatch(req)
	if err != nil {
		in.logRefused(req.Method, err)
		if !req.Notif {
			_ = conn.ReplyWithError(ctx, req.ID, rpcError(jsonrpc2.CodeInvalidParams, err))
		}
		in.close()
		return
	}
	if !req.Notif {
		_ = conn.Reply(ctx, req.ID, result)
	}
}

func (in *inbound) logRefused(method string, err error) {
	in.server.Log.Warn("peer message refused", "remote", in.remote, "method", truncate(method), "error", err)
}

// receiveGossip handles the body of a notification with records that the stream has
// decoded. An error ends the connection.
func (in *inbound) receiveGossip(body []byte) error {
	var err error = errNoHello
	if from := in.peerHello(); from != nil {
		err = in.handleGossip(*from, body)
	}
	if err != nil {
		in.logRefused(methodGossip, err)
		return io.EOF // logged already
	}
	return nil
}

// errNoHello means that a peer sent another message before its Hello.
var errNoHello = ErrMessage.New("message before the hello")

func (in *inbound) dispatch(req *jsonrpc2.Request) (any, error) {
	if req.Method == methodHello {
		return in.handleHello(req)
	}
	from := in.peerHello()
	if from == nil {
		return nil, errNoHello
	}
	switch req.Method {
	case methodGossip:
		b, err := parseBody(req.Params)
		if err != nil {
			return nil, err
		}
		return nil, in.handleGossip(*from, b[0])
	case methodPing:
		return in.handlePing(*from, req)
	case methodConfirm:
		return in.handleConfirm(*from, req)
	case methodManifest, methodPart:
		return in.handleValue(*from, req)
	default:
		return nil, ErrMessage.New("unknown method %q", truncate(req.Method))
	}
}

func (in *inbound) handleHello(req *jsonrpc2.Request) (any, error) {
	var from Hello
	if err := decode(req.Params, &from); err != nil {
		return nil, err
	}
	if from.Version != ProtocolVersion {
		return nil, ErrVersion.New("version %d, want %d", from.Version, ProtocolVersion)
	}
	if from.VM == "" || from.Incarnation == "" || from.Region == "" {
		return nil, ErrMessage.New("hello without VM, incarnation or region")
	}
	in.mu.Lock()
	in.from = &from
	in.mu.Unlock()
	in.server.Handler.OnMessage(from, from.Revision)
	return encode(in.server.Handler.Self())
}

func (in *inbound) handleGossip(from Hello, b []byte) error {
	var message Gossip
	if err := decodeBody(body{b}, &message); err != nil {
		return err
	}
	skipped := in.decoder.Skipped()
	records, err := in.decoder.Decode(message.Delta)
	if n := in.decoder.Skipped() - skipped; n > 0 {
		in.server.Log.Warn("records left out: their name or value is too large", "remote", in.remote, "records", n)
	}
	if err != nil {
		return err
	}
	in.server.Handler.OnMessage(from, message.Revision)
	in.server.Handler.Gossip(from, records, message.Complete)
	return nil
}

func (in *inbound) handlePing(from Hello, req *jsonrpc2.Request) (any, error) {
	var message Ping
	if err := decode(req.Params, &message); err != nil {
		return nil, err
	}
	in.server.Handler.OnMessage(from, message.Revision)
	return encode(Ping{Revision: in.server.Handler.Self().Revision})
}

func (in *inbound) handleConfirm(from Hello, req *jsonrpc2.Request) (any, error) {
	var message Ping
	if err := decode(req.Params, &message); err != nil {
		return nil, err
	}
	in.server.Handler.OnMessage(from, message.Revision)
	var resp Confirmation
	if confirmer, ok := in.server.Handler.(Confirmer); ok {
		resp = confirmer.Confirmation()
	}
	return encode(resp)
}

// handleValue handles methodManifest and methodPart.
func (in *inbound) handleValue(from Hello, req *jsonrpc2.Request) (any, error) {
	var request ValueRequest
	if err := decode(req.Params, &request); err != nil {
		return nil, err
	}
	h := in.server.Handler
	h.OnMessage(from, request.Revision)
	resp := ValueAnswer{Revision: h.Self().Revision}
	if req.Method == methodManifest {
		value, ok := h.Manifest()
		resp.Found, resp.Name, resp.ValueRevision, resp.Data = ok, value.Name, value.Revision, value.Data
	} else {
		resp.Data, resp.Found = h.Part(request.Digest)
	}
	return encode(resp)
}

// truncate limits the length of a peer's text in logs and errors.
func truncate(s string) string {
	const maxBytes = 64
	return s[:min(len(s), maxBytes)]
}
