// Package fairqueue shares slots among teams by weight.
//
// Queue implements weighted fair queueing over teams by virtual finish time.
// Items are ordered by priority within a team and among the teams within their
// shares. Gate adds slots, blocking acquisition and the expected wait.
package fairqueue

import (
	"container/heap"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Priorities is the number of priority classes within a team.
const Priorities = 3

// Item is one request in a Queue.
type Item struct {
	Team string
	// Weight is the weight of the team; zero or less means 1.
	Weight float64
	// Priority is the priority class; 0 is served first.
	Priority int
	// Cost is the expected service time in seconds.
	Cost float64
	// Rank orders the items of a team within a class; 0 is served first. Items of the
	// same rank are served by Due, and those with the same Due in the order of arrival.
	Rank int
	Due  clock.Instant
	// Value belongs to the caller.
	Value any

	waiter *waiter
	// number is the item's place in the order of arrival, and index its place in the heap
	// plus one; zero means not queued.
	number uint64
	index  int
}

// itemHeap holds the queued items of a team and class; the first one is served next.
type itemHeap []*Item

var _ heap.Interface = (*itemHeap)(nil)

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	switch {
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.Due != b.Due:
		return a.Due < b.Due
	default:
		return a.number < b.number
	}
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	*h = append(*h, it)
	it.index = len(*h)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.index = 0
	return it
}

// Queue is a weighted fair queue. The state of a team is kept after its last
// item is removed, until the whole queue is empty. Queue is not safe for
// concurrent use.
type Queue struct {
	// ByStart means that items are served by First instead of Peek. It is set before the
	// first Push.
	ByStart bool

	teams map[string]*teamQueue
	// pushed is the number of items pushed so far.
	pushed uint64
	// backlogged lists the teams with queued items. If ByStart is set, it is a heap.
	backlogged teamHeap
	// virtualTime is the start tag of the item served last.
	virtualTime float64
	length      int
	cost        classCosts
	weight      float64 // total weight of the backlogged teams
}

type teamQueue struct {
	name   string
	weight float64
	// place is the team's place in the heap of backlogged teams, and since the number of the
	// item by which it got there.
	place int
	since uint64
	// startTag is the virtual start time of the team's next item.
	startTag float64
	items    [Priorities]itemHeap
	count    int
	cost     classCosts
}

// teamHeap is a heap of teams by start tag, and by the time since when they are backlogged.
type teamHeap []*teamQueue

var _ heap.Interface = (*teamHeap)(nil)

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	return h[i].startTag < h[j].startTag || h[i].startTag == h[j].startTag && h[i].since < h[j].since
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.place = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// classCosts is the total cost of queued items per priority class.
type classCosts [Priorities]float64

// upTo returns the total cost of the class and all classes served before it.
func (c *classCosts) upTo(class int) float64 {
	sum := 0.0
	for _, cost := range c[:class+1] {
		sum += cost
	}
	return sum
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{teams: map[string]*teamQueue{}} }

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.length }

// Push appends an item to its team's queue.
func (q *Queue) Push(it *Item) {
	t := q.teams[it.Team]
	if t == nil {
		t = &teamQueue{name: it.Team}
		q.teams[it.Team] = t
	}
	if t.count == 0 {
		t.weight = effectiveWeight(it.Weight)
		t.startTag = max(t.startTag, q.virtualTime)
		t.since = q.pushed
		if q.ByStart {
			heap.Push(&q.backlogged, t)
		} else {
			q.backlogged = append(q.backlogged, t)
		}
		q.weight += t.weight
	}
	class := clampPriority(it.Priority)
	q.pushed++
	it.number = q.pushed
	heap.Push(&t.items[class], it)
	t.count++
	t.cost[class] += it.Cost
	q.length++
	q.cost[class] += it.Cost
}

// Eligibility is whether, and in which order, a team may currently get a slot.
type Eligibility int

const (
	// Ineligible teams get no slot for now.
	Ineligible Eligibility = iota
	// AboveShare teams are served in fair order, regardless of priority.
	AboveShare
	// WithinShare teams are served by priority first.
	WithinShare
)

