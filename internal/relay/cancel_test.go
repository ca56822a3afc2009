package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
)

// silentClose is a connection whose close doesn't reach the other end.
type silentClose struct{ net.Conn }

func (c silentClose) Close() error { return c.SetDeadline(time.Unix(1, 0)) }

// silentDialer opens a first connection that falls silent when it is closed, and then sound
// ones.
type silentDialer struct{ dials int }

func (d *silentDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if d.dials++; d.dials == 1 && err == nil {
		return silentClose{c}, nil
	}
	return c, err
}

// Guards against GONE (findings on 480771a): a request went on at a server after its caller
// had left, as the connection by which another VM had sent it had fallen silent.
func TestHopIsCancelledThoughItsConnectionIsSilent(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(1)
	x.GatewayPool.Dialer = &silentDialer{}
	begun, ended := make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle(PathCancelHop, x.CancelHopHandler())
	mux.HandleFunc(PathHop, func(w http.ResponseWriter, hr *http.Request) {
		req, err := x.readHop(w, hr, nil)
		is.NoErr(err)
		ctx, end := x.accepted.begin(hr.Context(), req.Hop)
		defer end()
		close(begun)
		<-ctx.Done()
		close(ended)
	})
	server := httptest.NewServer(mux)
	defer server.CloseClientConnections()
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-begun; leave() }()
	out := x.sendToVM(ctx, balance.Plan{Region: "west"}, "vm-2", server.Listener.Addr().String())
	is.True(!out.delivered)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond): // the time that the operators allow
		t.Fatal("the hop goes on after its caller has left")
	}
}

// Guards against calls for hops that have ended, or that this VM doesn't know.
func TestCancelOfUnknownHopDoesNothing(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(1)
	ctx, end := x.accepted.begin(t.Context(), "vm-2/1/1")
	for _, id := range []string{"", "vm-2/1/2", "vm-2/1/1"} {
		is.NoErr(ctx.Err())
		hr := httptest.NewRequest(http.MethodPost, PathCancelHop, nil)
		hr.Header.Set(headerHopID, id)
		w := httptest.NewRecorder()
		x.CancelHopHandler().ServeHTTP(w, hr)
		is.Equal(w.Code, http.StatusNoContent)
		_, _ = io.Copy(io.Discard, w.Body)
	}
	is.True(ctx.Err() != nil)
	end()
	is.Equal(len(x.accepted.cancels), 0)
}
