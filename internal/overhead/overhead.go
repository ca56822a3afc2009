// Package overhead measures the overhead of a gateway compared to direct calls:
// the added latency, and the CPU time per request and per streamed token.
package overhead

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("overhead")
	// ErrResponse is the type of errors for responses with an unexpected status.
	ErrResponse = Errors.NewType("answer")
)

// Config describes a measurement.
type Config struct {
	GatewayBinary string
	// Rate is the number of plain requests per second, half of them direct and
	// half through the gateway.
	Rate int
	// Duration is the duration of each single measurement.
	Duration time.Duration
	// Tokens are the lengths of the measured streams in tokens.
	Tokens []int
}

// Result is the result of a measurement.
type Result struct {
	Direct, Gateway Latency
	// IdleCPU is the fraction of a core, and IdleBytes the resident memory, that
	// an idle gateway uses.
	IdleCPU   float64
	IdleBytes int64
	// CPUPerRequest is the gateway's CPU time per plain request.
	CPUPerRequest time.Duration
	// RequestsPerCore is the inverse of CPUPerRequest, in requests per second.
	RequestsPerCore float64
	// Streams holds the CPU time of a complete stream for each stream length.
	Streams []StreamPoint
	// CPUPerToken and CPUPerStream are the slope and the intercept of a linear
	// fit of Streams; RMSError is its root mean square error.
	CPUPerToken, CPUPerStream, RMSError time.Duration
}

// Latency holds the number of requests and their latency in milliseconds.
type Latency struct {
	Count         int64
	P50, P99, Max float64
}

// StreamPoint is the gateway's CPU time for a stream of the given length.
type StreamPoint struct {
	Tokens int
	CPU    time.Duration
}

const (
	service = "echo"
	model   = "writer"
	team    = "team-1"
	region  = "region-1"
	backend = "echo-1"
	// engineName is the name of the backend server that serves the model.
	engineName = "writer-1"
)

// Run starts one gateway and its stand-ins on loopback and measures the overhead
// of the gateway.
func Run(ctx context.Context, config Config) (*Result, error) {
	bed, err := testbed.Start(ctx, testbed.Config{
		Set: newSet(), GatewayBinary: config.GatewayBinary, GatewaysPerRegion: 1,
		Engine: func(_ *objects.BackendServer, e *engine.Config) {
			e.TokensPerSecond, e.PrefillTokensPerSecond = streamRate, streamRate
			e.BatchSlowdown = 0
		},
	})
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	gateway := bed.GatewaysOf(region)[0]
	m := &meter{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections}},
		gateway: gateway, directAddress: bed.PublishedSet().BackendServers[backend].Spec.Address,
	}
	defer m.client.CloseIdleConnections()
	return m.measure(ctx, config)
}

const (
	// streamRate is the prefill and output rate of the engine in tokens per
	// second.
	streamRate = 2000
	// maxConnections is the maximum number of idle connections to one address.
	maxConnections = 256
)

// newSet returns a configuration with one region, one service and one model.
func newSet() *objects.Set {
	set := objects.NewSet()
	set.Regions[region] = &objects.Region{Name: region}
	set.FailureDomains["domain-1"] = &objects.FailureDomain{Name: "domain-1", Spec: objects.FailureDomainSpec{Region: region}}
	set.Services[service] = &objects.Service{Name: service, Spec: objects.ServiceSpec{Calls: []objects.Call{
		{Method: http.MethodGet, PathPrefix: "/forecast", Idempotent: true, Seconds: 0.001},
	}}}
	set.Models[model] = &objects.Model{Name: model, Spec: objects.ModelSpec{
		Version: "1", MaxOutputTokens: 4096, SecondsPerToken: 1.0 / streamRate, SecondsPerPromptToken: 1.0 / streamRate,
	}}
	set.Policies["policy"] = &objects.Policy{Name: "policy", Spec: objects.PolicySpec{
		Algorithm: objects.AlgorithmExpectedCompletion, RetryBudget: 0.1,
		KeyWindow: objects.Duration(time.Minute), MaxConfigAge: objects.Duration(time.Minute), MaxQueue: objects.Duration(time.Second),
	}}
	set.Routes[service] = &objects.Route{Name: service, Spec: objects.RouteSpec{Service: service, Policy: "policy"}}
	set.Routes[model] = &objects.Route{Name: model, Spec: objects.RouteSpec{Model: model, Policy: "policy"}}
	set.Teams[team] = &objects.Team{Name: team, Spec: objects.TeamSpec{Home: region}}
	for name, spec := range map[string]objects.BackendServerSpec{
		backend:    {Service: service},
		engineName: {Model: model},
	} {
		spec.Address, spec.FailureDomain, spec.Concurrency, spec.Role = "127.0.0.1:1", "domain-1", 512, "serve"
		set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: spec}
	}
	set.Index()
	return set
}

