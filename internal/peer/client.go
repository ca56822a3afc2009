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

// Dialer opens connections to peers.
type Dialer struct {
	// TLS is nil where no keys are set.
	TLS   *tls.Config
	Log   *slog.Logger
	Meter *Meter
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client is a connection to one peer.
type Client struct {
	// Remote is the peer's hello.
	Remote Hello
	rpc    *jsonrpc2.Conn
}

// Open connects to address and says hello. Its error is ErrUnreachable or
// ErrVersion.
func (d *Dialer) Open(ctx context.Context, address string, self Hello) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := d.connect(ctx, address)
	if err != nil {
		return nil, ErrUnreachable.New("connection to %s: %v", address, err)
	}
	rpc := newConn(context.Background(), conn, refuser{}, d.Log, conn.RemoteAddr())
	client := &Client{rpc: rpc}
	if err := client.call(ctx, methodHello, self, &client.Remote); err != nil {
		_ = rpc.Close()
		return nil, ErrUnreachable.New("hello to %s: %v", address, err)
	}
	if client.Remote.Version != ProtocolVersion {
		_ = rpc.Close()
		return nil, ErrVersion.New("%s speaks version %d, want %d", address, client.Remote.Version, ProtocolVersion)
	}
	return client, nil
}

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

// Gossip sends changes without waiting for an answer. Complete says that there
// are no more at present.
func (c *Client) Gossip(ctx context.Context, revision uint64, delta gossip.Delta, complete bool) error {
	b, err := encode(Gossip{Revision: revision, Delta: delta, Complete: complete})
	if err != nil {
		return err
	}
	if err := c.rpc.Notify(ctx, methodGossip, b); err != nil {
		return ErrUnreachable.New("gossip to %s: %v", c.Remote.VM, err)
	}
	return nil
}

// Ping asks for an answer and returns the peer's configuration revision. Its
// error is ErrUnreachable; the connection is closed then.
func (c *Client) Ping(ctx context.Context, revision uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var answer Ping
	if err := c.call(ctx, methodPing, Ping{Revision: revision}, &answer); err != nil {
		c.Close()
		return 0, err
	}
	return answer.Revision, nil
}

// Manifest asks for the peer's manifest. ErrAbsent of package published says
// that it has none.
func (c *Client) Manifest(ctx context.Context, revision uint64) (published.Value, error) {
	var answer ValueAnswer
	if err := c.call(ctx, methodManifest, ValueRequest{Revision: revision}, &answer); err != nil {
		return published.Value{}, err
	}
	if !answer.Found {
		return published.Value{}, published.ErrAbsent.New("%s has no manifest", c.Remote.VM)
	}
	return published.Value{Name: answer.Name, Revision: answer.ValueRevision, Data: answer.Data}, nil
}

// Part asks for a part of the configuration.
func (c *Client) Part(ctx context.Context, revision uint64, digest string) ([]byte, error) {
	var answer ValueAnswer
	if err := c.call(ctx, methodPart, ValueRequest{Revision: revision, Digest: digest}, &answer); err != nil {
		return nil, err
	}
	if !answer.Found {
		return nil, published.ErrAbsent.New("%s has no part %s", c.Remote.VM, digest)
	}
	return answer.Data, nil
}

// Confirmation asks how fresh the peer's configuration is.
func (c *Client) Confirmation(ctx context.Context, revision uint64) (Confirmation, error) {
	var answer Confirmation
	err := c.call(ctx, methodConfirm, Ping{Revision: revision}, &answer)
	return answer, err
}

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	b, err := encode(params)
	if err != nil {
		return err
	}
	var answer body
	if err := c.rpc.Call(ctx, method, b, &answer); err != nil {
		return ErrUnreachable.New("%s: %v", method, err)
	}
	return unpack(answer, result)
}

// Done is closed when the connection has ended.
func (c *Client) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection.
func (c *Client) Close() { _ = c.rpc.Close() }

// refuser answers calls on a connection that this process opened.
type refuser struct{}

var _ jsonrpc2.Handler = refuser{}

// Handle implements jsonrpc2.Handler.
func (refuser) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	err := ErrMessage.New("calls go the other way")
	_ = conn.ReplyWithError(ctx, req.ID, rpcError(jsonrpc2.CodeMethodNotFound, err))
}
