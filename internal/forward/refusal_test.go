package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// TestCancelIsNotReportedAsPassedDeadline covers a caller that disconnects while a
// timeout of the transport, which derives from the same context, passes as well.
func TestCancelIsNotReportedAsPassedDeadline(t *testing.T) {
	is := is.New(t)
	to := &snapshot.Member{}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	refusal := transportRefusal(cancelled, fmt.Errorf("write: %w", context.DeadlineExceeded), true, to)
	is.Equal(refusal.Code, verdict.CodeCancelled)
	expired, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	refusal = transportRefusal(expired, fmt.Errorf("write: %w", context.Canceled), true, to)
	is.Equal(refusal.Code, verdict.CodeDeadline)
	is.Equal(refusal.Status, http.StatusGatewayTimeout)
}
