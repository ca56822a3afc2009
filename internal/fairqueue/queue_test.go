package fairqueue

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// anyTeam has all teams served in fair order, regardless of priority.
func anyTeam(string) Eligibility { return AboveShare }

// Guards against unfair shares: while all teams are backlogged, the normalized
// service of two teams differs by at most one item of each, at any item costs.
func TestServiceIsProportionalToWeights(t *testing.T) {
	const maxCost = 2.0
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 6).Draw(t, "weights")
		add := func(team int) {
			cost := rapid.Float64Range(0.1, maxCost).Draw(t, "cost")
			q.Push(&Item{Team: fmt.Sprint(team), Weight: weights[team], Cost: cost})
		}
		served := make([]float64, len(weights))
		for team := range weights {
			add(team)
			add(team)
		}
		for range 200 {
			it := q.Peek(anyTeam)
			q.Serve(it)
			var team int
			_, _ = fmt.Sscan(it.Team, &team)
			served[team] += it.Cost
			add(team)
		}
		for a := range weights {
			for b := range weights {
				gap := served[a]/weights[a] - served[b]/weights[b]
				if bound := maxCost/weights[a] + maxCost/weights[b]; gap > bound+1e-9 {
					t.Fatalf("teams %d and %d: normalized service differs by %v, bound %v", a, b, gap, bound)
				}
			}
		}
	})
}

// Checks the totals after any sequence of Push, Serve and Remove, and that an
// empty queue keeps no team state.
func TestTotalsAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		var live []*Item
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 2).Draw(t, "op"); {
			case op == 0 || len(live) == 0:
				it := &Item{Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), Cost: 1,
					Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
				q.Push(it)
				live = append(live, it)
			case op == 1:
				it := q.Peek(anyTeam)
				q.Serve(it)
				live = without(live, it)
			default:
				it := rapid.SampledFrom(live).Draw(t, "removed")
				if !q.Remove(it) || q.Remove(it) {
					t.Fatal("Remove did not remove the item exactly once")
				}
				live = without(live, it)
			}
			if q.Len() != len(live) {
				t.Fatalf("length %d, want %d", q.Len(), len(live))
			}
			if len(live) == 0 && (len(q.teams) != 0 || q.cost != (classCosts{}) || q.weight != 0) {
				t.Fatalf("empty queue keeps %d teams, cost %v, weight %v", len(q.teams), q.cost, q.weight)
			}
		}
	})
}

func TestPriorityOfTeamsAboveShareAppliesWithinTheTeam(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	low := &Item{Team: "a", Priority: 2, Cost: 1}
	high := &Item{Team: "a", Priority: 0, Cost: 1}
	other := &Item{Team: "b", Priority: 2, Cost: 1}
	q.Push(low)
	q.Push(high)
	q.Push(other)
	is.Equal(q.Peek(anyTeam), high) // before the team's earlier item of a lower class
	q.Serve(high)
	is.Equal(q.Peek(anyTeam), other) // another team isn't delayed by the high priority
}

// Guards against a team above its share that gains slots by marking its requests
// as urgent; teams within their shares are ordered by priority.
func TestPriorityOrdersTeamsWithinShare(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	low := &Item{Team: "early", Priority: 2, Cost: 1}
	greedy := &Item{Team: "greedy", Priority: 0, Cost: 1}
	urgent := &Item{Team: "urgent", Priority: 0, Cost: 10}
	for _, it := range []*Item{low, greedy, urgent} {
		q.Push(it)
	}
	eligibility := func(team string) Eligibility {
		if team == "greedy" {
			return AboveShare
		}
		return WithinShare
	}
	is.Equal(q.Peek(eligibility), urgent) // before lower classes, at any cost
	q.Serve(urgent)
	is.Equal(q.Peek(eligibility), low) // the greedy team's item counts as the lowest class
}

// A new item waits only for items of its own and of higher priority classes.
func TestWorkAheadExcludesLowerClasses(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for class := range Priorities {
		q.Push(&Item{Team: "a", Priority: class, Cost: 1})
	}
	for class := range Priorities {
		is.Equal(q.cost.upTo(class), float64(class+1))
		is.True(q.WorkAhead("b", 1, class) <= float64(class+1))
	}
}

func without(list []*Item, it *Item) []*Item {
	var out []*Item
	for _, other := range list {
		if other != it {
			out = append(out, other)
		}
	}
	return out
}

func BenchmarkServeAmong3300Teams(b *testing.B) {
	q := NewQueue()
	items := make([]Item, 3300)
	for i := range items {
		items[i] = Item{Team: fmt.Sprint(i), Cost: 1}
		q.Push(&items[i])
	}
	b.ReportAllocs()
	for b.Loop() {
		it := q.Peek(anyTeam)
		q.Serve(it)
		q.Push(it)
	}
}
