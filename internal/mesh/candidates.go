package mesh

import (
	"slices"
	"strconv"
	"sync"
)

// maxCachedRankings bounds the cache of a candidates value. Servers that come and
// go would fill it otherwise.
const maxCachedRankings = 4096

// candidate is a VM in a ranking.
type candidate struct {
	vm, domain, hops string
	capacity         float64
	// without are the backend servers for which the VM is no candidate.
	without *serverSet
}

// candidateOf returns the member as a candidate for the servers that it reaches.
func candidateOf(o *Member) candidate {
	return candidate{vm: o.VM, domain: o.FailureDomain, hops: o.Hops, capacity: o.Capacity, without: o.reach.unreached}
}

func (c *candidate) rankKey(key, domain string) rankKey {
	return rankKey{sameDomain: c.domain == domain, preference: preference(c.vm, c.capacity, key)}
}

// candidates is a set of VMs of one region, without this VM, that are ranked by
// rendezvous hashing. The set doesn't change; rankings are computed once for each
// key, because most VMs of a large region rank hundreds of servers several times
// per second.
type candidates struct {
	list []candidate

	mu       sync.Mutex
	rankings map[rankingKey]ranking
	// targets is the result of hopTargets, or nil before the first call.
	targets []candidate
}

type rankingKey struct{ key, domain string }

// ranking is the result of rendezvous hashing for a key.
type ranking struct {
	// own is this VM's rank among the candidates, starting at 0, and candidates their
	// number.
	own, candidates int
	// best is the candidate that ranks first, if that is before this VM.
	best candidate
}

// updated returns a set with the list: c itself if it has the same list, so that
// its rankings are kept. The list is ordered by name.
func (c *candidates) updated(list []candidate) *candidates {
	if c != nil && slices.Equal(c.list, list) {
		return c
	}
	return &candidates{list: list, rankings: map[rankingKey]ranking{}}
}

// rank returns the ranking of this VM, whose own rank key is own, for the key.
// Candidates in the failure domain rank before the others.
func (c *candidates) rank(key, domain string, own rankKey) ranking {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := rankingKey{key, domain}
	if r, ok := c.rankings[k]; ok {
		return r
	}
	r, best := ranking{}, own
	for i := range c.list {
		o := &c.list[i]
		if o.without.contains(key) {
			continue
		}
		r.candidates++
		other := o.rankKey(key, domain)
		if other.before(own) {
			r.own++
		}
		if other.before(best) {
			best, r.best = other, *o
		}
	}
	if len(c.rankings) >= maxCachedRankings {
		clear(c.rankings)
	}
	c.rankings[k] = r
	return r
}

// hopTargets returns the candidates to which the VM self sends hops: the results of
// draws, each in proportion to capacity, which differ from VM to VM. A candidate may
// occur more than once. It returns nil if there are too few candidates for that.
func (c *candidates) hopTargets(self string) []candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targets == nil && len(c.list) > 2*hopTargetDraws {
		for draw := range hopTargetDraws {
			key := self + "#" + strconv.Itoa(draw)
			c.targets = append(c.targets, *mostPreferredFor(c.list, key))
		}
	}
	return c.targets
}

// mostPreferredFor returns the candidate that rendezvous hashing by capacity selects
// for the key, or nil if there are no candidates.
func mostPreferredFor(list []candidate, key string) *candidate {
	highest := 0.0
	var best *candidate
	for i := range list {
		if p := preference(list[i].vm, list[i].capacity, key); p > highest {
			highest, best = p, &list[i]
		}
	}
	return best
}

// reaching returns the candidates of which the share isn't zero, with their capacity reduced
// to it: those in the failure domain, if it is given and there are any.
func reaching(list []candidate, domain string, share func(*candidate) float64) []candidate {
	var all, near []candidate
	for _, o := range list {
		part := share(&o)
		if part == 0 {
			continue
		}
		o.capacity = capacityOrDefault(o.capacity) * part
		all = append(all, o)
		if o.domain == domain {
			near = append(near, o)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}
