package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// loadReport is the body of GET /load.
type loadReport struct {
	Running         int      `json:"running"`
	Queued          int      `json:"queued"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
	Loaded          []string `json:"loaded"`
	Role            string   `json:"role"`
	Fence           uint64   `json:"fence"`
	Leaving         bool     `json:"leaving"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	if e.faults.Hang {
		e.mu.Unlock()
		<-req.Context().Done()
		return
	}
	l := e.delayedLoad(time.Now())
	report := loadReport{
		Running: l.running, Queued: l.queued, TokensPerSecond: l.rate,
		Loaded: append([]string{}, e.loaded...),
		Role:   e.role, Fence: e.fence, Leaving: e.leaving,
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveEvents(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	writeJSON(w, http.StatusOK, struct {
		Events []Event `json:"events"`
	}{e.events.publishedAfter(after)})
}

// Order is an order to an engine, the body of POST /orders.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

func (e *Engine) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.checkFence(o.Fence) {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	if err := e.executeOrder(req.Context(), o); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// checkFence reports whether an order with the fencing number may be executed,
// and remembers the highest number.
func (e *Engine) checkFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *Engine) executeOrder(ctx context.Context, o Order) error {
	name := o.Model + "@" + o.Version
	if o.Adapter != "" {
		name += "+" + o.Adapter
	}
	if o.Kind == OrderLoad {
		if err := e.fetchWeights(ctx, name); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Orders++
	switch o.Kind {
	case OrderLoad:
		if !slices.Contains(e.loaded, name) {
			e.loaded = append(e.loaded, name)
		}
	case OrderUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(l string) bool { return l == name })
	case OrderRole:
		e.role = o.Role
	default:
		return fmt.Errorf("unknown kind of order %q", o.Kind)
	}
	return nil
}

// fetchWeights downloads the weights of a model from the weight store, if one is
// configured.
func (e *Engine) fetchWeights(ctx context.Context, name string) error {
	if e.config.Weights == "" {
		return nil
	}
	target := e.config.Weights + "/v1/weights/" + strings.ReplaceAll(name, "@", "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return standin.Errors.NewType("weights").New("weight store: status %d", resp.StatusCode)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
