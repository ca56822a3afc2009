package hopguard

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// Whatever hops gateways choose, in whatever order, a request visits no VM
// twice and ends after at most three VMs.
func TestNoRequestLoopsOnAnyWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:vms]
		hops := []pipeline.Hop{pipeline.HopEntry, pipeline.HopOwner, pipeline.HopRegion, "forged"}
		trail := []string{}
		at, hop := rapid.SampledFrom(names).Draw(t, "entry"), pipeline.HopEntry
		for Acceptable(hop, trail, at) {
			if slices.Contains(trail, at) {
				t.Fatalf("%s handled the request twice: %v", at, trail)
			}
			trail = append(trail, at)
			if len(trail) > maxTrail+1 {
				t.Fatalf("the trail grew to %v", trail)
			}
			at = rapid.SampledFrom(names).Draw(t, "next")
			hop = rapid.SampledFrom(hops).Draw(t, "hop")
		}
	})
}

func TestForgedTrailsAreRefused(t *testing.T) {
	cases := []struct {
		hop   pipeline.Hop
		trail []string
		want  bool
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
		if got := Acceptable(c.hop, c.trail, "self"); got != c.want {
			t.Errorf("Acceptable(%q, %v) = %v, want %v", c.hop, c.trail, got, c.want)
		}
	}
}
