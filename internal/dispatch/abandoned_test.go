package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/linktest"
	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
)

// Guards against issue 48 (TWICE) in chestnut-gateway: a request that was given up reached its
// server nevertheless, once its link came back.
func TestRequestThatIsGivenUpDoesNotArriveLater(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "once": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := linktest.StartUnreadServer(t)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			req := bookingRequest(make([]byte, linktest.UnreadBodyBytes))
			req.Idempotent = idempotent
			refusal := newSender().SendBackend(ctx, req, serverAt(server.Address), &pipelinetest.Recorder{})
			is.True(refusal != nil)
			is.Equal(server.ReceivesRequest(t), false)
		})
	}
}
