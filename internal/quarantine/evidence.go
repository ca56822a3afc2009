// Package quarantine finds requests, and prompt blocks, that crash the backend
// servers on which they run, so that such requests are refused instead of being sent
// to the next server.
//
// A VM that loses requests to the crash of a server records their traits: the
// fingerprint that a request shares with its repeats, and the shared blocks of its
// prompt. A request that survives its first moments clears its traits of all crashes
// before them. A trait that several crashes have in common, and that no request has
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
	// minRequestCrashes and maxRequestCrashes bound the number of crashes after which a
	// request is quarantined, of at least requestEpisodes episodes. They are lower than
	// those of a block, as few requests are repeated. At a single address, a server that
	// crashes again and again by itself loses those of persistent callers, so
	// loneCrashes are needed.
	minRequestCrashes = 3
	maxRequestCrashes = 5
	requestEpisodes   = 2
	loneCrashes       = 5
	// maxRepeatCoincidence is the probability, up to which a request is quarantined,
	// that as many repeats of a harmless one are lost to crashes.
	maxRepeatCoincidence = 1e-3
	// tieTime is how long the next crash is awaited if the same evidence is against
	// several requests.
	tieTime = 2 * time.Second
	// minEpisodes and maxEpisodes bound the number of episodes after which a block is
	// quarantined. Crashes of the same time, as of a lost region, are one episode:
	// episodes are at least episodeGap apart.
	minEpisodes = 4
	maxEpisodes = 8
	episodeGap  = 300 * time.Millisecond
	// massCrashServers is the number of servers whose crashes within massCrashSpan are a
	// mass crash. The records of its crashes take different times to arrive, so that it
	// seems to last for so long.
	massCrashServers = 16
	massCrashSpan    = 3 * time.Second
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
	// one crash at one VM, maxBlocks the blocks of a prompt, and maxRequests the
	// different requests of one crash at one VM.
	maxCrashes  = 128
	maxPrompts  = 64
	maxBlocks   = 32
	maxRequests = 128
	// maxSurvivals bounds the traits whose last survival is remembered.
	maxSurvivals = 16384
)

// Traits are what requests that crash servers may have in common.
type Traits struct {
	// Blocks are the IDs of the shared blocks of the prompt.
	Blocks []uint64
	// Fingerprint is the same for the repeats of a request; zero means unknown.
	Fingerprint uint64
}

// ids returns the IDs of all traits.
func (t Traits) ids() []uint64 {
	if t.Fingerprint == 0 {
		return t.Blocks
	}
	return append(slices.Clone(t.Blocks), t.Fingerprint)
}

// prompt is the shared blocks of requests that were lost to a crash. It is encoded
// as an array, whose fields may not change (gossip.Encode).
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

// loss is the requests that one VM lost to a crash.
type loss struct {
	prompts []prompt
	// requests holds their fingerprints.
	requests []uint64
}

// add adds a request with the traits.
func (l *loss) add(traits Traits) {
	if len(traits.Blocks) > 0 {
		l.prompts = addPrompt(l.prompts, traits.Blocks)
	}
	if f := traits.Fingerprint; f != 0 && len(l.requests) < maxRequests && !slices.Contains(l.requests, f) {
		l.requests = append(l.requests, f)
	}
}

// crash is the unplanned end of a server's process.
type crash struct {
	service, address string
	at               clock.Instant
	// losses holds the requests that may have caused it, by the VM that sent them.
	losses map[string]loss
	// explained means that a quarantined request caused it, so that it counts against
	// no other request.
	explained bool
	// mass is the mass crash that it is part of, or nil. It is derived with the suspects.
	mass *massCrash
}

// massCrash is the crash of many servers at about the same time.
type massCrash struct{ servers int }

