// Package quarantine finds prompt blocks that crash the backend servers on which
// requests with them run, so that such requests are refused instead of being sent
// to the next server.
//
// A VM that loses requests to the crash of a server records their shared blocks. A
// request that survives its first moments clears its blocks of all crashes before
// them. A block that several crashes have in common, and that no request has
// survived since, is quarantined on all VMs. The VMs exchange crashes, survivals and
// quarantines as records.
//
// The package opens no sockets and takes the clock as a parameter.
package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// SurvivalTime is how long a server must send a response for the request's
	// blocks to count as harmless. A request whose response began longer before a
	// crash did not cause it.
	SurvivalTime = 500 * time.Millisecond
	// minEpisodes and maxEpisodes bound the number of episodes after which a block is
	// quarantined. Crashes of the same time, as of a lost region, are one episode:
	// episodes are at least episodeGap apart.
	minEpisodes = 4
	maxEpisodes = 8
	episodeGap  = 300 * time.Millisecond
	// maxCoincidence is the probability, up to which a block is quarantined, that as
	// many requests with a harmless block in a row are lost to crashes.
	maxCoincidence = 1e-4
	// rateWindow is the time over which the rate of crashes is taken, and minRateSpan
	// the least time that is assumed for it.
	rateWindow  = 10 * time.Second
	minRateSpan = 2 * time.Second
	// initialExposure is the exposure assumed at the start, and exposureSmoothing the
	// weight of a new value.
	initialExposure   = 1500 * time.Millisecond
	exposureSmoothing = 0.05
	// minAddresses is the minimum number of addresses at which servers crashed, so
	// that a server that crashes again and again by itself quarantines nothing.
	minAddresses = 2
	// settleTime is the time from the last needed episode to the decision, in which
	// survivals that other VMs saw arrive.
	settleTime = 500 * time.Millisecond
	// evidenceLifetime is how long crashes and survivals are remembered.
	evidenceLifetime = 2 * time.Minute
	// maxCrashes bounds the remembered crashes, maxPrompts the different prompts of
	// one crash at one VM, and maxBlocks the blocks of a prompt.
	maxCrashes = 128
	maxPrompts = 64
	maxBlocks  = 32
)

// prompt is the shared blocks of requests that were lost to a crash. It is encoded
// as an array: fields may only be added at the end.
type prompt struct {
	Blocks []uint64
	// Requests is the number of requests with just these blocks.
	Requests int
}

// addPrompt adds a request to the list of prompts.
func addPrompt(list []prompt, blocks []uint64) []prompt {
	blocks = blocks[:min(len(blocks), maxBlocks)]
	i := slices.IndexFunc(list, func(p prompt) bool { return slices.Equal(p.Blocks, blocks) })
	switch {
	case i >= 0:
		list[i].Requests++
	case len(list) < maxPrompts:
		list = append(list, prompt{Blocks: blocks, Requests: 1})
	}
	return list
}

// crash is the unplanned end of a server's process.
type crash struct {
	address string
	at      clock.Instant
	// prompts holds the prompts that may have caused it, by the VM that sent them.
	prompts map[string][]prompt
}

// evidence holds the crashes and survivals that this VM knows of. It isn't safe for
// concurrent use.
type evidence struct {
	crashes map[roster.ServerKey]*crash
	// survivedAt is when the last request with a block began that survived.
	survivedAt map[uint64]clock.Instant
	// anySurvivedAt is the same for requests with any blocks.
	anySurvivedAt clock.Instant
	// exposure is the average time from sending a request until it has survived, in
	// seconds.
	exposure float64
}

func newEvidence() evidence {
	return evidence{crashes: map[roster.ServerKey]*crash{}, survivedAt: map[uint64]clock.Instant{}, exposure: initialExposure.Seconds()}
}

// setCrash sets what a VM lost to the crash of a server.
func (e *evidence) setCrash(server roster.ServerKey, address string, at clock.Instant, vm string, prompts []prompt) {
	c := e.crashes[server]
	if c == nil {
		if len(e.crashes) >= maxCrashes {
			e.removeOldest()
		}
		c = &crash{address: address, at: at, prompts: map[string][]prompt{}}
		e.crashes[server] = c
	}
	c.at = min(c.at, at)
	c.prompts[vm] = prompts
}

func (e *evidence) removeOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(e.crashes)), func(a, b roster.ServerKey) int {
		return cmp.Compare(e.crashes[a].at, e.crashes[b].at)
	})
	delete(e.crashes, oldest)
}

