package fairqueue

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func anyTeam(string) bool { return true }

// While all teams have work, each gets its weighted share of the work served,
// to within one item of each team, whatever the items cost.
func TestSharesFollowWeights(t *testing.T) {
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

// A queue survives any order of pushes, servings and removals with its totals
// right, and holds no team once it is empty.
func TestTotalsStayRight(t *testing.T) {
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
				it := rapid.SampledFrom(live).Draw(t, "gone")
				if !q.Remove(it) || q.Remove(it) {
					t.Fatal("an item is removed exactly once")
				}
				live = without(live, it)
			}
			if q.Len() != len(live) {
				t.Fatalf("length %d, want %d", q.Len(), len(live))
			}
			if len(live) == 0 && (len(q.teams) != 0 || q.cost != 0 || q.weight != 0) {
				t.Fatalf("an empty queue remembers %d teams, cost %v, weight %v", len(q.teams), q.cost, q.weight)
			}
		}
	})
}

func TestPriorityOrdersATeamButNotTheOthers(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	low := &Item{Team: "a", Priority: 2, Cost: 1}
	high := &Item{Team: "a", Priority: 0, Cost: 1}
	other := &Item{Team: "b", Priority: 2, Cost: 1}
	q.Push(low)
	q.Push(high)
	q.Push(other)
	is.Equal(q.Peek(anyTeam), high) // before the team's earlier, lower item
	q.Serve(high)
	is.Equal(q.Peek(anyTeam), other) // high priority of one team doesn't hold back another
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