// findMassCrashes sets of which mass crash each crash is a part.
func (e *evidence) findMassCrashes() {
	list := slices.SortedFunc(maps.Values(e.crashes), func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	for _, c := range list {
		c.mass = nil
	}
	for start, end := 0, 0; start < len(list); start++ {
		for end = max(start, end); end < len(list) && list[end].at.Sub(list[start].at) < massCrashSpan; {
			end++
		}
		if end-start < massCrashServers {
			continue
		}
		mass := &massCrash{servers: end - start}
		for _, c := range list[start:end] {
			c.mass = mass
		}
		start = end - 1
	}
}

// containsRequest reports whether a request with the fingerprint was lost.
func (c *crash) containsRequest(fingerprint uint64) bool {
	for _, l := range c.losses {
		if slices.Contains(l.requests, fingerprint) {
			return true
		}
	}
	return false
}

// hasPrompts reports whether requests with prompt blocks were lost.
func (c *crash) hasPrompts() bool {
	for _, l := range c.losses {
		if len(l.prompts) > 0 {
			return true
		}
	}
	return false
}

// requests returns the fingerprints of the lost requests.
func (c *crash) requests() map[uint64]struct{} {
	set := map[uint64]struct{}{}
	for _, l := range c.losses {
		for _, f := range l.requests {
			set[f] = struct{}{}
		}
	}
	return set
}

// evidence holds the crashes and survivals that this VM knows of. It isn't safe for
// concurrent use.
type evidence struct {
	crashes map[roster.ServerKey]*crash
	// survivedAt is when the last request with a trait began that survived.
	survivedAt map[uint64]clock.Instant
	// anySurvivedAt is the same for requests with any blocks, and services for those of
	// this VM to each service.
	anySurvivedAt clock.Instant
	services      map[string]*serviceState
	// exposure is the average time from sending a request until it has survived, in
	// seconds.
	exposure float64
}

// serviceState is what survivals of this VM's requests show of a service.
type serviceState struct {
	survivedAt clock.Instant
	// exposure is as in evidence.
	exposure float64
}

// addServiceSurvival records that a request to a service survived, which was exposed
// for the given seconds and began at the given time.
func (e *evidence) addServiceSurvival(service string, exposed float64, beganAt clock.Instant) {
	s := e.services[service]
	if s == nil {
		s = &serviceState{exposure: exposed}
		e.services[service] = s
	}
	s.survivedAt = max(s.survivedAt, beganAt)
	s.exposure += exposureSmoothing * (exposed - s.exposure)
}

// neededCrashes returns the number of crashes after which a request is quarantined. It
// rises with the rate of crashes per server of the service, as neededEpisodes does.
func (e *evidence) neededCrashes(service string, servers int, now clock.Instant) int {
	s := e.services[service]
	if s == nil {
		return minRequestCrashes
	}
	lost := e.crashesPerSecond(now, func(c *crash) bool { return c.service == service }) * s.exposure / float64(max(1, servers))
	switch {
	case lost <= 0:
		return minRequestCrashes
	case lost >= 1:
		return maxRequestCrashes
	}
	n := 1 + int(math.Ceil(math.Log(maxRepeatCoincidence)/math.Log(lost)))
	return min(max(minRequestCrashes, n), maxRequestCrashes)
}

// crashesPerSecond returns the rate of the crashes that are included.
func (e *evidence) crashesPerSecond(now clock.Instant, include func(*crash) bool) float64 {
	n, first := 0, now
	for _, c := range e.crashes {
		if now.Sub(c.at) <= rateWindow && include(c) {
			n, first = n+1, min(first, c.at)
		}
	}
	return float64(n) / max(minRateSpan, now.Sub(first)).Seconds()
}

func newEvidence() evidence {
	return evidence{crashes: map[roster.ServerKey]*crash{}, survivedAt: map[uint64]clock.Instant{}, services: map[string]*serviceState{}, exposure: initialExposure.Seconds()}
}

// setCrash sets what a VM lost to the crash of a server.
func (e *evidence) setCrash(server roster.ServerKey, service, address string, at clock.Instant, vm string, lost loss) *crash {
	c := e.crashes[server]
	if c == nil {
		if len(e.crashes) >= maxCrashes {
			e.removeOldest()
		}
		c = &crash{service: service, address: address, at: at, losses: map[string]loss{}}
		e.crashes[server] = c
	}
	c.at = min(c.at, at)
	c.losses[vm] = lost
	return c
}

func (e *evidence) removeOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(e.crashes)), func(a, b roster.ServerKey) int {
		return cmp.Compare(e.crashes[a].at, e.crashes[b].at)
	})
	delete(e.crashes, oldest)
}

