package experiment

import (
	"fmt"
	"maps"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Violation is a broken promise.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// The promises that an experiment checks.
const (
	PromiseResidency  = "residency"
	PromiseNoLoop     = "no-loop"
	PromiseOwnAnswer  = "own-answer"
	PromiseNotRun     = "not-run"
	PromiseAtMostOnce = "at-most-once"
)

// Records are what the backend servers saw and did.
type Records struct {
	// Seen holds the requests by region.
	Seen map[string][]standin.RequestRecord
	// Ran holds how often each request ID was run by an engine.
	Ran map[string]int
	// Executions holds how often each idempotency key was carried out.
	Executions map[string]int
}

// recordsOf collects the records of a deployment's stand-ins.
func recordsOf(bed *testbed.Bed) Records {
	r := Records{Seen: map[string][]standin.RequestRecord{}, Ran: map[string]int{}, Executions: map[string]int{}}
	set := bed.PublishedSet()
	regionOf := func(name string) string {
		return set.RegionOf(set.BackendServers[name].Spec.FailureDomain)
	}
	for name, e := range bed.Engines {
		r.Seen[regionOf(name)] = append(r.Seen[regionOf(name)], e.ReceivedRequests()...)
		addCounts(r.Ran, e.Executions())
	}
	for name, s := range bed.Services {
		r.Seen[regionOf(name)] = append(r.Seen[regionOf(name)], s.ReceivedRequests()...)
		addCounts(r.Executions, s.Executions())
	}
	return r
}

func addCounts(sum, more map[string]int) {
	for key, n := range more {
		sum[key] += n
	}
}

// Audit compares what callers were told with what the backend servers did.
func Audit(set *objects.Set, outcomes []*Outcome, records Records) []Violation {
	var found []Violation
	add := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, fmt.Sprintf(format, args...)})
	}
	for _, region := range slices.Sorted(maps.Keys(records.Seen)) {
		for _, seen := range records.Seen[region] {
			if seen.Team != "" && !set.Permits(seen.Team, region) {
				add(PromiseResidency, "request %s of team %s was seen in %s", seen.RequestID, seen.Team, region)
			}
		}
	}
	for key, n := range records.Executions {
		if n > 1 {
			add(PromiseAtMostOnce, "key %s was carried out %d times", key, n)
		}
	}
	for _, o := range outcomes {
		auditOutcome(o, records, add)
	}
	return found
}

func auditOutcome(o *Outcome, records Records, add func(promise, format string, args ...any)) {
	if o.Wrong != "" {
		add(PromiseOwnAnswer, "request %s: %s", o.RequestID, o.Wrong)
	}
	if o.Loop {
		add(PromiseNoLoop, "request %s passed a gateway twice", o.RequestID)
	}
	ran := records.Ran[o.RequestID] > 0
	if o.Key != "" {
		ran = records.Executions[o.Key] > 0
	}
	if o.Status != 0 && o.Ending() != EndingServed && o.Verdict == verdict.NotRun && ran {
		add(PromiseNotRun, "request %s was told not run (%s), and ran", o.RequestID, o.Code)
	}
	if o.Key != "" && o.Ending() == EndingServed && !ran {
		add(PromiseOwnAnswer, "booking %s was answered, and did not run", o.Key)
	}
}
