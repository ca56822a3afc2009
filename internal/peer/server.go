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
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// Limits on connections.
const (
	// MaxConnections bounds the connections that a server holds.
	MaxConnections = 512
	// handshakeTimeout bounds the TLS handshake and the hello.
	handshakeTimeout = 3 * time.Second
	// idleTimeout closes a connection on which nothing arrives.
	idleTimeout = 30 * time.Second
	// pingTimeout bounds the wait for the answer to a ping.
	pingTimeout = 3 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = 3 * time.Second
)

// Handler answers the messages of peers. Its methods are called from several
// goroutines; those of one connection in the order of its messages.
type Handler interface {
	// Self returns the hello of this process.
	Self() Hello
	// OnMessage is called for each message, before it is handled.
	OnMessage(from Hello, revision uint64)
	// Gossip takes in a neighbour's records. Complete says that these were the
	// last that the neighbour has at present.
	Gossip(from Hello, records []gossip.Record, complete bool)
	// Manifest and Part return what this process has of the configuration.
	Manifest() (published.Value, bool)
	Part(digest string) ([]byte, bool)
}

// Confirmer is a Handler that says how fresh the configuration in force is.
type Confirmer interface {
	Confirmation() Confirmation
}

// Server accepts the connections of peers.
type Server struct {
	Handler Handler
	// TLS is nil where no keys are set.
	TLS *tls.Config
	Log *slog.Logger
	// Meter counts bytes; nil counts nothing.
	Meter *Meter
}

// Serve accepts connections on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, MaxConnections)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
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
	metered := &meteredConn{Conn: conn, meter: s.Meter, idle: idleTimeout}
	var stream net.Conn = metered
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
		stream = secure
	}
	in := &inbound{server: s, remote: remote, close: func() { _ = conn.Close() }}
	guard := time.AfterFunc(handshakeTimeout, in.requireHello)
	defer guard.Stop()
	rpc := newConn(ctx, stream, in, s.Log, remote)
	<-rpc.DisconnectNotify()
}

// newConn starts jsonrpc2 on a connection; protocol errors are logged.
func newConn(ctx context.Context, conn io.ReadWriteCloser, h jsonrpc2.Handler, l *slog.Logger, remote net.Addr) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, frameCodec{})
	logger := log.New(&lineLogger{log: l, remote: remote}, "", 0)
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(logger))
}

// lineLogger turns the library's messages into log events.
type lineLogger struct {
	log    *slog.Logger
	remote net.Addr
}

var _ io.Writer = (*lineLogger)(nil)

// Write implements io.Writer.
func (w *lineLogger) Write(p []byte) (int, error) {
	w.log.Warn("peer connection", "remote", w.remote, "error", string(p[:max(0, len(p)-1)]))
	return len(p), nil
}

// inbound handles the messages of one connection.
type inbound struct {
	server  *Server
	remote  net.Addr
	close   func()
	mu      sync.Mutex
	from    *Hello
	decoder gossip.Decoder
}

var _ jsonrpc2.Handler = (*inbound)(nil)

func (in *inbound) requireHello() {
	if in.hello() == nil {
		in.server.Log.Warn("peer refused", "remote", in.remote, "error", "no hello in time")
		in.close()
	}
}

func (in *inbound) hello() *Hello {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.from
}

// Handle implements jsonrpc2.Handler. A malformed message ends the connection.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := in.dispatch(req)
	if err != nil {
		in.server.Log.Warn("peer message refused", "remote", in.remote, "method", clip(req.Method), "error", err)
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

func (in *inbound) dispatch(req *jsonrpc2.Request) (any, error) {
	if req.Method == methodHello {
		return in.greet(req)
	}
	from := in.hello()
	if from == nil {
		return nil, ErrMessage.New("message before the hello")
	}
	switch req.Method {
	case methodGossip:
		return nil, in.gossip(*from, req)
	case methodPing:
		return in.ping(*from, req)
	case methodConfirm:
		return in.confirm(*from, req)
	case methodManifest, methodPart:
		return in.value(*from, req)
	default:
		return nil, ErrMessage.New("unknown method %q", clip(req.Method))
	}
}

func (in *inbound) greet(req *jsonrpc2.Request) (any, error) {
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

func (in *inbound) gossip(from Hello, req *jsonrpc2.Request) error {
	var message Gossip
	if err := decode(req.Params, &message); err != nil {
		return err
	}
	records, err := in.decoder.Decode(message.Delta)
	if err != nil {
		return err
	}
	in.server.Handler.OnMessage(from, message.Revision)
	in.server.Handler.Gossip(from, records, message.Complete)
	return nil
}

func (in *inbound) ping(from Hello, req *jsonrpc2.Request) (any, error) {
	var message Ping
	if err := decode(req.Params, &message); err != nil {
		return nil, err
	}
	in.server.Handler.OnMessage(from, message.Revision)
	return encode(Ping{Revision: in.server.Handler.Self().Revision})
}

func (in *inbound) confirm(from Hello, req *jsonrpc2.Request) (any, error) {
	var message Ping
	if err := decode(req.Params, &message); err != nil {
		return nil, err
	}
	in.server.Handler.OnMessage(from, message.Revision)
	var answer Confirmation
	if confirmer, ok := in.server.Handler.(Confirmer); ok {
		answer = confirmer.Confirmation()
	}
	return encode(answer)
}

func (in *inbound) value(from Hello, req *jsonrpc2.Request) (any, error) {
	var request ValueRequest
	if err := decode(req.Params, &request); err != nil {
		return nil, err
	}
	h := in.server.Handler
	h.OnMessage(from, request.Revision)
	answer := ValueAnswer{Revision: h.Self().Revision}
	if req.Method == methodManifest {
		value, ok := h.Manifest()
		answer.Found, answer.Name, answer.ValueRevision, answer.Data = ok, value.Name, value.Revision, value.Data
	} else {
		answer.Data, answer.Found = h.Part(request.Digest)
	}
	return encode(answer)
}

// clip bounds a peer's text in logs.
func clip(s string) string {
	const most = 64
	return s[:min(len(s), most)]
}
