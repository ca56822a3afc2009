package hopguard

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// For any sequence of hops, a request visits no VM twice and at most three VMs.
func TestAnyHopSequenceIsLoopFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:vms]
		hops := []pipeline.Hop{pipeline.HopEntry, pipeline.HopOwner, pipeline.HopRegion, "forged"}
		visited := []string{}
		vm, hop := rapid.SampledFrom(names).Draw(t, "entry"), pipeline.HopEntry
		for Acceptable(hop, visited, vm) {
			if slices.Contains(visited, vm) {
				t.Fatalf("%s handled the request twice: %v", vm, visited)
			}
			visited = append(visited, vm)
			if len(visited) > maxVisited+1 {
				t.Fatalf("the request visited too many VMs: %v", visited)
			}
			vm = rapid.SampledFrom(names).Draw(t, "next")
			hop = rapid.SampledFrom(hops).Draw(t, "hop")
		}
	})
}

func TestInvalidVisitedListsAreRefused(t *testing.T) {
	cases := []struct {
		hop     pipeline.Hop
		visited []string
		want    bool
	}{
		{pipeline.HopEntry, nil, true},
		{pipeline.HopEntry, []string{"a"}, false},
		{pipeline.HopOwner, []string{"a"}, true},
		{pipeline.HopOwner, []string{"a", "b"}, false},
		{pipeline.HopRegion, []string{"a"}, true},
		{pipeline.HopRegion, []string{"a", "b"}, true},
		{pipeline.HopRegion, []string{"a", "b", "c"}, false},
		{pipeline.HopRegion, []string{"a", "a"}, false},
		{pipeline.HopRegion, []string{"self"}, false},
		{pipeline.HopRegion, nil, false},
		{"other", []string{"a"}, false},
	}
	for _, c := range cases {
		if got := Acceptable(c.hop, c.visited, "self"); got != c.want {
			t.Errorf("Acceptable(%q, %v) = %v, want %v", c.hop, c.visited, got, c.want)
		}
	}
}
