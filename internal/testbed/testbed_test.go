package testbed

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBedKillsPausesRestartsAndStopsGateways(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b, err := Start(ctx, Config{
		Deployment: "../../examples/co-operative", GatewayBinary: BuildGateway(t), GatewaysPerRegion: 1,
	})
	is.NoErr(err)
	defer b.Close()
	is.Equal(len(b.Gateways), 3)
	g := b.GatewaysOf("badacsony")[0]
	address, pid := g.CallerAddress(), g.PID()
	g.Kill()
	is.True(!g.Alive())
	is.NoErr(g.Restart(ctx))
	is.Equal(g.CallerAddress(), address) // the same ports
	is.True(g.PID() != pid)
	g.Pause()
	quick := http.Client{Timeout: 200 * time.Millisecond}
	_, err = quick.Get(g.OperatorURL() + "/readyz")
	is.True(err != nil) // a paused process doesn't respond
	g.Resume()
	is.NoErr(g.WaitReady(ctx))
	is.NoErr(g.Terminate(ctx))
	pids := []int{}
	for _, g := range b.Gateways {
		pids = append(pids, g.PID())
	}
	b.Close()
	for _, pid := range pids {
		is.Equal(syscall.Kill(pid, 0), syscall.ESRCH)
	}
}
