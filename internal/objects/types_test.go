package objects

import (
	"testing"

	"github.com/matryer/is"
)

func TestPermitsFollowsTheResidencyRule(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	s.ResidencyRules["kr"] = &ResidencyRule{Name: "kr", Spec: ResidencyRuleSpec{Regions: []string{"jeju"}}}
	s.Teams["bound"] = &Team{Name: "bound", Spec: TeamSpec{Residency: "kr"}}
	s.Teams["free"] = &Team{Name: "free"}
	s.Teams["dangling"] = &Team{Name: "dangling", Spec: TeamSpec{Residency: "gone"}}
	s.Index()
	is.True(s.Permits("bound", "jeju"))
	is.True(!s.Permits("bound", "busan"))
	is.True(s.Permits("free", "busan"))
	is.True(!s.Permits("dangling", "jeju")) // a rule that doesn't exist permits no region
	is.True(!s.Permits("unknown", "jeju"))
}
