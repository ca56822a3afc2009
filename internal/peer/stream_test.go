package peer

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// recordedConn keeps what is written and reads what is given.
type recordedConn struct {
	io.Reader
	bytes.Buffer
}

func (c *recordedConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }
func (*recordedConn) Close() error                 { return nil }

// gossipOf returns the body of a notification with n records.
func gossipOf(t testing.TB, n int) []byte {
	t.Helper()
	store := gossip.NewStore()
	for i := range n {
		store.Write(gossip.Key{Kind: gossip.KindHeartbeat, Name: string(rune('a' + i))}, bytes.Repeat([]byte{byte(i)}, 100))
	}
	delta, _ := gossip.NewSession(store, nil).Next()
	b, err := encode(Gossip{Revision: 6, Delta: delta, Complete: true})
	if err != nil {
		t.Fatal(err)
	}
	return b[0]
}

// libraryFrame returns the frame of a notification with records as package jsonrpc2
// encodes it.
func libraryFrame(t testing.TB, b []byte) []byte {
	t.Helper()
	request := &jsonrpc2.Request{Method: methodGossip, Notif: true}
	if err := request.SetParams(body{b}); err != nil {
		t.Fatal(err)
	}
	c := &recordedConn{Reader: bytes.NewReader(nil)}
	if err := newStream(c, nil).WriteObject(request); err != nil {
		t.Fatal(err)
	}
	return c.Bytes()
}

// Guards against VMs of an earlier build that can't read the records of this one: what the
// stream encodes itself is byte for byte what package jsonrpc2 encodes.
func TestGossipHasTheFormOfTheLibrary(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, 2, 3, 20} {
		b := gossipOf(t, n)
		c := &recordedConn{Reader: bytes.NewReader(nil)}
		is.NoErr(newStream(c, nil).writeGossip(b, false))
		is.Equal(c.Bytes(), libraryFrame(t, b))
	}
}

// Guards against records that are lost or reordered because their notification has another
// form than that of package jsonrpc2.
func TestGossipIsReadInAnyForm(t *testing.T) {
	is := is.New(t)
	var logged logBuffer
	r := &recorder{}
	conn, err := net.Dial("tcp", serve(t, r, logged.logger()))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	text := func(b []byte) string { return string(libraryFrame(t, b)[2:]) } // 2 bytes of length
	b := gossipOf(t, 2)
	_, err = conn.Write(request("hello", false, self))
	is.NoErr(err)
	for _, form := range []string{text(b), " " + text(b), text(b) + "\n", `{"method":"g","jsonrpc":"2.0",` + text(b)[len(`{"jsonrpc":"2.0","method":"g",`):]} {
		_, err = conn.Write(frame(form))
		is.NoErr(err)
	}
	eventually(t, "records of all forms", func() bool { return r.recordCount() == 8 })
	_, err = conn.Write(frame(string(append([]byte{rawGossip}, b...))))
	is.NoErr(err)
	eventually(t, "raw records", func() bool { return r.recordCount() == 10 })
	is.Equal(logged.String(), "")
}

// Guards against a peer whose records count before it has said who it is, and against a
// body that isn't read whole.
func TestMalformedGossipClosesConnection(t *testing.T) {
	for name, frames := range map[string][]byte{
		"before the hello":      libraryFrame(t, gossipOf(t, 1)),
		"not base64":            append(request("hello", false, self), frame(gossipStart+"!!!!"+gossipEnd)...),
		"raw, before the hello": frame(string(append([]byte{rawGossip}, gossipOf(t, 1)...))),
		"raw, not msgpack":      append(request("hello", false, self), frame("\x00\xc1")...),
		"raw, no body":          append(request("hello", false, self), frame("\x00")...),
		"not msgpack":           append(request("hello", false, self), frame(gossipStart+"wQ=="+gossipEnd)...),
		"no body":               append(request("hello", false, self), frame(gossipStart+gossipEnd)...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var logged logBuffer
			r := &recorder{}
			conn, err := net.Dial("tcp", serve(t, r, logged.logger()))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(frames)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, bufio.NewReader(conn)) // until the server closes
			is.Equal(r.recordCount(), 0)
			eventually(t, "the log line", func() bool { return logged.String() != "" })
		})
	}
}

func BenchmarkGossip(b *testing.B) {
	text := gossipOf(b, 20)
	frame := libraryFrame(b, text)
	b.Run("write", func(b *testing.B) {
		c := &recordedConn{Reader: bytes.NewReader(nil)}
		s := newStream(c, nil)
		for b.Loop() {
			c.Reset()
			if err := s.writeGossip(text, true); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		in := &inbound{server: &Server{Handler: discard{}, Log: slog.New(slog.DiscardHandler)}, from: &self}
		source := bytes.NewReader(nil)
		s := newStream(&recordedConn{Reader: source}, in.receiveGossip)
		for b.Loop() {
			in.decoder = gossip.Decoder{}
			source.Reset(frame)
			if err := s.ReadObject(nil); err != io.EOF {
				b.Fatal(err)
			}
		}
	})
}

// discard is a Handler that drops records.
type discard struct{ *recorder }

func (discard) OnMessage(Hello, uint64)             {}
func (discard) Gossip(Hello, []gossip.Record, bool) {}
