package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

const (
	// PathCancelHop is the path at which a VM accepts that a hop is cancelled.
	PathCancelHop = "/peer/v1/hop-cancel"
	// headerHopID carries the number of the hop and its sender, separated by a slash.
	headerHopID = "Chestnut-Hop-Id"
	// cancelTimeout bounds a call that cancels a hop.
	cancelTimeout = time.Second
	// maxCancels bounds the calls in flight that cancel hops. Beyond it, a hop ends when
	// its connection does.
	maxCancels = 64
)

// hopID identifies a hop of a VM's process.
func (r *Relay) hopID() string {
	return r.VM + "/" + strconv.FormatInt(int64(r.started), 36) + "/" + strconv.FormatUint(r.hopCount.Add(1), 36)
}

// acceptedHops are the hops of other VMs that are being served.
type acceptedHops struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// begin returns a context that cancel ends, and a function that ends the hop. A hop without
// an ID, of a VM of an earlier version, ends with its connection only.
func (h *acceptedHops) begin(ctx context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if id == "" {
		return ctx, cancel
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancels == nil {
		h.cancels = map[string]context.CancelFunc{}
	}
	h.cancels[id] = cancel
	return ctx, func() {
		cancel()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.cancels, id)
	}
}

// cancel ends a hop, and reports whether it was being served.
func (h *acceptedHops) cancel(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	cancel := h.cancels[id]
	if cancel != nil {
		cancel()
	}
	return cancel != nil
}

// CancelHopHandler returns the HTTP handler by which other VMs cancel their hops.
func (r *Relay) CancelHopHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		id := hr.Header.Get(headerHopID)
		found := r.accepted.cancel(id)
		r.Log.Info("hop cancelled by its sender", "hop", id, "running", found)
		w.WriteHeader(http.StatusNoContent)
	})
}

// cancelHop tells the other VM that the caller of a hop left, or that the request goes on
// elsewhere. The close of the hop's connection doesn't arrive if that has fallen silent, so a
// new connection is used.
func (x *transaction) cancelHop(address, id string) {
	if x.cancelsInFlight.Add(1) > maxCancels {
		x.cancelsInFlight.Add(-1)
		x.Log.Warn("hop not cancelled: too many calls in flight", "request", x.req.ID, "hop", id, "limit", maxCancels)
		return
	}
	go func() {
		defer x.cancelsInFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		e, err := x.GatewayPool.Do(ctx, &upstream.Call{
			Address: address, Method: http.MethodPost, Target: PathCancelHop, Host: address,
			Header: http.Header{headerHopID: {id}}, MaxIdle: -1,
		})
		if err != nil {
			x.Log.Warn("hop not cancelled", "request", x.req.ID, "hop", id, "error", err)
			return
		}
		e.Release()
	}()
}

// callerLeft reports whether a request's context ended because its caller left, rather than
// by the deadline, which the other VM knows too.
func callerLeft(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
