// Package service is a stand-in for a plain service, with calls that may be
// repeated and calls that may not. It counts the executions by idempotency key.
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

// Config configures a service.
type Config struct {
	// Name is the name of the backend server.
	Name string
	// Concurrency is the maximum number of concurrent calls; further calls
	// are queued. 0 means defaultConcurrency.
	Concurrency int
	// Duration returns the execution time of a call; nil means 0.
	Duration func(method, path string) time.Duration
}

const defaultConcurrency = 16

// Fault is a kind of fault to inject.
type Fault int

const (
	// FaultNone executes calls and responds normally.
	FaultNone Fault = iota
	// FaultRunAndClose executes the call and closes the connection without a
	// response.
	FaultRunAndClose
	// FaultCloseWithoutRun closes the connection without executing the call.
	FaultCloseWithoutRun
	// FaultRefuse responds with status 503 without executing the call.
	FaultRefuse
	// FaultRunAndError executes the call and responds with status 500.
	FaultRunAndError
	// FaultHang executes the call and never responds.
	FaultHang
)

// Service is a simulated plain service. Its methods are safe for concurrent use.
type Service struct {
	config   Config
	requests standin.RequestLog
	slots    chan struct{}

	mu         sync.Mutex
	executions map[string]int // by idempotency key
	calls      map[string]int // by method and first path segment
	total      int
	running    int
	queued     int
	leaving    bool
	delay      time.Duration
	fault      Fault
	faultsLeft int // calls that will fail; negative means all
}

// New returns a service without faults.
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

// ReceivedRequests returns every call that the service received.
func (s *Service) ReceivedRequests() []standin.RequestRecord { return s.requests.All() }

// Executions returns the number of executions by idempotency key.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Calls returns the number of executions by method and first path segment, such
// as "POST /bookings".
func (s *Service) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// InjectFault makes the next n calls fail. A negative n means all calls.
func (s *Service) InjectFault(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultsLeft = fault, n
}

// SetDelay sets an additional execution time of each call.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLeaving sets whether GET /load reports that the service's VM is shutting
// down.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Handler returns the handler of the service's calls and GET /load.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/load", s.serveLoad)
	r.HandleFunc("/*", s.serveCall)
	return r
}

// Answer is the body of the response to a call.
type Answer struct {
	Server    string `json:"server"`
	Execution int    `json:"execution"`
	// Echo is the digest of the request body; see standin.Digest.
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

// execute executes a call, even if its caller disconnects meanwhile.
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

// firstSegment returns the first segment of a path, such as "/bookings".
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
