// Package fairqueue shares slots among teams by weight.
//
// Queue implements weighted fair queueing over teams by virtual finish time.
// Items are ordered by priority within a team and among the teams within their
// shares. Gate adds slots, blocking acquisition and the expected wait.
package fairqueue

import "slices"

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

	waiter *waiter
}

// Queue is a weighted fair queue. The state of a team is kept after its last
// item is removed, until the whole queue is empty. Queue is not safe for
// concurrent use.
type Queue struct {
	teams map[string]*teamQueue
	// backlogged lists the teams with queued items.
	backlogged []*teamQueue
	// virtualTime is the start tag of the item served last.
	virtualTime float64
	length      int
	cost        classCosts
	weight      float64 // total weight of the backlogged teams
}

type teamQueue struct {
	name   string
	weight float64
	// startTag is the virtual start time of the team's next item.
	startTag float64
	items    [Priorities][]*Item
	count    int
	cost     classCosts
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
		q.backlogged = append(q.backlogged, t)
		q.weight += t.weight
	}
	class := clampPriority(it.Priority)
	t.items[class] = append(t.items[class], it)
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
	bestClass, bestFinish := 0, 0.0
	for _, t := range q.backlogged {
		head := t.head()
		class, finish := clampPriority(head.Priority), t.startTag+head.Cost/t.weight
		isFirst := func() bool {
			return best == nil || class < bestClass || class == bestClass && finish < bestFinish
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
			best, bestClass, bestFinish = head, class, finish
		}
	}
	return best
}

// Serve removes a queued item and charges its cost to its team.
func (q *Queue) Serve(it *Item) {
	t := q.teams[it.Team]
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.startTag += it.Cost / t.weight
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
	i := slices.Index(t.items[class], it)
	if i < 0 {
		return false
	}
	t.items[class] = slices.Delete(t.items[class], i, i+1)
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
	class := clampPriority(priority)
	own, start := 0.0, q.virtualTime
	total := q.weight
	weight = effectiveWeight(weight)
	if t := q.teams[team]; t != nil {
		own, start = t.cost.upTo(class), max(t.startTag, q.virtualTime)
	}
	if own == 0 {
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
	i := slices.Index(q.backlogged, t)
	q.backlogged = slices.Delete(q.backlogged, i, i+1)
	q.weight -= t.weight
	t.items = [Priorities][]*Item{}
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
