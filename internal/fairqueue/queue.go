// Package fairqueue shares slots among teams by weight.
//
// Queue is the order: weighted fair queueing over teams by the virtual time at
// which an item would be finished, by priority within a team and among the
// teams that keep within their shares. Gate adds slots, waiting callers and the
// expected wait.
package fairqueue

import "slices"

// Priorities is the number of priority classes within a team.
const Priorities = 3

// Item is one request in a Queue.
type Item struct {
	Team string
	// Weight is the team's share; zero or less counts as 1.
	Weight float64
	// Priority is the class within the team; 0 is served first.
	Priority int
	// Cost is the expected work in seconds.
	Cost float64

	waiter *waiter
}

// Queue orders items. A team without queued items takes no memory once the
// queue has been empty. It is not safe for concurrent use.
type Queue struct {
	teams map[string]*teamQueue
	// backlog lists the teams that have items.
	backlog []*teamQueue
	// virtual is the start tag of the item that was served last.
	virtual float64
	length  int
	cost    classCosts
	weight  float64 // of the teams in backlog
}

type teamQueue struct {
	name   string
	weight float64
	// start is the start tag of the team's next item.
	start float64
	items [Priorities][]*Item
	count int
	cost  classCosts
}

// classCosts is the cost of queued items by class.
type classCosts [Priorities]float64

// upTo returns the cost of the items that a new one of the class waits for.
func (c *classCosts) upTo(class int) float64 {
	sum := 0.0
	for _, cost := range c[:class+1] {
		sum += cost
	}
	return sum
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{teams: map[string]*teamQueue{}} }

// Len returns the number of items.
func (q *Queue) Len() int { return q.length }

// Push adds an item.
func (q *Queue) Push(it *Item) {
	t := q.teams[it.Team]
	if t == nil {
		t = &teamQueue{name: it.Team}
		q.teams[it.Team] = t
	}
	if t.count == 0 {
		t.weight = weightOf(it.Weight)
		t.start = max(t.start, q.virtual)
		q.backlog = append(q.backlog, t)
		q.weight += t.weight
	}
	class := classOf(it.Priority)
	t.items[class] = append(t.items[class], it)
	t.count++
	t.cost[class] += it.Cost
	q.length++
	q.cost[class] += it.Cost
}

// Eligibility is what a team may have of the slots at present.
type Eligibility int

const (
	// Ineligible teams get no slot.
	Ineligible Eligibility = iota
	// AboveShare teams are served in fair order, whatever their priorities.
	AboveShare
	// WithinShare teams are served by priority first.
	WithinShare
)

// Peek returns the next item, or nil if there is none that may be served.
// Items of teams within their shares come by priority, and in fair order
// within a class. Items of teams above their shares count as the lowest class,
// so that no team gains slots by calling all its requests urgent.
func (q *Queue) Peek(standing func(team string) Eligibility) *Item {
	var best *Item
	leastClass, leastFinish := 0, 0.0
	for _, t := range q.backlog {
		head := t.head()
		class, finish := classOf(head.Priority), t.start+head.Cost/t.weight
		isFirst := func() bool {
			return best == nil || class < leastClass || class == leastClass && finish < leastFinish
		}
		if !isFirst() {
			continue
		}
		switch standing(t.name) {
		case Ineligible:
			continue
		case AboveShare:
			class = Priorities - 1
		case WithinShare:
		}
		if isFirst() {
			best, leastClass, leastFinish = head, class, finish
		}
	}
	return best
}

// Serve removes an item and charges its cost to its team.
func (q *Queue) Serve(it *Item) {
	t := q.teams[it.Team]
	q.virtual = max(q.virtual, t.start)
	t.start += it.Cost / t.weight
	q.Remove(it)
}

// Remove takes an item out without charging its team. It reports whether the
// item was queued.
func (q *Queue) Remove(it *Item) bool {
	t := q.teams[it.Team]
	if t == nil {
		return false
	}
	class := classOf(it.Priority)
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
		q.rest(t)
	}
	return true
}

// WorkAhead returns the work in seconds that is served before a new item of the
// team with the priority.
func (q *Queue) WorkAhead(team string, weight float64, priority int) float64 {
	if q.length == 0 {
		return 0
	}
	class := classOf(priority)
	own, start := 0.0, q.virtual
	total := q.weight
	weight = weightOf(weight)
	if t := q.teams[team]; t != nil {
		own, start = t.cost.upTo(class), max(t.start, q.virtual)
	}
	if own == 0 {
		total += weight
	}
	// Others are served until their tags reach the new item's start tag.
	tag := start + own/weight - q.virtual
	return min(q.cost.upTo(class), tag*total)
}

// rest takes a team out of the backlog. What it was charged is kept until the
// whole queue is empty.
func (q *Queue) rest(t *teamQueue) {
	i := slices.Index(q.backlog, t)
	q.backlog = slices.Delete(q.backlog, i, i+1)
	q.weight -= t.weight
	t.items = [Priorities][]*Item{}
	t.cost = classCosts{}
	if q.length == 0 {
		clear(q.teams)
		q.virtual, q.cost, q.weight = 0, classCosts{}, 0
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

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

func classOf(priority int) int { return min(max(priority, 0), Priorities-1) }
