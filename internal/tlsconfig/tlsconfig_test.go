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

type quiet struct{}

func (quiet) Self() peer.Hello {
	return peer.Hello{Version: peer.ProtocolVersion, VM: "b", Incarnation: "1", Region: "r"}
}
func (quiet) OnMessage(peer.Hello, uint64)              {}
func (quiet) Gossip(peer.Hello, []gossip.Record, bool)  {}
func (quiet) Manifest() (v published.Value, found bool) { return }
func (quiet) Part(string) (data []byte, found bool)     { return }

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *safeBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// bench is a control server with mutual TLS.
type bench struct {
	address string
	logged  safeBuffer
}

func newBench(t *testing.T, server *tls.Config) *bench {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{address: l.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s := &peer.Server{Handler: quiet{}, TLS: server, Log: slog.New(slog.NewTextHandler(&b.logged, nil))}
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return b
}

func (b *bench) open(t *testing.T, client *tls.Config) error {
	d := &peer.Dialer{TLS: client, Log: slog.New(slog.DiscardHandler)}
	c, err := d.Open(t.Context(), b.address, quiet{}.Self())
	if err == nil {
		c.Close()
	}
	return err
}

func TestWrongCertificatesAreRefusedAndLogged(t *testing.T) {
	is := is.New(t)
	ours, theirs := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server, client, err := Load(ours.Issue(t, t.TempDir()))
	is.NoErr(err)
	otherServer, otherClient, err := Load(theirs.Issue(t, t.TempDir()))
	is.NoErr(err)

	b := newBench(t, server)
	is.NoErr(b.open(t, client))
	is.True(b.open(t, otherClient) != nil)                           // signed by another authority
	is.True(b.open(t, &tls.Config{InsecureSkipVerify: true}) != nil) // no certificate
	is.True(b.open(t, nil) != nil)                                   // no TLS
	for start := time.Now(); strings.Count(b.logged.text(), "peer refused") < 3; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("not logged: " + b.logged.text())
		}
	}
	is.True(newBench(t, otherServer).open(t, client) != nil) // a server that isn't ours
}

func TestChangedFilesAreUsedAndBrokenOnesAreNot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	old, next := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	cert, key, ca := old.Issue(t, dir)
	server, oldClient, err := Load(cert, key, ca)
	is.NoErr(err)
	_, client, err := Load(next.Issue(t, t.TempDir()))
	is.NoErr(err)
	b := newBench(t, server)
	is.True(b.open(t, client) != nil)

	is.NoErr(os.WriteFile(cert, []byte("torn"), 0o600))
	is.NoErr(b.open(t, oldClient)) // the old files stay in force
	next.Issue(t, dir)
	for start := time.Now(); b.open(t, client) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("the new files aren't used")
		}
	}
	_, _, err = Load(cert, key, filepath.Join(dir, "absent"))
	is.True(err != nil)
}
