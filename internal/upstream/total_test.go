package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

// Guards against connections to servers and VMs whose number only the descriptors bound: each
// holds buffers.
func TestConnectionsOfAllPoolsAreBounded(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	first, second := NewPool(clock.Boot, time.Second), NewPool(clock.Boot, time.Second)
	total := NewTotal(2, first, second)
	do := func(p *Pool) (*Exchange, error) {
		return p.Do(t.Context(), &Call{Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "x", MaxIdle: time.Minute})
	}
	end := func(x *Exchange) {
		_, err := io.Copy(io.Discard, x)
		is.NoErr(err)
		x.Release()
	}
	one, err := do(first)
	is.NoErr(err)
	other, err := do(second)
	is.NoErr(err)
	_, err = do(first)
	is.True(errorx.IsOfType(err, ErrExhausted)) // the request was not sent
	end(other)
	is.Equal(second.OpenConnections(), 1)
	two, err := do(first) // in place of the other pool's idle connection
	is.NoErr(err)
	is.Equal(second.OpenConnections(), 0)
	one.Abort()
	two.Abort()
	is.Equal(total.open.Load(), int64(0))
	is.True((*Total)(nil).Take())
}

// Guards against connections that are closed after many small responses, as if those were a
// large one.
func TestConnectionOfManySmallResponsesIsReused(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 32<<10)) }))
	defer server.Close()
	p, budget := NewPool(clock.Boot, time.Second), membudget.New(4<<20)
	p.SetBuffers(time.Second, sockets.Buffers{ReceiveBytes: 8 << 10}, budget)
	for i := range 40 {
		x, err := p.Do(t.Context(), &Call{Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "x", MaxIdle: time.Minute})
		is.NoErr(err)
		is.Equal(x.Reused(), i > 0)
		_, err = io.Copy(io.Discard, x)
		is.NoErr(err)
		x.Release()
	}
	p.CloseIdle(server.Listener.Addr().String())
	is.Equal(budget.Held(), int64(0))
}
