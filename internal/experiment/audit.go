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

// Violation is a violation of a guarantee.
type Violation struct {
	Guarantee string `json:"promise"`
	Detail    string `json:"detail"`
}

// Guarantees that an experiment checks.
const (
	GuaranteeResidency  = "residency"
	GuaranteeNoLoop     = "no-loop"
	GuaranteeOwnAnswer  = "own-answer"
	GuaranteeNotRun     = "not-run"
	GuaranteeAtMostOnce = "at-most-once"
)

// ServerRecords holds what the backend servers received and executed.
type ServerRecords struct {
	// ReceivedRequests holds the requests received, by region.
	ReceivedRequests map[string][]standin.RequestRecord
	// EngineExecutions counts the executions by engines, by request ID.
	EngineExecutions map[string]int
	// ServiceExecutions counts the executions by services, by idempotency key.
	ServiceExecutions map[string]int
}

// collectRecords collects the records of a deployment's simulated backend servers.
func collectRecords(bed *testbed.Bed) ServerRecords {
	r := ServerRecords{ReceivedRequests: map[string][]standin.RequestRecord{}, EngineExecutions: map[string]int{}, ServiceExecutions: map[string]int{}}
	set := bed.PublishedSet()
	regionOf := func(name string) string {
		return set.RegionOf(set.BackendServers[name].Spec.FailureDomain)
	}
	for name, e := range bed.Engines {
		r.ReceivedRequests[regionOf(name)] = append(r.ReceivedRequests[regionOf(name)], e.ReceivedRequests()...)
		addCounts(r.EngineExecutions, e.Executions())
	}
	for name, s := range bed.Services {
		r.ReceivedRequests[regionOf(name)] = append(r.ReceivedRequests[regionOf(name)], s.ReceivedRequests()...)
		addCounts(r.ServiceExecutions, s.Executions())
	}
	return r
}

func addCounts(sum, more map[string]int) {
	for key, n := range more {
		sum[key] += n
	}
}

// Audit compares the responses that callers received with the records of the
// backend servers, and returns the violations.
func Audit(set *objects.Set, outcomes []*Outcome, records ServerRecords) []Violation {
	var found []Violation
	add := func(guarantee, format string, args ...any) {
		found = append(found, Violation{guarantee, fmt.Sprintf(format, args...)})
	}
	for _, region := range slices.Sorted(maps.Keys(records.ReceivedRequests)) {
		for _, seen := range records.ReceivedRequests[region] {
			if seen.Team != "" && !set.Permits(seen.Team, region) {
				add(GuaranteeResidency, "request %s of team %s was received in region %s", seen.RequestID, seen.Team, region)
			}
		}
	}
	for key, n := range records.ServiceExecutions {
		if n > 1 {
			add(GuaranteeAtMostOnce, "key %s was executed %d times", key, n)
		}
	}
	for _, o := range outcomes {
		auditOutcome(o, records, add)
	}
	return found
}

func auditOutcome(o *Outcome, records ServerRecords, add func(guarantee, format string, args ...any)) {
	if o.Wrong != "" {
		add(GuaranteeOwnAnswer, "request %s: %s", o.RequestID, o.Wrong)
	}
	if o.Loop {
		add(GuaranteeNoLoop, "request %s passed through a gateway twice", o.RequestID)
	}
	ran := records.EngineExecutions[o.RequestID] > 0
	if o.IdempotencyKey != "" {
		ran = records.ServiceExecutions[o.IdempotencyKey] > 0
	}
	if o.Status != 0 && o.Ending() != EndingServed && o.Verdict == verdict.NotRun && ran {
		add(GuaranteeNotRun, "request %s was reported as not run (%s), but was executed", o.RequestID, o.Code)
	}
	if o.IdempotencyKey != "" && o.Ending() == EndingServed && !ran {
		add(GuaranteeOwnAnswer, "booking %s got a success response, but was not executed", o.IdempotencyKey)
	}
}
