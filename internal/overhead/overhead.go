// Package overhead measures what a gateway adds to a direct call: latency, and
// processor time by request and by token of a stream.
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
	// ErrAnswer says that a request got no or a wrong answer.
	ErrAnswer = Errors.NewType("answer")
)

// Config describes a measurement.
type Config struct {
	GatewayBinary string
	// Rate is the requests a second, half direct and half over the gateway.
	Rate int
	// Duration is the time for each point.
	Duration time.Duration
	// Tokens are the lengths of streams at which processor time is measured.
	Tokens []int
}

// Result holds the figures of a measurement.
type Result struct {
	Direct, Gateway Latency
	// IdleCPU is the share of a core, and IdleBytes the resident memory, of a
	// gateway that carries no requests.
	IdleCPU   float64
	IdleBytes int64
	// CPUPerRequest is the gateway's processor time for a plain request.
	CPUPerRequest time.Duration
	// RequestsPerCore is the inverse of CPUPerRequest.
	RequestsPerCore float64
	// Streams holds the processor time of a whole stream by its tokens.
	Streams []StreamPoint
	// CPUPerToken and CPUPerStream are the slope and the offset of the line
	// through Streams; Error is its root mean square error.
	CPUPerToken, CPUPerStream, Error time.Duration
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	Count         int64
	P50, P99, Max float64
}

// StreamPoint is the processor time of a stream of so many tokens.
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
	// engineName is the name of the one engine.
	engineName = "writer-1"
)

// Run starts one gateway with its stand-ins on loopback and measures.
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
		gateway: gateway, direct: bed.PublishedSet().BackendServers[backend].Spec.Address,
	}
	defer m.client.CloseIdleConnections()
	return m.measure(ctx, config)
}

const (
	// streamRate is the rate of the engine in tokens a second.
	streamRate = 2000
	// maxConnections bounds the connections kept to one address.
	maxConnections = 256
)

// newSet returns a configuration of one region with one service and one model.
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

// meter sends requests and takes the gateway's processor time.
type meter struct {
	client  *http.Client
	gateway *testbed.Gateway
	direct  string
}

func (m *meter) measure(ctx context.Context, config Config) (*Result, error) {
	result := &Result{}
	result.IdleCPU, result.IdleBytes = m.idle(ctx, config.Duration)
	// Connections, estimates and caches of both paths are warm first.
	if _, _, _, err := m.plain(ctx, config.Rate, warmUp); err != nil {
		return nil, err
	}
	before := cpuTime(m.gateway.PID())
	direct, gateway, count, err := m.plain(ctx, config.Rate, config.Duration)
	if err != nil {
		return nil, err
	}
	result.Direct, result.Gateway = latencyOf(direct), latencyOf(gateway)
	result.CPUPerRequest = (cpuTime(m.gateway.PID()) - before) / time.Duration(max(1, count))
	result.RequestsPerCore = float64(time.Second) / float64(max(1, result.CPUPerRequest))
	for _, tokens := range config.Tokens {
		cpu, err := m.streams(ctx, tokens, config.Duration)
		if err != nil {
			return nil, err
		}
		result.Streams = append(result.Streams, StreamPoint{Tokens: tokens, CPU: cpu})
	}
	result.fit()
	return result, nil
}

// warmUp is the time of the requests that don't count.
const warmUp = 2 * time.Second

// plain sends requests of the plain service in an open loop, in turn to the
// backend server and over the gateway. It returns the latencies of both, from
// the time at which each request was due, and the number over the gateway.
func (m *meter) plain(ctx context.Context, rate int, d time.Duration) (direct, gateway *hdrhistogram.Histogram, count int, err error) {
	direct, gateway = newHistogram(), newHistogram()
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	start := time.Now()
	for i := 0; time.Since(start) < d && ctx.Err() == nil; i++ {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		pause(due)
		url, into := "http://"+m.direct+"/forecast/1", direct
		if i%2 == 1 {
			url, into = "http://"+m.gateway.CallerAddress()+"/v1/services/"+service+"/forecast/1", gateway
			count++
		}
		all.Go(func() {
			err := m.get(ctx, url)
			taken := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			// Values above the highest are counted as the highest.
			_ = into.RecordValue(min(taken.Microseconds(), highestMicroseconds))
		})
	}
	all.Wait()
	return direct, gateway, count, failed
}

// pause waits until the time. It yields instead of sleeping right before it,
// because a timer may fire a millisecond late.
func pause(until time.Time) {
	if d := time.Until(until) - time.Millisecond; d > 0 {
		time.Sleep(d)
	}
	for time.Now().Before(until) {
		runtime.Gosched()
	}
}

// highestMicroseconds bounds the histograms.
const highestMicroseconds = 10_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicroseconds, 3) }

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}
