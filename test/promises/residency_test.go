package promises

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// configurationBound is the required time within which an accepted
// configuration is in force everywhere.
const configurationBound = 6 * time.Second

// runChatLoad sends chat requests of random teams to random entries for the
// duration d, from the given number of callers, and passes each reply to check.
func runChatLoad(bed *testbed.Bed, d time.Duration, callers int, check func(team, region, prompt string, r reply)) {
	teams := slices.Sorted(maps.Keys(bed.PublishedSet().Teams))
	names := slices.Sorted(maps.Keys(bed.Gateways))
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; time.Now().Before(end); i++ {
				team := teams[random.IntN(len(teams))]
				gateway := bed.Gateways[names[random.IntN(len(names))]]
				prompt := fmt.Sprintf("caller %d question %d", n, i)
				check(team, gateway.Region, prompt, send(client, gateway.CallerAddress(), chat(team, prompt)))
			}
		})
	}
	wg.Wait()
}

// requestsByRegion returns the requests that the engines and services of each
// region recorded.
func requestsByRegion(bed *testbed.Bed) map[string][]standin.RequestRecord {
	set := bed.PublishedSet()
	seen := map[string][]standin.RequestRecord{}
	add := func(server string, records []standin.RequestRecord) {
		region := set.RegionOf(set.BackendServers[server].Spec.FailureDomain)
		seen[region] = append(seen[region], records...)
	}
	for name, e := range bed.Engines {
		add(name, e.ReceivedRequests())
	}
	for name, s := range bed.Services {
		add(name, s.ReceivedRequests())
	}
	return seen
}

// Data of a team with a residency rule stays in its regions while the home
// region is short of capacity, callers use entries in other regions, and a rule
// is tightened under load. An entry in a forbidden region responds with 421 and
// lists permitted entries.
func TestPromiseResidency(t *testing.T) {
	bed := startBed(t, func(c *testbed.Config) {
		c.Engine = func(server *objects.BackendServer, e *engine.Config) {
			// Low capacity at home gives the router a reason to use other regions.
			e.Concurrency = 2
		}
	})
	const tightened = "peninsula-tours"
	before := bed.PublishedSet()
	var accepted time.Time
	var changed sync.WaitGroup
	changed.Go(func() {
		time.Sleep(2 * time.Second)
		err := bed.UpdateConfig(func(next *objects.Set) {
			next.ResidencyRules["mainland"] = &objects.ResidencyRule{
				Name: "mainland", Spec: objects.ResidencyRuleSpec{Regions: []string{"busan"}},
			}
		})
		if err != nil {
			t.Error(err)
		}
		accepted = time.Now()
	})
	runChatLoad(bed, 2*time.Second+configurationBound+2*time.Second, 24, func(team, region, prompt string, r reply) {
		permitted := before.Permits(team, region)
		switch {
		case r.err != nil:
			t.Errorf("%s at %s: %v", team, region, r)
		case !permitted && r.status != http.StatusMisdirectedRequest:
			t.Errorf("%s at %s: %v, want 421", team, region, r)
		case r.status == http.StatusMisdirectedRequest && len(r.problem.Entries) == 0:
			t.Errorf("%s at %s: 421 without entries", team, region)
		case r.ok() && !isComplete(r, prompt):
			t.Errorf("%s at %s: a wrong response: %v", team, region, r)
		}
	})
	changed.Wait()
	checkResidency(t, bed, before, accepted)
	if bed.PublishedSet().Permits(tightened, "saemangeum") {
		t.Error("the rule was not tightened")
	}
}

// checkResidency checks the requests that the backend servers recorded against
// the residency rules: the old rules until configurationBound after the change
// was accepted, the new ones from then on.
func checkResidency(t *testing.T, bed *testbed.Bed, before *objects.Set, accepted time.Time) {
	t.Helper()
	total := 0
	for region, records := range requestsByRegion(bed) {
		for _, seen := range records {
			total++
			rules := before
			if seen.At.After(accepted.Add(configurationBound)) {
				rules = bed.PublishedSet()
			}
			if !rules.Permits(seen.Team, region) {
				t.Errorf("data of %s was in %s %v after the change", seen.Team, region, seen.At.Sub(accepted))
			}
		}
	}
	if total == 0 {
		t.Error("the backend servers recorded no requests, so the test is inconclusive")
	}
}

// A receiver refuses hops that its own residency rules forbid, whoever sends
// them.
func TestPromiseResidencyHoldsAgainstForgedHops(t *testing.T) {
	bed := startBed(t, nil)
	client := newHopClient()
	for _, hop := range []string{"region", "owner"} {
		r := client.send(t, bed.GatewaysOf("busan")[0], forgedHop{
			hop: hop, visitedVMs: "jeju-entry-1", team: "jeju-rescue", body: chat("jeju-rescue", "forged").body,
		})
		if r.refusal == nil || r.refusal.Code != verdict.CodeResidency {
			t.Errorf("hop %s: refusal %v, want %s", hop, r.refusal, verdict.CodeResidency)
		}
	}
	for region, records := range requestsByRegion(bed) {
		if len(records) > 0 {
			t.Errorf("backend servers in %s recorded %v", region, records)
		}
	}
}