// addSurvival records that a request with the block survived that began at the given
// time, and reports whether that is news.
func (e *evidence) addSurvival(block uint64, beganAt clock.Instant) bool {
	e.anySurvivedAt = max(e.anySurvivedAt, beganAt)
	if known, ok := e.survivedAt[block]; ok && known >= beganAt {
		return false
	}
	e.survivedAt[block] = beganAt
	return true
}

// neededEpisodes returns the number of episodes after which a block is quarantined. It
// rises with the rate of crashes per server, as more requests with harmless blocks are
// then lost by coincidence.
func (e *evidence) neededEpisodes(servers int, now clock.Instant) int {
	n, first := 0, now
	for _, c := range e.crashes {
		if now.Sub(c.at) <= rateWindow {
			n, first = n+1, min(first, c.at)
		}
	}
	perSecond := float64(n) / max(minRateSpan, now.Sub(first)).Seconds()
	lost := perSecond * e.exposure / float64(max(1, servers))
	if lost <= 0 || lost >= 1 {
		return maxEpisodes
	}
	return min(max(minEpisodes, int(math.Ceil(math.Log(maxCoincidence)/math.Log(lost)))), maxEpisodes)
}

// removeExplained removes the crashes in which a prompt with the block was lost, so
// that they count against no other block of these prompts.
func (e *evidence) removeExplained(block uint64) {
	maps.DeleteFunc(e.crashes, func(_ roster.ServerKey, c *crash) bool { return c.contains(block) })
}

func (c *crash) contains(block uint64) bool {
	for _, prompts := range c.prompts {
		if slices.ContainsFunc(prompts, func(p prompt) bool { return slices.Contains(p.Blocks, block) }) {
			return true
		}
	}
	return false
}

// expire removes crashes and survivals older than evidenceLifetime.
func (e *evidence) expire(now clock.Instant) {
	maps.DeleteFunc(e.crashes, func(_ roster.ServerKey, c *crash) bool { return now.Sub(c.at) > evidenceLifetime })
	maps.DeleteFunc(e.survivedAt, func(_ uint64, at clock.Instant) bool { return now.Sub(at) > evidenceLifetime })
}

// suspect is a block that crashes have in common and that no request has survived
// since.
type suspect struct {
	block     uint64
	times     []clock.Instant
	addresses map[string]struct{}
	// requests is the number of requests with the block in these crashes.
	requests int
}

// suspects returns the suspects by block.
func (e *evidence) suspects() map[uint64]*suspect {
	list := map[uint64]*suspect{}
	for _, c := range e.crashes {
		requests := map[uint64]int{}
		for _, prompts := range c.prompts {
			for _, p := range prompts {
				for _, b := range p.Blocks {
					requests[b] += p.Requests
				}
			}
		}
		for block, n := range requests {
			if at, ok := e.survivedAt[block]; ok && at > c.at {
				continue
			}
			s := list[block]
			if s == nil {
				s = &suspect{block: block, addresses: map[string]struct{}{}}
				list[block] = s
			}
			s.times = append(s.times, c.at)
			s.addresses[c.address] = struct{}{}
			s.requests += n
		}
	}
	for _, s := range list {
		slices.Sort(s.times)
	}
	return list
}

// lastNeeded returns the time of the episode that completes the needed number, or
// false if there are fewer.
func (s *suspect) lastNeeded(needed int) (clock.Instant, bool) {
	episodes, last := 0, clock.Instant(0)
	for _, at := range s.times {
		if episodes > 0 && at.Sub(last) < episodeGap {
			continue
		}
		episodes, last = episodes+1, at
		if episodes == needed {
			return at, true
		}
	}
	return 0, false
}

// score orders suspects: one that explains many crashes with few requests is more
// likely to be the cause than one that many requests contain anyway.
func (s *suspect) score() float64 { return float64(len(s.times)*len(s.times)) / float64(s.requests) }

// deadly returns the suspects to quarantine now, or none: those with the highest
// score among the ones with enough evidence. Needed returns the number of episodes
// needed for a block.
func (e *evidence) deadly(suspects map[uint64]*suspect, now clock.Instant, needed func(block uint64) int) []*suspect {
	var best []*suspect
	for _, s := range suspects {
		n := needed(s.block)
		at, ok := s.lastNeeded(n)
		switch {
		case !ok || now.Sub(at) < settleTime || len(s.addresses) < min(n, minAddresses):
			continue
		case n > 1 && e.anySurvivedAt <= s.times[0]:
			// Nothing survives anywhere, so the cause isn't one block.
			continue
		case len(best) > 0 && s.score() < best[0].score():
			continue
		case len(best) > 0 && s.score() > best[0].score():
			best = best[:0]
		}
		best = append(best, s)
	}
	return best
}
