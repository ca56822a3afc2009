package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// Dialer opens control connections to peers.
type Dialer struct {
	// TLS is nil if no keys are configured; connections are plain TCP then.
	TLS *tls.Config
	Log *slog.Logger
	// Meter counts the bytes of the connections, if it isn't nil.
	Meter *Meter
	// Dial opens a connection. If it is nil, a TCP connection is opened.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client is an outgoing connection to one peer.
type Client struct {
	// Remote is the peer's Hello.
	Remote Hello
	// RawRecords means that the peer reads records without base64. It may not be changed
	// during a call of Gossip.
	RawRecords bool

	rpc    *jsonrpc2.Conn
	stream *stream
}

// Open connects to address and exchanges Hello messages. Its error is
// ErrUnreachable or ErrVersion.
func (d *Dialer) Open(ctx context.Context, address string, self Hello) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := d.connect(ctx, address)
	if err != nil {
		return nil, ErrUnreachable.New("connection to %s: %v", address, err)
	}
	stream := newStream(conn, nil)
	rpc := newConn(context.Background(), stream, rejectCalls{}, d.Log, conn.RemoteAddr())
	client := &Client{rpc: rpc, stream: stream}
	if err := client.call(ctx, methodHello, self, &client.Remote); err != nil {
		_ = rpc.Close()
		return nil, ErrUnreachable.New("hello to %s: %v", address, err)
	}
	if client.Remote.Version != ProtocolVersion {
		_ = rpc.Close()
		return nil, ErrVersion.New("%s uses protocol version %d, want %d", address, client.Remote.Version, ProtocolVersion)
	}
	return client, nil
}

// connect opens the connection and completes the TLS handshake.
func (d *Dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	dial := d.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := &meteredConn{Conn: raw, meter: d.Meter}
	if d.TLS == nil {
		return conn, nil
	}
	secure := tls.Client(conn, d.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		d.Log.Warn("peer refused", "remote", address, "error", err)
		return nil, err
	}
	return secure, nil
}

// Gossip sends changed records without waiting for a response. Complete is true if
// no further changes are pending.
func (c *Client) Gossip(revision uint64, delta gossip.Delta, complete bool) error {
	b, err := encode(Gossip{Revision: revision, Delta: delta, Complete: complete})
	if err != nil {
		return err
	}
	if err := c.stream.writeGossip(b[0], c.RawRecords); err != nil {
		return ErrUnreachable.New("gossip to %s: %v", c.Remote.VM, err)
	}
	return nil
}

// Ping checks that the peer responds and returns the peer's configuration
// revision. On an error, which is ErrUnreachable or, for a malformed response,
// ErrMessage, it closes the connection.
func (c *Client) Ping(ctx context.Context, revision uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var resp Ping
	if err := c.call(ctx, methodPing, Ping{Revision: revision}, &resp); err != nil {
		c.Close()
		return 0, err
	}
	return resp.Revision, nil
}

// Manifest returns the peer's configuration manifest, or published.ErrAbsent if
// the peer has none.
func (c *Client) Manifest(ctx context.Context, revision uint64) (published.Value, error) {
	var resp ValueAnswer
	if err := c.call(ctx, methodManifest, ValueRequest{Revision: revision}, &resp); err != nil {
		return published.Value{}, err
	}
	if !resp.Found {
		return published.Value{}, published.ErrAbsent.New("%s has no manifest", c.Remote.VM)
	}
	return published.Value{Name: resp.Name, Revision: resp.ValueRevision, Data: resp.Data}, nil
}

// Part returns the part of the configuration with the digest, or
// published.ErrAbsent if the peer doesn't have it.
func (c *Client) Part(ctx context.Context, revision uint64, digest string) ([]byte, error) {
	var resp ValueAnswer
	if err := c.call(ctx, methodPart, ValueRequest{Revision: revision, Digest: digest}, &resp); err != nil {
		return nil, err
	}
	if !resp.Found {
		return nil, published.ErrAbsent.New("%s has no configuration part %s", c.Remote.VM, digest)
	}
	return resp.Data, nil
}

// Confirmation returns how long ago the peer's configuration was last confirmed
// as the newest.
func (c *Client) Confirmation(ctx context.Context, revision uint64) (Confirmation, error) {
	var resp Confirmation
	err := c.call(ctx, methodConfirm, Ping{Revision: revision}, &resp)
	return resp, err
}

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	b, err := encode(params)
	if err != nil {
		return err
	}
	var resp body
	if err := c.rpc.Call(ctx, method, b, &resp); err != nil {
		return ErrUnreachable.New("%s: %v", method, err)
	}
	return decodeBody(resp, result)
}

// Done returns a channel that is closed when the connection has ended.
func (c *Client) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close closes the connection.
func (c *Client) Close() { _ = c.rpc.Close() }

// rejectCalls is the handler of outgoing connections. It rejects the peer's
// calls: only the side that opened a connection makes calls on it.
type rejectCalls struct{}

var _ jsonrpc2.Handler = rejectCalls{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	err := ErrMessage.New("calls go the other way")
	_ = conn.ReplyWithError(ctx, req.ID, rpcError(jsonrpc2.CodeMethodNotFound, err))
}
