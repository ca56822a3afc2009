package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// Guards against TWICE in a stream that goes on elsewhere after a hop lost a part of it: the
// connection of the hop had fallen silent, so that its close told the other VM nothing, and the
// server there worked on.
func TestHopThatIsLeftForALostPartEndsThoughItsConnectionIsSilent(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(3)
	x.GatewayPool.Dialer = &silentDialer{}
	x.Streams = newStreams(clock.Instant(time.Hour), func(gossip.Kind, string, []byte) {})
	x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, oneVM{})
	ended := make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle(PathCancelHop, x.CancelHopHandler())
	mux.HandleFunc(PathHop, func(w http.ResponseWriter, hr *http.Request) {
		req, err := x.readHop(w, hr, nil)
		is.NoErr(err)
		ctx, end := x.accepted.begin(hr.Context(), req.Hop)
		defer end()
		w.Header().Set(headerRan, "1")
		w.Header().Set(headerFrames, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		const event = "id: 1\ndata: a\n\n"
		first, later := frameHeader(0, uint32(len(event))), frameHeader(uint32(3*len(event)), uint32(len(event)))
		_, _ = io.WriteString(w, string(first[:])+event+string(later[:])+event)
		_ = http.NewResponseController(w).Flush()
		<-ctx.Done()
		close(ended)
	})
	server := httptest.NewServer(mux)
	defer server.CloseClientConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	out := x.sendToVM(ctx, balance.Plan{Region: "west"}, "vm-2", server.Listener.Addr().String())
	is.True(out.broke) // it goes on elsewhere
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond): // the time that the operators allow
		t.Fatal("the hop goes on beside the one that follows it")
	}
}
