package relay

import (
	"bytes"
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Guards against issue 45 (LOST): the bodies of many requests took more than the memory of
// the VM. One for which there is no memory is refused as not run, at the VM that got it from
// the caller or from another VM.
func TestBodyWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(1)
	x.Config.Refusing, x.Config.Leaving = func() bool { return false }, func() bool { return false }
	x.Config.Table = func() *ingress.Table { return x.table }
	x.Memory = membudget.New(4 * membudget.FreeBytes)
	other := x.Memory.Account()
	is.True(other.Take(4 * membudget.FreeBytes))
	body := bytes.Repeat([]byte("x"), 2*membudget.FreeBytes)

	w := httptest.NewRecorder()
	x.CallerHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/a", bytes.NewReader(body)))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(w.Header().Get("Retry-After") != "") // the caller may come again
	is.Equal(w.Header().Get("Connection"), "close")

	hop := httptest.NewRequest(http.MethodPost, PathHop, bytes.NewReader(body))
	hop.Header.Set(headerHop, base64.StdEncoding.EncodeToString([]byte(`{"id":"q","method":"POST","target":"/","entry":"vm-2","remainingMs":1000}`)))
	w = httptest.NewRecorder()
	x.HopHandler().ServeHTTP(w, hop)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	out := x.handleHopRefusal(balance.Plan{}, w.Header().Get(wire.HeaderRefusal), statedRuns(w.Header()), 1, false)
	is.True(out.notRun)
	is.Equal(x.possibleRuns, 0)

	// Small bodies are read all the same, and large ones once there is memory.
	got, err := x.Memory.Account().ReadAll(strings.NewReader("small"), -1)
	is.NoErr(err)
	is.Equal(string(got.AppendTo(nil)), "small")
	other.Close()
	account := x.Memory.Account()
	got, err = account.ReadAll(bytes.NewReader(body), int64(len(body)))
	is.NoErr(err)
	is.True(bytes.Equal(got.AppendTo(nil), body))
	account.Close()
}

// Guards against the same for responses: one for which there is no memory is not kept, but
// relayed as it arrives.
func TestResponseWithoutMemoryIsNotBuffered(t *testing.T) {
	for _, held := range []bool{false, true} {
		is := is.New(t)
		body := strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n\n", 60)
		server := quietServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		x := hopTransaction(1)
		x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, nil)
		x.Memory = membudget.New(4 * membudget.FreeBytes)
		other := x.Memory.Account()
		if held {
			is.True(other.Take(4 * membudget.FreeBytes))
		}
		e, err := x.GatewayPool.Do(t.Context(), &upstream.Call{Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "x"})
		is.NoErr(err)
		memory := x.Memory.Account()
		got, whole, err := x.readBuffered(t.Context(), &balance.Load{}, e, memory)
		is.NoErr(err)
		is.True(!whole)
		is.True(len(got) <= 4*membudget.FreeBytes)
		is.True(strings.HasPrefix(body, string(got)))
		e.Abort()
		memory.Close()
		other.Close()
		is.Equal(x.Memory.Held(), int64(0))
		server.Close()
	}
}
