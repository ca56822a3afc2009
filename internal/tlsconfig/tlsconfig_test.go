package tlsconfig

import (
	"bytes"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/tlsconfig/tlstest"
)

// noopHandler is a peer handler without published configuration.
type noopHandler struct{}

func (noopHandler) Self() peer.Hello {
	return peer.Hello{Version: peer.ProtocolVersion, VM: "b", Incarnation: "1", Region: "r"}
}
func (noopHandler) OnMessage(peer.Hello, uint64)              {}
func (noopHandler) Gossip(peer.Hello, []gossip.Record, bool)  {}
func (noopHandler) Manifest() (v published.Value, found bool) { return }
func (noopHandler) Part(string) (data []byte, found bool)     { return }

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// peerServer is a peer server with mutual TLS.
type peerServer struct {
	address string
	logged  syncBuffer
}

func startPeerServer(t *testing.T, config *tls.Config) *peerServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &peerServer{address: l.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := &peer.Server{Handler: noopHandler{}, TLS: config, Log: slog.New(slog.NewTextHandler(&started.logged, nil))}
	go func() {
		defer close(done)
		_ = server.Serve(ctx, l)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return started
}

func (s *peerServer) connect(t *testing.T, client *tls.Config) error {
	d := &peer.Dialer{TLS: client, Log: slog.New(slog.DiscardHandler)}
	c, err := d.Open(t.Context(), s.address, noopHandler{}.Self())
	if err == nil {
		c.Close()
	}
	return err
}

func TestUntrustedPeersAreRejectedAndLogged(t *testing.T) {
	is := is.New(t)
	ours, theirs := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server, client, err := Load(ours.Issue(t, t.TempDir()))
	is.NoErr(err)
	otherServer, otherClient, err := Load(theirs.Issue(t, t.TempDir()))
	is.NoErr(err)

	listener := startPeerServer(t, server)
	is.NoErr(listener.connect(t, client))
	is.True(listener.connect(t, otherClient) != nil)                           // certificate of another authority
	is.True(listener.connect(t, &tls.Config{InsecureSkipVerify: true}) != nil) // no certificate
	is.True(listener.connect(t, nil) != nil)                                   // no TLS
	for start := time.Now(); strings.Count(listener.logged.text(), "peer refused") < 3; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("fewer than 3 rejections logged: " + listener.logged.text())
		}
	}
	is.True(startPeerServer(t, otherServer).connect(t, client) != nil) // server certificate of another authority
}

func TestChangedFilesAreReloadedUnlessInvalid(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	old, next := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	cert, key, ca := old.Issue(t, dir)
	server, oldClient, err := Load(cert, key, ca)
	is.NoErr(err)
	_, client, err := Load(next.Issue(t, t.TempDir()))
	is.NoErr(err)
	listener := startPeerServer(t, server)
	is.True(listener.connect(t, client) != nil)

	is.NoErr(os.WriteFile(cert, []byte("torn"), 0o600))
	is.NoErr(listener.connect(t, oldClient)) // the previous files stay in use
	next.Issue(t, dir)
	for start := time.Now(); listener.connect(t, client) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("the new files are not in use after 10 s")
		}
	}
	_, _, err = Load(cert, key, filepath.Join(dir, "absent"))
	is.True(err != nil)
}
