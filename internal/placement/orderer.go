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
	// ErrOldFence says that the engine has accepted a newer order.
	ErrOldFence = Errors.NewType("old_fence")
	// ErrEngine says that the engine didn't do as ordered.
	ErrEngine = Errors.NewType("engine", errorx.Temporary())
)

const (
	// roundInterval is the time between two looks at the replicas.
	roundInterval = 2 * time.Second
	// callTimeout bounds a read of an engine's state.
	callTimeout = 2 * time.Second
	// loadTimeout bounds an order; a load moves weights.
	loadTimeout = 10 * time.Minute
	// maxReportBytes bounds an engine's answer.
	maxReportBytes = 64 << 10
	// maxBackoff bounds the pause after failed orders to a replica.
	maxBackoff = time.Minute
)

// HTTPClient sends requests to engines.
type HTTPClient interface {
	Do(*http.Request) (*http.Response, error)
}

// Config holds what an Orderer needs.
type Config struct {
	Self      snapshot.Identity
	Publisher *snapshot.Publisher
	Now       clock.Clock
	Log       *slog.Logger
	HTTP      HTTPClient
	// Confirm asks a source for the newest revision and returns nil once the
	// configuration in force is known to be the newest. It is called right
	// before each order.
	Confirm func(ctx context.Context) error
}

// Reconciler orders from the replicas for which this gateway is designated.
type Reconciler struct {
	Config
	// pauses holds, by replica, until when failed orders are left alone.
	pauses map[string]pause
	// revision was first seen at since.
	revision uint64
	since    clock.Instant
}

type pause struct {
	until clock.Instant
	next  time.Duration
}

// New returns an Orderer.
func New(cfg Config) *Reconciler { return &Reconciler{Config: cfg, pauses: map[string]pause{}} }

// Run orders until ctx ends.
func (o *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			o.Reconcile(ctx)
		}
	}
}

// Reconcile looks once at each replica of the region, if this gateway is the
// designated one, and orders what is missing.
func (o *Reconciler) Reconcile(ctx context.Context) {
	s := o.Publisher.Load()
	if s.Config.Revision != o.revision {
		o.revision, o.since = s.Config.Revision, o.Now()
	}
	if s.Unconfirmed || DesignatedVM(s) != o.Self.VM {
		return
	}
	for _, w := range Plan(s.Config, o.Self.Region) {
		if ctx.Err() != nil {
			return
		}
		if o.Now() < o.pauses[w.Server.Name].until {
			continue
		}
		if err := o.correct(ctx, w.Server.Name); err != nil {
			o.postpone(w.Server.Name)
			o.Log.Warn("order failed", "server", w.Server.Name, "error", err)
			continue
		}
		delete(o.pauses, w.Server.Name)
	}
}

func (o *Reconciler) postpone(server string) {
	p := o.pauses[server]
	p.next = min(max(2*p.next, roundInterval), maxBackoff)
	p.until = o.Now().Add(p.next)
	o.pauses[server] = p
}

// correct reads a replica's state, orders what is missing and reads it back.
func (o *Reconciler) correct(ctx context.Context, server string) error {
	w, fence, ok := o.want(server)
	if !ok {
		return nil
	}
	report, err := o.read(ctx, w.Server)
	if err != nil {
		return err
	}
	orders := Orders(w, report, fence)
	if len(orders) == 0 {
		return nil
	}
	for _, order := range orders {
		sent, err := o.order(ctx, server, order)
		if err != nil || !sent {
			return err
		}
	}
	report, err = o.read(ctx, w.Server)
	if err != nil {
		return err
	}
	if left := Orders(w, report, fence); len(left) > 0 {
		return ErrEngine.New("%d orders have had no effect yet", len(left))
	}
	o.Log.Info("replica placed", "server", server, "revision", fence, "orders", len(orders))
	return nil
}

// want returns what the newest set wants of a replica, if this gateway is
// designated for it.
func (o *Reconciler) want(server string) (w DesiredState, fence uint64, ok bool) {
	s := o.Publisher.Load()
	b := s.Config.BackendServers[server]
	if b == nil || s.Unconfirmed || DesignatedVM(s) != o.Self.VM {
		return DesiredState{}, 0, false
	}
	model := s.Config.Models[b.Spec.Model]
	if model == nil {
		return DesiredState{}, 0, false
	}
	return wantOf(b, model), s.Config.Revision, true
}

// order sends one order, unless the newest configuration no longer has it or
// it is a load whose turn hasn't come.
func (o *Reconciler) order(ctx context.Context, server string, order Order) (sent bool, err error) {
	if order.Kind == KindLoad && !mayLoad(o.Publisher.Load(), order.Model, o.since, o.Now()) {
		return false, nil
	}
	if err := o.Confirm(ctx); err != nil {
		return false, ErrEngine.Wrap(err, "the configuration could not be confirmed")
	}
	w, fence, ok := o.want(server)
	if !ok || fence != order.Fence {
		return false, nil
	}
	return true, o.post(ctx, w.Server, order)
}

func (o *Reconciler) post(ctx context.Context, server *objects.BackendServer, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return ErrEngine.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Spec.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return ErrEngine.Wrap(err, "order for %s", server.Name)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.HTTP.Do(req)
	if err != nil {
		return ErrEngine.Wrap(err, "order for %s", server.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrOldFence.New("%s has a newer order than revision %d", server.Name, order.Fence)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return ErrEngine.New("%s answered status %d", server.Name, resp.StatusCode)
	}
	return nil
}

func (o *Reconciler) read(ctx context.Context, server *objects.BackendServer) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Spec.Address+"/load", nil)
	if err != nil {
		return Report{}, ErrEngine.Wrap(err, "state of %s", server.Name)
	}
	resp, err := o.HTTP.Do(req)
	if err != nil {
		return Report{}, ErrEngine.Wrap(err, "state of %s", server.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Report{}, ErrEngine.New("state of %s: status %d", server.Name, resp.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, ErrEngine.Wrap(err, "state of %s", server.Name)
	}
	return report, nil
}
