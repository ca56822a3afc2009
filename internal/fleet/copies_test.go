package fleet

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/linktest"
	"github.com/chestnutspring/chestnutspring/internal/peer"
)

// Guards against issue 54 in probes and polls of cache events: the copy of an earlier report,
// which names no request, was taken for the report of a later one, and confirmed a state that
// had changed.
func TestCopyOfAReportIsNotTakenForALaterOne(t *testing.T) {
	is := is.New(t)
	var reports atomic.Int32
	server := linktest.StartCopyingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, reports.Add(1))
	}, linktest.CopyAll)
	f := &Fleet{probeClient: newProbeClient(nil, &peer.Meter{})}
	for n := range 3 {
		body, err := f.fetchBody(t.Context(), "http://"+server.Address+"/load")
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprint(n+1))
	}
}
