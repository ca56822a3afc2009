package ingress

import (
	"testing"

	"github.com/matryer/is"
)

func testTable() *Table {
	return NewTable(7, []*Route{
		{Name: "all", Host: "a.example", Prefix: "/x/", TrafficSplit: []WeightedService{{Service: "one", Weight: 1}}},
		{Name: "part", Host: "A.example", Prefix: "/x/y/", HomeRegions: []string{"north", "west"}},
		{Name: "other", Host: "a.example", Prefix: "/z/", HomeRegions: []string{"west", "south"}},
		{Name: "free", Host: "b.example", Prefix: "/x/"},
	}, []*Service{{Name: "one"}}, Limits{})
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	c := testTable()
	is.Equal(c.Match("a.example", "/x/1").Name, "all")
	is.Equal(c.Match("a.EXAMPLE:8080", "/x/y/1").Name, "part")
	is.True(c.Match("a.example", "/x") == nil)
	is.True(c.Match("c.example", "/x/1") == nil)
}

func TestHomeRegionsWithoutCommonRegion(t *testing.T) {
	is := is.New(t)
	c := NewTable(1, []*Route{
		{Host: "a", Prefix: "/1/", HomeRegions: []string{"north", "west"}},
		{Host: "a", Prefix: "/2/", HomeRegions: []string{"north", "west"}},
		{Host: "a", Prefix: "/3/", HomeRegions: []string{"south"}},
	}, nil, Limits{})
	homes, restricted := c.HomeRegions("a")
	is.True(restricted)
	is.Equal(homes, []string{"north", "west"})
}

func TestHomeRegionsWithCommonRegion(t *testing.T) {
	is := is.New(t)
	homes, restricted := testTable().HomeRegions("a.example")
	is.True(restricted)
	is.Equal(homes, []string{"west"})
	_, restricted = testTable().HomeRegions("b.example")
	is.True(!restricted)
}

func TestPickServiceByWeight(t *testing.T) {
	is := is.New(t)
	r := &Route{TrafficSplit: []WeightedService{{"a", 90}, {"b", 10}}}
	is.Equal(r.PickService(0), "a")
	is.Equal(r.PickService(0.89), "a")
	is.Equal(r.PickService(0.91), "b")
	is.Equal(r.PickService(0.9999), "b")
	is.Equal((&Route{}).PickService(0.5), "")
}

func TestUnknownKindIsNotIdempotent(t *testing.T) {
	is := is.New(t)
	is.True(!(&Route{}).Idempotent())
	is.True(!(&Route{Kind: Stream}).Idempotent())
	is.True((&Route{Kind: Stream, Resumable: true}).Idempotent())
	is.True((&Route{Kind: Safe}).Idempotent())
}

func TestRelativePriorityWithinService(t *testing.T) {
	is := is.New(t)
	route := func(service string, priority int) *Route {
		return &Route{Priority: priority, TrafficSplit: []WeightedService{{Service: service, Weight: 1}}}
	}
	routes := []*Route{route("writer", 0), route("writer", 2), route("writer", 7), route("writer", 2), route("desk", 2), {}}
	NewTable(1, routes, nil, Limits{})
	var got []float64
	for _, r := range routes {
		got = append(got, r.RelativePriority)
	}
	is.Equal(got, []float64{0, 0.5, 1, 0.5, 0.5, 0.5})
}
