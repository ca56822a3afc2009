package peer

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// recorder is a Handler that records the revisions and records it receives.
type recorder struct {
	mu        sync.Mutex
	revisions []uint64
	records   []gossip.Record
}

func (r *recorder) Self() Hello {
	return Hello{Version: ProtocolVersion, VM: "b", Incarnation: "b1", Region: "busan", Revision: 7}
}

func (r *recorder) OnMessage(_ Hello, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revisions = append(r.revisions, revision)
}

func (r *recorder) Gossip(_ Hello, records []gossip.Record, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, records...)
}

func (r *recorder) Manifest() (published.Value, bool) {
	return published.Value{Name: "manifest", Revision: 7, Data: bytes.Repeat([]byte{1}, 1<<20)}, true
}

func (r *recorder) Part(string) ([]byte, bool) { return nil, false }

func (r *recorder) recordCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// logBuffer is a concurrency-safe buffer of log output.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func (b *logBuffer) logger() *slog.Logger { return slog.New(slog.NewTextHandler(b, nil)) }

var self = Hello{Version: ProtocolVersion, VM: "a", Incarnation: "a1", Region: "jeju", Revision: 5}

// serve starts a server on loopback and returns its address.
func serve(t testing.TB, h Handler, l *slog.Logger) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&Server{Handler: h, Log: l}).Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func TestMessagesReportRevisionsAndLargestValueFits(t *testing.T) {
	is := is.New(t)
	var logged logBuffer
	r := &recorder{}
	address := serve(t, r, logged.logger())
	client, err := (&Dialer{Log: logged.logger()}).Open(t.Context(), address, self)
	is.NoErr(err)
	defer client.Close()
	is.Equal(client.Remote, r.Self())
	store := gossip.NewStore()
	store.Write(gossip.Key{Kind: gossip.KindHeartbeat, Name: "a"}, []byte{1})
	delta, _ := gossip.NewSession(store, nil).Next()
	is.NoErr(client.Gossip(6, delta, true))
	value, err := client.Manifest(t.Context(), 7)
	is.NoErr(err)
	is.Equal(len(value.Data), 1<<20)
	is.Equal(r.recordCount(), 1)
	is.Equal(r.revisions, []uint64{5, 6, 7})
	_, err = client.Part(t.Context(), 7, "absent")
	is.True(errorx.IsOfType(err, published.ErrAbsent))
}

// frame returns text as one frame.
func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

// request returns the frame of a call of method, or of a notification.
func request(method string, notify bool, message any) []byte {
	b, _ := encode(message)
	id := `,"id":1`
	if notify {
		id = ""
	}
	return frame(fmt.Sprintf(`{"jsonrpc":"2.0","method":%q,"params":["%s"]%s}`, method, base64.StdEncoding.EncodeToString(b[0]), id))
}

func TestMalformedMessageIsLoggedAndClosesConnection(t *testing.T) {
	hello := request(methodHello, false, self)
	wrongVersion := self
	wrongVersion.Version = 99
	unknownName := Gossip{Delta: gossip.Delta{Records: []gossip.Item{{Kind: 1, Name: 5}}}}
	cases := map[string][]byte{
		"is not between 1 and":         binary.AppendUvarint(nil, MaxFrameBytes+1),
		"truncated after 3 of 100":     append(binary.AppendUvarint(nil, 100), "abc"...),
		"frame length:":                bytes.Repeat([]byte{0xff}, 20),
		"frame of 7 bytes":             frame("no json"),
		"before the hello":             request(methodGossip, true, Gossip{}),
		"version 99":                   request(methodHello, false, wrongVersion),
		"without VM":                   request(methodHello, false, Hello{Version: ProtocolVersion}),
		"unknown method":               append(bytes.Clone(hello), request("consensus", false, self)...),
		"name number 5":                append(bytes.Clone(hello), request(methodGossip, true, unknownName)...),
		"without a body":               append(bytes.Clone(hello), frame(`{"jsonrpc":"2.0","method":"g"}`)...),
		"illegal base64":               append(bytes.Clone(hello), frame(`{"jsonrpc":"2.0","method":"g","params":["?"]}`)...),
		"gossip.malformed":             append(bytes.Clone(hello), frame(`{"jsonrpc":"2.0","method":"g","params":["//8="]}`)...),
		"truncated after 0 of 1000000": binary.AppendUvarint(nil, 1_000_000),
	}
	for want, data := range cases {
		t.Run(want, func(t *testing.T) {
			var logged logBuffer
			address := serve(t, &recorder{}, logged.logger())
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(data); err != nil {
				t.Fatal(err)
			}
			if strings.HasPrefix(want, "truncated") {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err = io.Copy(io.Discard, conn)
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Fatal("the server did not close the connection")
			}
			eventually(t, "log line with "+want, func() bool { return strings.Contains(logged.String(), want) })
		})
	}
}

// The server survives any bytes from a peer and its handler returns after the
// peer has closed the connection.
func FuzzServerConnection(f *testing.F) {
	hello := request(methodHello, false, self)
	store := gossip.NewStore()
	store.Write(gossip.Key{Kind: gossip.KindLoad, Name: "engine"}, []byte{0x93, 1, 2, 3})
	delta, _ := gossip.NewSession(store, nil).Next()
	f.Add(hello)
	f.Add(append(bytes.Clone(hello), request(methodGossip, true, Gossip{Revision: 3, Delta: delta})...))
	f.Add(append(bytes.Clone(hello), request(methodPart, false, ValueRequest{Digest: "d"})...))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"result":["AA=="]}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"error":null}`))
	f.Add(frame(`[]`))
	f.Add(frame(`null`))
	f.Add(binary.AppendUvarint(nil, MaxFrameBytes))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		var server sync.WaitGroup
		server.Go(func() {
			(&Server{Handler: &recorder{}, Log: slog.New(slog.DiscardHandler)}).ServeConn(context.Background(), far)
		})
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_, _ = near.Write(data)
		_ = near.Close()
		server.Wait()
	})
}
