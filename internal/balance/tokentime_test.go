package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
)

// crowdedRoutes are an urgent route with short prompts and long responses, and the least urgent
// one, with long prompts.
func crowdedRoutes() (urgent, least *ingress.Route, service *ingress.Service, table *ingress.Table) {
	service = &ingress.Service{Name: "llm", Engine: &ingress.Engine{Slots: 128, MemoryTokens: 585_000, EventTokens: 8}}
	to := []ingress.WeightedService{{Service: service.Name, Weight: 1}}
	urgent = &ingress.Route{Name: "review", Kind: ingress.Stream, Timeout: 12 * time.Second, LatencyObjective: time.Second, TrafficSplit: to}
	least = &ingress.Route{Name: "explain", Kind: ingress.Stream, Timeout: 15 * time.Second, LatencyObjective: 2500 * time.Millisecond, Priority: 2, TrafficSplit: to}
	table = ingress.NewTable(1, []*ingress.Route{urgent, least}, []*ingress.Service{service}, ingress.Limits{})
	return urgent, least, service, table
}

// Guards against engines that take requests of the least urgent kind until no long response ends
// before its deadline: pattern of a burst of long prompts after two fifths of the engines crashed.
func TestSlowEngineTakesOnlyUrgentRequests(t *testing.T) {
	is := is.New(t)
	urgent, least, service, table := crowdedRoutes()
	b := New("a", "a-1", Bounds{}, DefaultTuning, nil)
	for range 500 {
		b.RecordOutput(urgent, &Demand{MaxOutputTokens: 700})
		b.RecordOutput(least, &Demand{MaxOutputTokens: 300})
	}
	longest := b.MaxTokenMs(least, service, table.RoutesTo(service.Name))
	is.True(longest > 13 && longest < 14) // 0.8 x 12 s / 700 tokens
	is.Equal(b.MaxTokenMs(urgent, service, table.RoutesTo(service.Name)), 0.0)
	for _, c := range []struct {
		route   *ingress.Route
		active  float64
		tokenMs float64
		slow    bool
	}{{least, 20, 6, false}, {least, 120, 20, true}, {urgent, 120, 20, false}} {
		d := Demand{PromptTokens: 1000, MaxOutputTokens: 300}
		q := Query{Now: clock.Instant(time.Hour), Route: c.route, Service: service, Demand: &d, Remaining: c.route.Timeout, MaxTokenMs: b.MaxTokenMs(c.route, service, table.RoutesTo(service.Name))}
		e := b.engineEstimate(&q, engineState{totalUsage: totalUsage{active: c.active, tokenMs: c.tokenMs}, slots: 128, memoryTotal: 585_000, slowdown: 1}, 0)
		is.Equal(b.tooSlow(&q, &e), c.slow)
	}
}

// Guards against requests that wait beyond their objectives, and against urgent ones that are
// refused by estimates which are too high for them.
func TestLeastUrgentRequestsWaitUpToTheirObjective(t *testing.T) {
	is := is.New(t)
	urgent, least, _, _ := crowdedRoutes()
	const patience = 10 * time.Second
	is.Equal(MaxQueueWait(urgent, 0, patience), patience)
	is.Equal(MaxQueueWait(least, 0, patience), least.LatencyObjective)
	is.Equal(MaxQueueWait(least, time.Second, patience), 1500*time.Millisecond)
	is.Equal(MaxQueueWait(least, 0, time.Second), time.Second)
}

// Guards against a long output that follows single responses.
func TestLongOutputIsAHighQuantile(t *testing.T) {
	is := is.New(t)
	urgent, _, service, table := crowdedRoutes()
	b := New("a", "a-1", Bounds{}, DefaultTuning, nil)
	for n := range 4000 {
		b.RecordOutput(urgent, &Demand{MaxOutputTokens: 100 + n%100}) // evenly from 100 to 199
	}
	long := decodeShare * 12_000 / b.maxTokenMs(table.RoutesTo(service.Name))
	is.True(long > 175 && long < 205)
}