// addSurvival records that a request with the trait survived that began at the given
// time, and reports whether that is news.
func (e *evidence) addSurvival(trait uint64, beganAt clock.Instant) bool {
	known, ok := e.survivedAt[trait]
	if ok && known >= beganAt || !ok && len(e.survivedAt) >= maxSurvivals {
		return false
	}
	e.survivedAt[trait] = beganAt
	return true
}

// neededEpisodes returns the number of episodes after which a block is quarantined. It
// rises with the rate of crashes per server, as more requests with harmless blocks are
// then lost by coincidence.
func (e *evidence) neededEpisodes(servers int, now clock.Instant) int {
	lost := e.crashesPerSecond(now, (*crash).hasPrompts) * e.exposure / float64(max(1, servers))
	if lost <= 0 || lost >= 1 {
		return maxEpisodes
	}
	return min(max(minEpisodes, int(math.Ceil(math.Log(maxCoincidence)/math.Log(lost)))), maxEpisodes)
}

// markExplained marks the crashes in which the request was lost, so that they count
// against no other request.
func (e *evidence) markExplained(fingerprint uint64) {
	for _, c := range e.crashes {
		c.explained = c.explained || c.containsRequest(fingerprint)
	}
}

// removeExplained removes the crashes in which a prompt with the block was lost, so
// that they count against no other block of these prompts.
func (e *evidence) removeExplained(block uint64) {
	maps.DeleteFunc(e.crashes, func(_ roster.ServerKey, c *crash) bool { return c.contains(block) })
}

func (c *crash) contains(block uint64) bool {
	for _, l := range c.losses {
		if slices.ContainsFunc(l.prompts, func(p prompt) bool { return slices.Contains(p.Blocks, block) }) {
			return true
		}
	}
	return false
}

// expire removes crashes and survivals older than evidenceLifetime, and reports whether
// there were any.
func (e *evidence) expire(now clock.Instant) bool {
	before := len(e.crashes) + len(e.survivedAt)
	maps.DeleteFunc(e.crashes, func(_ roster.ServerKey, c *crash) bool { return now.Sub(c.at) > evidenceLifetime })
	maps.DeleteFunc(e.survivedAt, func(_ uint64, at clock.Instant) bool { return now.Sub(at) > evidenceLifetime })
	return len(e.crashes)+len(e.survivedAt) < before
}

// suspect is a trait that crashes have in common and that no request has survived
// since.
type suspect struct {
	trait uint64
	// isRequest means that the trait is a fingerprint, else it is a block.
	isRequest bool
	// service is that of one of the servers.
	service string
	// crashes are in the order of their times.
	crashes   []*crash
	times     []clock.Instant
	addresses map[string]struct{}
	// requests is the number of requests with the trait in these crashes, and others
	// the number of different other requests.
	requests, others int
	// common holds the fingerprints that a block's crashes have in common: one request
	// may have caused them all.
	common map[uint64]struct{}
}