// meter sends requests and measures the gateway's CPU time.
type meter struct {
	client        *http.Client
	gateway       *testbed.Gateway
	directAddress string
}

func (m *meter) measure(ctx context.Context, config Config) (*Result, error) {
	result := &Result{}
	result.IdleCPU, result.IdleBytes = m.measureIdle(ctx, config.Duration)
	// Warm up the connections, estimates and caches of both paths.
	if _, _, _, err := m.measurePlain(ctx, config.Rate, warmUp); err != nil {
		return nil, err
	}
	before := cpuTime(m.gateway.PID())
	direct, gateway, count, err := m.measurePlain(ctx, config.Rate, config.Duration)
	if err != nil {
		return nil, err
	}
	result.Direct, result.Gateway = latencyOf(direct), latencyOf(gateway)
	result.CPUPerRequest = (cpuTime(m.gateway.PID()) - before) / time.Duration(max(1, count))
	result.RequestsPerCore = float64(time.Second) / float64(max(1, result.CPUPerRequest))
	for _, tokens := range config.Tokens {
		cpu, err := m.measureStreams(ctx, tokens, config.Duration)
		if err != nil {
			return nil, err
		}
		result.Streams = append(result.Streams, StreamPoint{Tokens: tokens, CPU: cpu})
	}
	result.fitStreams()
	return result, nil
}

// warmUp is the duration of the warm-up, whose requests are not counted.
const warmUp = 2 * time.Second

// measurePlain sends requests to the plain service in an open loop, alternating
// between the backend server and the gateway. It returns the latencies of both
// paths, measured from the scheduled send time of each request, and the number
// of requests sent through the gateway.
func (m *meter) measurePlain(ctx context.Context, rate int, d time.Duration) (direct, gateway *hdrhistogram.Histogram, count int, err error) {
	direct, gateway = newHistogram(), newHistogram()
	var mu sync.Mutex
	var requests sync.WaitGroup
	var failed error
	start := time.Now()
	for i := 0; time.Since(start) < d && ctx.Err() == nil; i++ {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		waitUntil(due)
		url, histogram := "http://"+m.directAddress+"/forecast/1", direct
		if i%2 == 1 {
			url, histogram = "http://"+m.gateway.CallerAddress()+"/v1/services/"+service+"/forecast/1", gateway
			count++
		}
		requests.Go(func() {
			err := m.get(ctx, url)
			latency := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			// Higher latencies are recorded as the maximum of the histogram.
			_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicroseconds))
		})
	}
	requests.Wait()
	return direct, gateway, count, failed
}

// waitUntil waits until the given time. It spins during the last millisecond,
// because a timer may fire a millisecond late.
func waitUntil(until time.Time) {
	if d := time.Until(until) - time.Millisecond; d > 0 {
		time.Sleep(d)
	}
	for time.Now().Before(until) {
		runtime.Gosched()
	}
}

// maxLatencyMicroseconds is the maximum latency that the histograms record.
const maxLatencyMicroseconds = 10_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicroseconds, 3) }

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}
