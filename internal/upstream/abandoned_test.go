package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/linktest"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// Guards against issue 48 (TWICE): a request that its sender gave up, and sent elsewhere,
// reached the first server nevertheless, once its link came back.
func TestRequestThatIsGivenUpDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	server := linktest.StartUnreadServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	request := call(server.Address, "1")
	request.Method, request.Body = http.MethodPost, membudget.Segments{make([]byte, linktest.UnreadBodyBytes)}
	_, err := newPool().Do(ctx, request)
	is.True(err != nil)
	is.Equal(server.ReceivesRequest(t), false)
}
