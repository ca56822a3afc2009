package experiment

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Load of a demonstration. Rates are in requests per second and region.
const (
	demoChatRate    = 4
	demoServiceRate = 4
	demoTokens      = 24
	demoTimeout     = 10 * time.Second
)

// DemoSpec returns an experiment that sends streamed model requests, forecasts
// and bookings from every region to every model and service.
func DemoSpec(deployment string, duration time.Duration, seed uint64) (*Spec, error) {
	set, err := objects.Load(deployment)
	if err != nil {
		return nil, err
	}
	spec := &Spec{
		Name: "demo", Deployment: deployment, Seed: seed,
		Duration: objects.Duration(duration),
		Links:    LinkSpec{Jitter: objects.Duration(5 * time.Millisecond), Loss: 0.001},
		Policies: []Variant{{Name: "as published"}},
	}
	for _, name := range slices.Sorted(maps.Keys(set.Models)) {
		spec.Load = append(spec.Load, RequestClass{
			Class: name, Kind: KindChat, Target: name, Tokens: demoTokens, Spread: 0.5, Stream: true,
			PrefixTokens: 200, Prefixes: 8, Timeout: objects.Duration(demoTimeout),
			PerSecond: uniformRates(set, demoChatRate),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(set.Services)) {
		for _, call := range set.Services[name].Spec.Calls {
			spec.Load = append(spec.Load, demoCall(set, name, call))
		}
	}
	return spec, nil
}

func demoCall(set *objects.Set, service string, call objects.Call) RequestClass {
	kind := KindForecast
	if !call.Idempotent {
		kind = KindBooking
	}
	return RequestClass{
		Class: call.Method + " " + call.PathPrefix, Kind: kind, Target: service,
		Path: call.PathPrefix + "/today", Timeout: objects.Duration(demoTimeout),
		PerSecond: uniformRates(set, demoServiceRate),
	}
}

// uniformRates returns the same rate for every region of the set.
func uniformRates(set *objects.Set, perSecond float64) map[string]float64 {
	rates := map[string]float64{}
	for region := range set.Regions {
		rates[region] = perSecond
	}
	return rates
}

// RunDemo runs a demonstration with the policies that the deployment defines, and
// returns the outcome of each request too.
func (r *Runner) RunDemo(ctx context.Context, spec *Spec) (*Run, []*Outcome, error) {
	return r.runPolicy(ctx, spec, spec.Policies[0])
}
