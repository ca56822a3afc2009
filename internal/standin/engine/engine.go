// Package engine is a stand-in of a model engine with continuous batching, a
// prefix cache, late load reports and cache events, and orders.
//
// The text of an answer is a function of the prompt (standin.Token), so that
// a caller can check the whole answer.
package engine

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// Engine is a model engine. Its methods are safe for concurrent use.
type Engine struct {
	config Config
	requests  standin.RequestLog
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	queue   []*stream // by priority, then by arrival
	batch   []*stream
	streams map[string]*stream // by request ID
	cache   *prefixCache
	events  eventLog
	loadHistory []loadSample // oldest first
	loaded  []string
	role    string
	fence   uint64
	leaving bool
	executions     map[string]int // by request ID
	faults  Faults
	counts  Counts
}

// Faults make an engine fail on command.
type Faults struct {
	// Slowdown divides the engine's rates; zero and 1 are normal.
	Slowdown float64
	// CutAtToken breaks the connection of each answer at this token; zero never.
	CutAtToken int
	// MaxCuts bounds how many answers CutAt breaks; zero is no bound.
	MaxCuts int
	// Refuse answers each request with status 503, without running it.
	Refuse bool
	// Hang takes requests and never answers.
	Hang bool
	// DropResponse runs requests and closes the connection without an answer.
	DropResponse bool
}

// Counts are what an engine has done since its start.
type Counts struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Refused   int64 `json:"refused"`
	Tokens    int64 `json:"tokens"`
	// CacheHits and CacheMisses count prompts by whether their prefix was
	// in the cache.
	CacheHits   int64 `json:"cacheHits"`
	CacheMisses int64 `json:"cacheMisses"`
	// BusySeconds is the sum over time of the used share of the batch.
	BusySeconds float64 `json:"busySeconds"`
	// Orders are the orders that were carried out.
	Orders int64 `json:"orders"`
}

// loadSample is the engine's state at one moment.
type loadSample struct {
	at      time.Time
	running int
	queued  int
	rate    float64
}

// New starts an engine. Close ends it.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:  config,
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		streams: map[string]*stream{},
		executions:     map[string]int{},
		cache:   newPrefixCache(config.CacheTokens),
		loaded:  append([]string(nil), config.Loaded...),
		role:    config.Role,
	}
	e.events = eventLog{lag: config.EventLag, gap: config.EventGap}
	e.loadHistory = []loadSample{{at: time.Now(), rate: config.TokensPerSecond}}
	go e.runBatch()
	return e
}

// Close ends the engine's work.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// Name returns the name of the backend server.
func (e *Engine) Name() string { return e.config.Name }

// ReceivedRequests returns every request that the engine saw.
func (e *Engine) ReceivedRequests() []standin.RequestRecord { return e.requests.All() }

// Counts returns what the engine has done.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Executions returns how often each request ID was taken into the batch.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.executions)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving sets the mark that the engine's VM leaves, which /load reports.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// ClearCache forgets all prefixes, as a restart would.
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

// streamRate returns the tokens a second of each of n streams.
func (e *Engine) streamRate(n int) float64 {
	rate := e.config.TokensPerSecond / (1 + e.config.BatchSlowdown*float64(max(0, n-1)))
	return rate / max(1, e.faults.Slowdown)
}

// recordLoad records the current load. The lock is held.
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
