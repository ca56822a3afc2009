package gateway

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

// TestFailedComponentEndsTheProcess covers a listener that fails while the gateway
// runs: run must return the error instead of waiting for its other servers.
func TestFailedComponentEndsTheProcess(t *testing.T) {
	is := is.New(t)
	var settings Settings
	parser, err := kong.New(&settings)
	is.NoErr(err)
	_, err = parser.Parse([]string{
		"--vm=vm-1", "--region=r", "--failure-domain=d", "--platform=http://127.0.0.1:1",
		"--caller-listen=127.0.0.1:0", "--forward-listen=127.0.0.1:0", "--control-listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0",
	})
	is.NoErr(err)
	g, err := newGateway(&settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- g.run(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	_ = g.listeners.control.Close()
	select {
	case err := <-done:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the gateway still runs 5 s after a component failed")
	}
}