// Peek returns the next item, or nil if no team with queued items is eligible.
// Items of teams within their shares are ordered by priority, and in fair order
// within a class. Items of teams above their shares count as the lowest class,
// so that a team can't gain slots by marking all its requests as urgent.
func (q *Queue) Peek(eligibility func(team string) Eligibility) *Item {
	var best *Item
	bestClass, bestTag := 0, 0.0
	for _, t := range q.backlogged {
		head := t.head()
		class, tag := clampPriority(head.Priority), t.startTag+head.Cost/t.weight
		isFirst := func() bool {
			return best == nil || class < bestClass || class == bestClass && tag < bestTag
		}
		if !isFirst() {
			continue
		}
		switch eligibility(t.name) {
		case Ineligible:
			continue
		case AboveShare:
			class = Priorities - 1
		case WithinShare:
		}
		if isFirst() {
			best, bestClass, bestTag = head, class, tag
		}
	}
	return best
}

// First returns the first item of the team with the lowest start tag, or nil if the queue is
// empty. A team of low weight that has used less than its share doesn't wait for teams of high
// weight, as it does by finish tag.
func (q *Queue) First() *Item {
	if len(q.backlogged) == 0 {
		return nil
	}
	return q.backlogged[0].head()
}

// Serve removes a queued item and charges its cost to its team.
func (q *Queue) Serve(it *Item) {
	t := q.teams[it.Team]
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.startTag += it.Cost / t.weight
	if q.ByStart {
		heap.Fix(&q.backlogged, t.place)
	}
	q.Remove(it)
}

// Remove removes an item without charging its team. It reports whether the item
// was queued.
func (q *Queue) Remove(it *Item) bool {
	t := q.teams[it.Team]
	if t == nil {
		return false
	}
	class := clampPriority(it.Priority)
	if i := it.index - 1; i < 0 || i >= len(t.items[class]) || t.items[class][i] != it {
		return false
	}
	heap.Remove(&t.items[class], it.index-1)
	t.count--
	t.cost[class] -= it.Cost
	q.length--
	q.cost[class] -= it.Cost
	if t.count == 0 {
		q.deactivate(t)
	}
	return true
}

// WorkAhead returns the expected service time, in seconds, of the items that
// would be served before a new item of the team with the priority.
func (q *Queue) WorkAhead(team string, weight float64, priority int) float64 {
	if q.length == 0 {
		return 0
	}
	class, own := clampPriority(priority), 0.0
	if t := q.teams[team]; t != nil {
		own = t.cost.upTo(class)
	}
	return q.workAhead(team, weight, class, own, own == 0)
}

// WorkAheadOfItem is WorkAhead of a new item of the lowest class that is served after items of
// its own team with the total cost own.
func (q *Queue) WorkAheadOfItem(team string, weight, own float64) float64 {
	if q.length == 0 {
		return 0
	}
	t := q.teams[team]
	return q.workAhead(team, weight, Priorities-1, own, t == nil || t.count == 0)
}

// workAhead is WorkAhead of an item that is served after the work own of its team. Joins means
// that the team's weight is not yet part of the total.
func (q *Queue) workAhead(team string, weight float64, class int, own float64, joins bool) float64 {
	start, total := q.virtualTime, q.weight
	weight = effectiveWeight(weight)
	if t := q.teams[team]; t != nil {
		start = max(t.startTag, q.virtualTime)
	}
	if joins {
		total += weight
	}
	// Other teams are served until their tags reach the new item's start tag.
	tag := start + own/weight - q.virtualTime
	return min(q.cost.upTo(class), tag*total)
}

// deactivate removes a team from the backlogged teams. Its start tag is kept
// until the whole queue is empty, so that a team can't reset its charges by
// emptying its own queue.
func (q *Queue) deactivate(t *teamQueue) {
	if q.ByStart {
		heap.Remove(&q.backlogged, t.place)
	} else {
		i := slices.Index(q.backlogged, t)
		q.backlogged = slices.Delete(q.backlogged, i, i+1)
	}
	q.weight -= t.weight
	t.items = [Priorities]itemHeap{}
	t.cost = classCosts{}
	if q.length == 0 {
		clear(q.teams)
		q.virtualTime, q.cost, q.weight = 0, classCosts{}, 0
	}
}

func (t *teamQueue) head() *Item {
	for class := range t.items {
		if len(t.items[class]) > 0 {
			return t.items[class][0]
		}
	}
	return nil
}

func effectiveWeight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

func clampPriority(priority int) int { return min(max(priority, 0), Priorities-1) }
