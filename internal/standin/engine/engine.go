// Package engine is a stand-in for a model engine with continuous batching, a
// prefix cache, delayed load reports and cache events, and orders.
//
// The text of an answer is a function of the prompt (standin.Token), so that
// callers can verify it.
package engine

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// Engine is a simulated model engine. Its methods are safe for concurrent use.
type Engine struct {
	config   Config
	requests standin.RequestLog
	wake     chan struct{}
	stop     chan struct{}
	done     chan struct{}

	mu          sync.Mutex
	queue       []*stream // by priority, then by arrival
	batch       []*stream
	streams     map[string]*stream // by request ID
	cache       *prefixCache
	events      eventLog
	loadHistory []loadSample // oldest first
	loaded      []string
	role        string
	fence       uint64
	leaving     bool
	executions  map[string]int // by request ID
	faults      Faults
	counts      Counts
}

// Faults are the faults to inject. The zero value means none.
type Faults struct {
	// Slowdown divides the engine's rates; values up to 1 have no effect.
	Slowdown float64
	// CutAtToken closes the connection of each streamed response before this
	// token; 0 means never.
	CutAtToken int
	// MaxCuts is the number of responses that CutAtToken interrupts; 0 means
	// no limit.
	MaxCuts int
	// Refuse refuses each request with status 503, without executing it.
	Refuse bool
	// Hang leaves requests and GET /load without a response. Requests are not
	// executed.
	Hang bool
	// DropResponse executes requests and closes the connection without a
	// response.
	DropResponse bool
}

// Counts are the counters of an engine since its start.
type Counts struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Refused   int64 `json:"refused"`
	Tokens    int64 `json:"tokens"`
	// CacheHits and CacheMisses count prompts with and without a cached
	// prefix.
	CacheHits   int64 `json:"cacheHits"`
	CacheMisses int64 `json:"cacheMisses"`
	// BusySeconds is the integral over time of the used fraction of the batch.
	BusySeconds float64 `json:"busySeconds"`
	// Orders counts executed orders.
	Orders int64 `json:"orders"`
}

// loadSample is the engine's load from a point in time on.
type loadSample struct {
	at      time.Time
	running int
	queued  int
	rate    float64
}

// New starts an engine. Close stops it.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:     config,
		wake:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		streams:    map[string]*stream{},
		executions: map[string]int{},
		cache:      newPrefixCache(config.CacheTokens),
		loaded:     append([]string(nil), config.Loaded...),
		role:       config.Role,
	}
	e.events = eventLog{lag: config.EventLag, gap: config.EventGap}
	e.loadHistory = []loadSample{{at: time.Now(), rate: config.TokensPerSecond}}
	go e.runBatch()
	return e
}

// Close stops the engine and waits until it has stopped. It must be called once.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// Name returns the name of the backend server.
func (e *Engine) Name() string { return e.config.Name }

// ReceivedRequests returns every request that the engine received.
func (e *Engine) ReceivedRequests() []standin.RequestRecord { return e.requests.All() }

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Executions returns the number of executions by request ID. An execution counts
// when the request enters the batch.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.executions)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving sets whether GET /load reports that the engine's VM is shutting down.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// ClearCache empties the prefix cache, like a restart.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache = newPrefixCache(e.config.CacheTokens)
}

// Loaded returns the loaded models as "model@version".
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}

// streamRate returns the decoding rate, in tokens per second, of each of n
// streams in the batch.
func (e *Engine) streamRate(n int) float64 {
	rate := e.config.TokensPerSecond / (1 + e.config.BatchSlowdown*float64(max(0, n-1)))
	return rate / max(1, e.faults.Slowdown)
}

// recordLoad adds the current load to the history and removes samples that
// delayedLoad no longer needs. The lock is held.
func (e *Engine) recordLoad(now time.Time) {
	next := loadSample{at: now, running: len(e.batch), queued: len(e.queue), rate: e.streamRate(len(e.batch))}
	last := e.loadHistory[len(e.loadHistory)-1]
	if last.running == next.running && last.queued == next.queued && last.rate == next.rate {
		return
	}
	e.loadHistory = append(e.loadHistory, next)
	oldest := now.Add(-e.config.LoadLag)
	for len(e.loadHistory) > 1 && e.loadHistory[1].at.Before(oldest) {
		e.loadHistory = e.loadHistory[1:]
	}
}

// delayedLoad returns the load as it was LoadLag ago. The lock is held.
func (e *Engine) delayedLoad(now time.Time) loadSample {
	found := e.loadHistory[0]
	for _, l := range e.loadHistory {
		if l.at.After(now.Add(-e.config.LoadLag)) {
			break
		}
		found = l
	}
	return found
}
