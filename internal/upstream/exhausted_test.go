package upstream

import (
	"bufio"
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// exhaustedDialer fails for lack of descriptors while more connections than most are open.
type exhaustedDialer struct {
	pool *Pool
	most int
}

func (d *exhaustedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.pool.OpenConnections() > d.most { // the new one is counted
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// Guards against a VM without descriptors that takes its servers for unreachable: idle
// connections give theirs up, and the error without any says nothing about the address.
func TestLackOfDescriptorsIsNoFaultOfTheServer(t *testing.T) {
	is := is.New(t)
	answer := func(_ int, conn net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			reply(conn, "1", "ok")
		}
		time.Sleep(time.Second)
	}
	first, second := serve(t, answer), serve(t, answer)
	p := newPool()
	p.Dialer = &exhaustedDialer{pool: p, most: 1}
	_, _, err := exchange(t, p, call(first, "1"))
	is.NoErr(err)
	is.Equal(p.OpenConnections(), 1) // idle
	e, err := p.Do(t.Context(), call(second, "1"))
	is.NoErr(err)
	_, err = p.Do(t.Context(), call(first, "1"))
	is.True(errorx.IsOfType(err, ErrExhausted))
	is.True(errorx.IsOfType(err, ErrUnsent))
	is.True(!errorx.IsOfType(err, ErrNoConnection))
	is.True(errorx.IsOfType(p.Probe(t.Context(), first), ErrExhausted))
	e.Abort()
	is.Equal(p.OpenConnections(), 0)
}
