// Package service is a stand-in of a plain service with calls that may be
// repeated and calls that may not. It counts its executions.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Config describes a service.
type Config struct {
	// Name is the name of the backend server.
	Name string
	// Concurrency is how many calls run at once; further calls wait.
	Concurrency int
	// Duration returns the time that a call takes; nil means none.
	Duration func(method, path string) time.Duration
}

// defaultConcurrency is used where the configuration names none.
const defaultConcurrency = 16

// Fault is a way to fail.
type Fault int

// The ways to fail.
const (
	// FaultNone answers as usual.
	FaultNone Fault = iota
	// FaultRunAndClose runs the call and closes the connection unanswered.
	FaultRunAndClose
	// FaultCloseWithoutRun closes the connection without running the call.
	FaultCloseWithoutRun
	// FaultRefuse answers with status 503 without running the call.
	FaultRefuse
	// FaultRunAndError runs the call and answers with status 500.
	FaultRunAndError
	// FaultHang runs the call and never answers.
	FaultHang
)

// Service is a plain service. Its methods are safe for concurrent use.
type Service struct {
	config Config
	requests  standin.RequestLog
	slots  chan struct{}

	mu         sync.Mutex
	executions map[string]int // by idempotency key
	calls      map[string]int // by method and first part of the path
	total      int
	running    int
	queued     int
	leaving    bool
	delay      time.Duration
	fault      Fault
	faultsLeft     int // how many calls fail; negative is all
}

// New returns a service that works.
func New(config Config) *Service {
	if config.Concurrency == 0 {
		config.Concurrency = defaultConcurrency
	}
	if config.Duration == nil {
		config.Duration = func(string, string) time.Duration { return 0 }
	}
	return &Service{
		config:     config,
		slots:      make(chan struct{}, config.Concurrency),
		executions: map[string]int{},
		calls:      map[string]int{},
	}
}

// Name returns the name of the backend server.
func (s *Service) Name() string { return s.config.Name }

// ReceivedRequests returns every request that the service saw.
func (s *Service) ReceivedRequests() []standin.RequestRecord { return s.requests.All() }

// Executions returns how often each idempotency key was carried out.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Calls returns how often each kind of call, such as "POST /bookings", was
// carried out.
func (s *Service) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// InjectFault makes the next n calls fail; a negative n means all calls.
func (s *Service) InjectFault(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultsLeft = fault, n
}

// SetDelay adds a delay to each call, before it runs.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLeaving sets the mark that the service's VM leaves, which /load reports.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Handler serves the service's calls and GET /load.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/load", s.serveLoad)
	r.HandleFunc("/*", s.serveCall)
	return r
}

// Answer is the body of a call's answer.
type Answer struct {
	Server    string `json:"server"`
	Execution int    `json:"execution"`
	// Echo is the digest of the request's body.
	Echo      string `json:"echo"`
	Key       string `json:"key,omitempty"`
	Path      string `json:"path"`
	RequestID string `json:"requestId"`
}

func (s *Service) serveCall(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, wire.MaxBodyBytes))
	if err != nil {
		return
	}
	seen := standin.RequestRecord{
		At:        time.Now(),
		Team:      req.Header.Get(wire.HeaderTeam),
		RequestID: req.Header.Get(wire.HeaderRequestID),
		Method:    req.Method,
		Path:      req.URL.Path,
		Key:       req.Header.Get(wire.HeaderIdempotencyKey),
		Digest:    standin.Digest(body),
	}
	s.requests.Add(seen)
	fault, delay := s.nextFault()
	switch fault {
	case FaultCloseWithoutRun:
		panic(http.ErrAbortHandler)
	case FaultRefuse:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the service takes no calls", http.StatusServiceUnavailable)
		return
	}
	answer := s.execute(seen, delay)
	switch fault {
	case FaultRunAndClose:
		panic(http.ErrAbortHandler)
	case FaultRunAndError:
		http.Error(w, "the service failed", http.StatusInternalServerError)
		return
	case FaultHang:
		<-req.Context().Done()
		return
	}
	w.Header().Set(wire.HeaderRequestID, seen.RequestID)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Service) nextFault() (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsLeft == 0 {
		return FaultNone, s.delay
	}
	if s.faultsLeft > 0 {
		s.faultsLeft--
	}
	return s.fault, s.delay
}

// execute runs a call, also when its caller has gone away meanwhile.
func (s *Service) execute(seen standin.RequestRecord, delay time.Duration) Answer {
	s.addToGauge(&s.queued, 1)
	s.slots <- struct{}{}
	s.addToGauge(&s.queued, -1)
	s.addToGauge(&s.running, 1)
	time.Sleep(s.config.Duration(seen.Method, seen.Path) + delay)
	defer func() { <-s.slots }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.total++
	s.calls[seen.Method+" "+firstSegment(seen.Path)]++
	if seen.Key != "" {
		s.executions[seen.Key]++
	}
	return Answer{
		Server: s.config.Name, Execution: s.total, Echo: seen.Digest,
		Key: seen.Key, Path: seen.Path, RequestID: seen.RequestID,
	}
}

func (s *Service) addToGauge(n *int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

// firstSegment returns the first part of a path, such as "/bookings".
func firstSegment(path string) string {
	rest := strings.TrimPrefix(path, "/")
	first, _, _ := strings.Cut(rest, "/")
	return "/" + first
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running, queued, leaving := s.running, s.queued, s.leaving
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"running":`+strconv.Itoa(running)+
		`,"queued":`+strconv.Itoa(queued)+
		`,"leaving":`+strconv.FormatBool(leaving)+`}`)
}
