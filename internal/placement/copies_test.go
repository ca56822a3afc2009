package placement

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/linktest"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// newHTTPReconciler returns a Reconciler that sends HTTP requests.
func newHTTPReconciler(t *testing.T) *Reconciler {
	r, _ := newReconciler("home", "2", nil, confirmed)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	r.HTTP = &http.Client{Transport: transport}
	return r
}

// Guards against issue 54 in orders: the copy of an earlier response, which names no request, was
// taken for the response to an order, so that a refused order counted as carried out, or one that
// was carried out as refused.
func TestCopyOfAResponseIsNotTakenForTheResponseToAnOrder(t *testing.T) {
	for name, statuses := range map[string][]int{
		"copy of a success": {http.StatusNoContent, http.StatusConflict},
		"copy of a refusal": {http.StatusConflict, http.StatusNoContent},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var orders atomic.Int32
			engine := linktest.StartCopyingServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(statuses[orders.Add(1)-1])
			}, linktest.CopyAll)
			r := newHTTPReconciler(t)
			server := &objects.BackendServer{Name: "home", Spec: objects.BackendServerSpec{Address: engine.Address}}
			for _, status := range statuses {
				err := r.postOrder(t.Context(), server, Order{Fence: 5, Kind: KindUnload, Model: "m", Version: "1"})
				is.Equal(errorx.IsOfType(err, ErrOldFence), status == http.StatusConflict)
				is.Equal(err == nil, status == http.StatusNoContent)
			}
		})
	}
}

// Guards against issue 54 in orders: the copy of an earlier report was taken for the present state
// of a replica.
func TestCopyOfAReportIsNotTakenForThePresentState(t *testing.T) {
	is := is.New(t)
	var reports atomic.Uint64
	engine := linktest.StartCopyingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Report{Fence: reports.Add(1)})
	}, linktest.CopyAll)
	r := newHTTPReconciler(t)
	server := &objects.BackendServer{Name: "home", Spec: objects.BackendServerSpec{Address: engine.Address}}
	for n := range uint64(3) {
		report, err := r.fetchReport(t.Context(), server)
		is.NoErr(err)
		is.Equal(report.Fence, n+1)
	}
}
