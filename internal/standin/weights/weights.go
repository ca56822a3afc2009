// Package weights is a stand-in for the weight store, with a rate limit.
package weights

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

// Config configures a weight store.
type Config struct {
	// MegabytesPerSecond is the total rate of all downloads; 0 means
	// unlimited.
	MegabytesPerSecond float64
	// Megabytes are the sizes of weights, by "model@version".
	Megabytes map[string]int
}

// defaultMegabytes is the size of weights that are not in Config.Megabytes.
const defaultMegabytes = 10

// Store is a simulated weight store. Its methods are safe for concurrent use.
type Store struct {
	config  Config
	limiter *rate.Limiter
	loads   atomic.Int64
	active  atomic.Int64
	peak    atomic.Int64
}

// New returns a store.
func New(config Config) *Store {
	limit := rate.Limit(config.MegabytesPerSecond)
	if limit == 0 {
		limit = rate.Inf
	}
	return &Store{config: config, limiter: rate.NewLimiter(limit, 1)}
}

// CompletedLoads returns the number of completed downloads.
func (s *Store) CompletedLoads() int64 { return s.loads.Load() }

// MaxConcurrentLoads returns the maximum number of concurrent downloads so far.
func (s *Store) MaxConcurrentLoads() int64 { return s.peak.Load() }

// Handler returns the handler of GET /v1/weights/{model}/{version}. It sends no
// weights, but responds after the time that their download takes.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/weights/{model}/{version}", s.serve)
	return r
}

func (s *Store) serve(w http.ResponseWriter, req *http.Request) {
	s.enterLoad()
	defer s.active.Add(-1)
	name := chi.URLParam(req, "model") + "@" + chi.URLParam(req, "version")
	size, ok := s.config.Megabytes[name]
	if !ok {
		size = defaultMegabytes
	}
	for range size {
		if err := s.limiter.Wait(req.Context()); err != nil {
			return
		}
	}
	s.loads.Add(1)
	w.Header().Set("Weight-Megabytes", strconv.Itoa(size))
	_ = json.NewEncoder(w).Encode(struct {
		Name string `json:"name"`
	}{name})
}

func (s *Store) enterLoad() {
	active := s.active.Add(1)
	for {
		peak := s.peak.Load()
		if active <= peak || s.peak.CompareAndSwap(peak, active) {
			return
		}
	}
}
