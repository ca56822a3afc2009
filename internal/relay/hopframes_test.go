package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// losingListener accepts connections that lose what is written while lose is set, and deliver
// what is written later.
type losingListener struct {
	net.Listener
	lose *atomic.Bool
}

func (l losingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return losingConn{conn, l.lose}, err
}

type losingConn struct {
	net.Conn
	lose *atomic.Bool
}

func (c losingConn) Write(p []byte) (int, error) {
	if c.lose.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// recordedResponse implements pipeline.Response and keeps the body.
type recordedResponse struct {
	discardResponse
	body strings.Builder
}

func (r *recordedResponse) Write(p []byte) (int, error) { return r.body.Write(p) }

// Guards against ORDER in a stream that another VM sends: what was held up by a cut was lost,
// what was written later arrived over the same connection, and the caller got a stream with
// events missing, or without its last ones.
func TestStreamOfWhichAHopLostAPartIsNotPassedOn(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"}
	for name, c := range map[string]struct {
		lost      func(n int) bool
		delivered bool
		events    int
	}{
		"nothing":     {func(int) bool { return false }, true, 4},
		"first event": {func(n int) bool { return n == 0 }, false, 0},
		"in between":  {func(n int) bool { return n == 1 || n == 2 }, false, 1},
		"the last":    {func(n int) bool { return n == 3 }, false, 3},
		"the end":     {func(n int) bool { return n == 4 }, false, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other := hopTransaction(2)
			var lose atomic.Bool
			server := httptest.NewUnstartedServer(withCancels(func(w http.ResponseWriter, hr *http.Request) {
				req, err := other.readHop(w, hr, other.Memory.Account())
				if err != nil {
					t.Errorf("hop: %v", err)
					return
				}
				out := NewWriter(w)
				out.acceptsFrames = req.Frames
				out.Start(pipeline.Head{Status: http.StatusOK, Header: http.Header{headerRan: {"1"}, "Content-Type": {"text/event-stream"}}})
				out.Flush()
				for n, event := range events {
					lose.Store(c.lost(n))
					_, _ = out.Write([]byte(event))
					out.Flush()
				}
				lose.Store(c.lost(len(events)))
				other.finish(out, req.ID)
				lose.Store(false)
				if c.lost(len(events)) {
					panic(http.ErrAbortHandler)
				}
			}))
			server.Listener = losingListener{server.Listener, &lose}
			server.Start()
			defer server.Close()

			x := hopTransaction(2)
			got := &recordedResponse{}
			x.w = got
			x.Streams = newStreams(clock.Instant(time.Hour), func(gossip.Kind, string, []byte) {})
			x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, oneVM{})
			out := x.sendToVM(t.Context(), balance.Plan{Region: "west"}, "vm-2", server.Listener.Addr().String())
			is.Equal(got.body.String(), strings.Join(events[:c.events], ""))
			is.Equal(out.delivered, c.delivered)
			is.Equal(out.broke, !c.delivered) // goes on at another server
		})
	}
}

// Guards against a body whose frames are split by the reads, and whose offsets pass 2^32.
func TestFramesAreReadHoweverTheyArrive(t *testing.T) {
	is := is.New(t)
	const start = 1<<32 - 5
	first, second, end := frameHeader(start, 4), frameHeader(start+4, 3), frameHeader(2, 0)
	data := string(first[:]) + "abcd" + string(second[:]) + "efg" + string(end[:])
	for size := 1; size <= len(data); size++ {
		r := &frameReader{ReadCloser: io.NopCloser(iotest.OneByteReader(strings.NewReader(data))), offset: start}
		if size > 1 {
			r.ReadCloser = io.NopCloser(strings.NewReader(data))
		}
		var got []byte
		p := make([]byte, size)
		for {
			n, err := r.Read(p)
			got = append(got, p[:n]...)
			if err != nil {
				is.Equal(err, io.EOF)
				break
			}
		}
		is.Equal(string(got), "abcdefg")
	}
}
