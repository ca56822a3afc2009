package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("placement")
	// ErrOldFence means that the engine has accepted an order with a newer
	// fencing token.
	ErrOldFence = Errors.NewType("old_fence")
	// ErrEngine means that an engine could not be reached or did not carry out
	// an order, or that the configuration could not be confirmed before the
	// order.
	ErrEngine = Errors.NewType("engine", errorx.Temporary())
)

const (
	// reconcileInterval is the time between two reconciliations.
	reconcileInterval = 2 * time.Second
	// stateTimeout bounds a request for an engine's state.
	stateTimeout = 2 * time.Second
	// orderTimeout bounds an order. It is long because a load transfers
	// weights.
	orderTimeout = 10 * time.Minute
	// maxReportBytes bounds the response with an engine's state.
	maxReportBytes = 64 << 10
	// maxBackoff bounds the delay after failed orders to a replica.
	maxBackoff = time.Minute
)

// HTTPClient sends requests to engines.
type HTTPClient interface {
	Do(*http.Request) (*http.Response, error)
}

// Config is the configuration of a Reconciler.
type Config struct {
	Self      snapshot.Identity
	Publisher *snapshot.Publisher
	Now       clock.Clock
	Log       *slog.Logger
	HTTP      HTTPClient
	// Confirm asks a configuration source for the newest revision. It returns nil
	// if that is the revision in force. It is called right before each order.
	Confirm func(ctx context.Context) error
}

// Reconciler sends orders to the replicas of its region while this gateway is
// the designated one.
type Reconciler struct {
	Config
	// backoffs holds the replicas with failed orders.
	backoffs map[string]backoff
	// revision is the configuration revision of the last reconciliation, and
	// revisionSince when it was first seen.
	revision      uint64
	revisionSince clock.Instant
}

// backoff delays the next orders to a replica after a failure.
type backoff struct {
	until clock.Instant
	delay time.Duration
}

// New returns a Reconciler.
func New(cfg Config) *Reconciler { return &Reconciler{Config: cfg, backoffs: map[string]backoff{}} }

// Run reconciles periodically until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.Reconcile(ctx)
		}
	}
}

// Reconcile brings each replica of the region to its desired state, if this
// gateway is the designated one.
func (r *Reconciler) Reconcile(ctx context.Context) {
	s := r.Publisher.Load()
	if s.Config.Revision != r.revision {
		r.revision, r.revisionSince = s.Config.Revision, r.Now()
	}
	if s.ConfigUnconfirmed || DesignatedVM(s) != r.Self.VM {
		return
	}
	for _, desired := range Plan(s.Config, r.Self.Region) {
		if ctx.Err() != nil {
			return
		}
		if r.Now() < r.backoffs[desired.Server.Name].until {
			continue
		}
		if err := r.reconcileServer(ctx, desired.Server.Name); err != nil {
			r.backOff(desired.Server.Name)
			r.Log.Warn("order failed", "server", desired.Server.Name, "error", err)
			continue
		}
		delete(r.backoffs, desired.Server.Name)
	}
}

// backOff doubles the delay of a replica after a failed order.
func (r *Reconciler) backOff(server string) {
	b := r.backoffs[server]
	b.delay = min(max(2*b.delay, reconcileInterval), maxBackoff)
	b.until = r.Now().Add(b.delay)
	r.backoffs[server] = b
}

// reconcileServer fetches a replica's state, sends the missing orders and
// checks their effect.
func (r *Reconciler) reconcileServer(ctx context.Context, server string) error {
	desired, fence, ok := r.desiredState(server)
	if !ok {
		return nil
	}
	report, err := r.fetchReport(ctx, desired.Server)
	if err != nil {
		return err
	}
	orders := Orders(desired, report, fence)
	if len(orders) == 0 {
		return nil
	}
	for _, order := range orders {
		sent, err := r.sendOrder(ctx, server, order)
		if err != nil || !sent {
			return err
		}
	}
	report, err = r.fetchReport(ctx, desired.Server)
	if err != nil {
		return err
	}
	if remaining := Orders(desired, report, fence); len(remaining) > 0 {
		return ErrEngine.New("%d orders have not taken effect", len(remaining))
	}
	r.Log.Info("replica has the desired state", "server", server, "revision", fence, "orders", len(orders))
	return nil
}

// desiredState returns the replica's desired state and the fencing token of the
// current configuration. ok is false if there is none, if the configuration is
// unconfirmed or if this gateway is not the designated one.
func (r *Reconciler) desiredState(server string) (desired DesiredState, fence uint64, ok bool) {
	s := r.Publisher.Load()
	b := s.Config.BackendServers[server]
	if b == nil || s.ConfigUnconfirmed || DesignatedVM(s) != r.Self.VM {
		return DesiredState{}, 0, false
	}
	model := s.Config.Models[b.Spec.Model]
	if model == nil {
		return DesiredState{}, 0, false
	}
	return desiredStateOf(b, model), s.Config.Revision, true
}

// sendOrder sends an order unless it no longer follows from the current
// configuration or the region may not load yet.
func (r *Reconciler) sendOrder(ctx context.Context, server string, order Order) (sent bool, err error) {
	if order.Kind == KindLoad && !mayLoad(r.Publisher.Load(), order.Model, r.revisionSince, r.Now()) {
		return false, nil
	}
	if err := r.Confirm(ctx); err != nil {
		return false, ErrEngine.Wrap(err, "confirm configuration")
	}
	desired, fence, ok := r.desiredState(server)
	if !ok || fence != order.Fence {
		return false, nil
	}
	return true, r.postOrder(ctx, desired.Server, order)
}

func (r *Reconciler) postOrder(ctx context.Context, server *objects.BackendServer, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return ErrEngine.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Spec.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return ErrEngine.Wrap(err, "send order to %s", server.Name)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.doOnNewConnection(req)
	if err != nil {
		return ErrEngine.Wrap(err, "send order to %s", server.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrOldFence.New("%s has accepted an order newer than revision %d", server.Name, order.Fence)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return ErrEngine.New("%s returned status %d", server.Name, resp.StatusCode)
	}
	return nil
}

// doOnNewConnection sends the request on a connection of its own. Responses of engines to orders
// and with their state name no request, so that a copy of an earlier one could be taken for the
// one that is due.
func (r *Reconciler) doOnNewConnection(req *http.Request) (*http.Response, error) {
	req.Close = true
	return r.HTTP.Do(req)
}

func (r *Reconciler) fetchReport(ctx context.Context, server *objects.BackendServer) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Spec.Address+"/load", nil)
	if err != nil {
		return Report{}, ErrEngine.Wrap(err, "fetch state of %s", server.Name)
	}
	resp, err := r.doOnNewConnection(req)
	if err != nil {
		return Report{}, ErrEngine.Wrap(err, "fetch state of %s", server.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Report{}, ErrEngine.New("fetch state of %s: status %d", server.Name, resp.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, ErrEngine.Wrap(err, "fetch state of %s", server.Name)
	}
	return report, nil
}
