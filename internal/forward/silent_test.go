package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/linktest"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Guards against issue 48 (TWICE) in chestnut-gateway: a gateway went on with a request whose
// sender had fallen silent, while it ran elsewhere.
func TestHopOfAGatewayThatFellSilentEnds(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan time.Time, 1)
	member := startPeer(t, func(ctx context.Context, _ *pipeline.Request, _ pipeline.Response) *verdict.Refusal {
		close(began)
		<-ctx.Done()
		ended <- time.Now()
		return verdict.Ambiguous(verdict.CodeCancelled, "the caller went away", 0)
	})
	client, conns := newClient(), make(chan net.Conn, 1)
	transport := client.http.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			conns <- c
		}
		return c, err
	}
	req := newRequest()
	req.Deadline = req.Deadline.Add(20 * time.Second)
	go client.SendPeer(t.Context(), req, pipeline.HopRegion, member, &pipelinetest.Recorder{})
	<-began
	silent := time.Now()
	is.NoErr(linktest.Silence((<-conns).(*net.TCPConn), true))
	select {
	case at := <-ended:
		is.True(at.Sub(silent) < pingAfter+pingTimeout) // before the sender takes it for lost
	case <-time.After(10 * time.Second):
		t.Error("the request is still being served 10 s after its sender fell silent")
	}
}