// suspects returns the suspects by trait.
func (e *evidence) suspects() map[uint64]*suspect {
	e.findMassCrashes()
	list := map[uint64]*suspect{}
	add := func(c *crash, trait uint64, isRequest bool, requests, others int) *suspect {
		if at, ok := e.survivedAt[trait]; ok && at > c.at {
			return nil
		}
		s := list[trait]
		if s == nil {
			s = &suspect{trait: trait, isRequest: isRequest, service: c.service, addresses: map[string]struct{}{}}
			list[trait] = s
		}
		s.crashes = append(s.crashes, c)
		s.times = append(s.times, c.at)
		s.addresses[c.address] = struct{}{}
		s.requests += requests
		s.others += others
		return s
	}
	for _, c := range e.crashes {
		requests := map[uint64]int{}
		for _, l := range c.losses {
			for _, p := range l.prompts {
				for _, b := range p.Blocks {
					requests[b] += p.Requests
				}
			}
		}
		lost := c.requests()
		for block, n := range requests {
			if s := add(c, block, false, n, 0); s != nil {
				s.retainCommon(lost)
			}
		}
		if c.explained {
			continue
		}
		for fingerprint := range lost {
			add(c, fingerprint, true, 1, len(lost)-1)
		}
	}
	for _, s := range list {
		slices.SortFunc(s.crashes, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
		slices.Sort(s.times)
	}
	return list
}

// coincidental reports whether a mass crash has another cause than the trait, which few of
// its servers ran.
func (s *suspect) coincidental(mass *massCrash) bool {
	if mass == nil {
		return false
	}
	n := 0
	for _, c := range s.crashes {
		if c.mass == mass {
			n++
		}
	}
	return 2*n < mass.servers
}

// threshold is the evidence that is needed against a trait.
type threshold struct{ crashes, episodes, addresses int }

// reachedAt returns when the crashes reached the threshold, or false if they haven't. A
// mass crash of another cause is one episode, and counts as one crash.
func (s *suspect) reachedAt(t threshold) (clock.Instant, bool) {
	episodes, crashes, last := 0, 0, clock.Instant(0)
	var mass *massCrash
	for _, c := range s.crashes {
		if mass != nil && c.mass == mass {
			continue
		}
		mass = nil
		if s.coincidental(c.mass) {
			mass = c.mass
		}
		crashes++
		if episodes == 0 || c.at.Sub(last) >= episodeGap {
			episodes, last = episodes+1, c.at
		}
		if episodes >= t.episodes && crashes >= t.crashes {
			return c.at, len(s.addresses) >= t.addresses
		}
	}
	return 0, false
}

// retainCommon adds the requests that were lost to a crash with the block.
func (s *suspect) retainCommon(lost map[uint64]struct{}) {
	if len(s.times) == 1 {
		s.common = maps.Clone(lost)
		return
	}
	maps.DeleteFunc(s.common, func(f uint64, _ struct{}) bool { _, ok := lost[f]; return !ok })
}

// mayBeService reports whether the service may be failing as a whole rather than on
// the trait: nothing has survived since the first crash.
func (e *evidence) mayBeService(s *suspect) bool {
	if s.isRequest {
		service := e.services[s.service]
		return s.others > 0 && (service == nil || service.survivedAt <= s.times[0])
	}
	return e.anySurvivedAt <= s.times[0]
}

// score orders suspects: one that explains many crashes with few requests is more
// likely to be the cause than one that many requests contain anyway.
func (s *suspect) score() float64 { return float64(len(s.times)*len(s.times)) / float64(s.requests) }

// deadly returns the suspected requests, or the blocks, to quarantine now, or none: those
// with the highest score among the ones with enough evidence. Needed returns the
// thresholds of a suspect; one of them must be reached.
func (e *evidence) deadly(suspects map[uint64]*suspect, areRequests bool, now clock.Instant, needed func(*suspect) []threshold) []*suspect {
	var best []*suspect
	var latest clock.Instant
	for _, s := range suspects {
		if s.isRequest != areRequests || len(s.common) > 0 {
			continue
		}
		switch {
		case !slices.ContainsFunc(needed(s), func(t threshold) bool {
			at, ok := s.reachedAt(t)
			latest = max(latest, at)
			return ok && now.Sub(at) >= settleTime && (t.crashes == 1 || !e.mayBeService(s))
		}):
			continue
		case len(best) > 0 && s.score() < best[0].score():
			continue
		case len(best) > 0 && s.score() > best[0].score():
			best = best[:0]
		}
		best = append(best, s)
	}
	if areRequests && len(best) > 1 && now.Sub(latest) < tieTime {
		return nil
	}
	return best
}
