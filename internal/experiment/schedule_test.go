package experiment

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

func seconds(n float64) objects.Duration { return objects.Duration(n * float64(time.Second)) }

func testSet() *objects.Set {
	set := objects.NewSet()
	set.Teams["gulls"] = &objects.Team{Name: "gulls", Spec: objects.TeamSpec{Home: "jeju", Weight: 3}}
	set.Teams["terns"] = &objects.Team{Name: "terns", Spec: objects.TeamSpec{Home: "jeju", Residency: "home"}}
	set.ResidencyRules["home"] = &objects.ResidencyRule{Name: "home", Spec: objects.ResidencyRuleSpec{Regions: []string{"jeju"}}}
	set.Index()
	return set
}

func testSpec() *Spec {
	return &Spec{Name: "t", Seed: 7, Duration: seconds(100), Load: []RequestClass{{
		Class: "verdict", Kind: KindChat, Target: "m", Tokens: 10, Spread: 0.5,
		PrefixTokens: 50, Prefixes: 3, Timeout: seconds(1),
		PerSecond: map[string]float64{"jeju": 10},
	}}, Profile: map[string][]ProfilePoint{"jeju": {{Factor: 1, Ramp: true}, {At: seconds(100), Factor: 3}}}}
}

func TestArrivalsDependOnlyOnSeedAndClass(t *testing.T) {
	is := is.New(t)
	spec := testSpec()
	first := Schedule(spec, testSet())
	spec.Load = append(spec.Load, RequestClass{
		Class: "greedy", Kind: KindBooking, Path: "/b", Timeout: seconds(1),
		PerSecond: map[string]float64{"jeju": 50},
	})
	var again []Arrival
	for _, a := range Schedule(spec, testSet()) {
		if a.Call.Class == "verdict" {
			again = append(again, a)
		}
	}
	is.True(reflect.DeepEqual(first, again))
	spec.Seed++
	is.True(!reflect.DeepEqual(first, Schedule(spec, testSet())[:len(first)]))
}

func TestArrivalsFollowRateAndTeamWeights(t *testing.T) {
	is := is.New(t)
	all := Schedule(testSpec(), testSet())
	firstHalf, gulls := 0, 0
	for _, a := range all {
		if a.At < 50*time.Second {
			firstHalf++
		}
		if a.Call.Team == "gulls" {
			gulls++
		}
		is.True(a.Call.Tokens >= 5 && a.Call.Tokens <= 15)
		is.Equal(len(a.Call.Prefix), 200)
	}
	within := func(n int, want float64) bool { return float64(n) > 0.9*want && float64(n) < 1.1*want }
	is.True(within(len(all), 2000))   // 10 to 30 per second
	is.True(within(firstHalf, 750))   // 10 to 20 per second
	is.True(within(gulls, 0.75*2000)) // weight 3 of 4
	is.Equal(profileFactor(testSpec().Profile["jeju"], 50*time.Second), 2.0)
}
