package quarantine

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// firstDuration is the duration of a trait's first quarantine. It doubles each
	// time up to maxDuration.
	firstDuration = 2 * time.Minute
	maxDuration   = 32 * time.Minute
	// rememberFor is how long after a quarantine one crash is sufficient for the
	// next one, unless a request with the trait survived meanwhile.
	rememberFor = 2 * time.Hour
	// maxQuarantined bounds the quarantined traits.
	maxQuarantined = 1024
	// recentLifetime is how long a survival of an unsuspected trait is remembered.
	// maxRecent bounds their number, and maxRecentRequests the number at which
	// fingerprints, which are mostly different, leave the rest to blocks.
	recentLifetime    = 10 * time.Second
	maxRecent         = 8192
	maxRecentRequests = 4096
	// maxDecisions bounds the remembered decisions.
	maxDecisions = 4096
	// checkTimeout bounds the check whether a server still runs.
	checkTimeout = 500 * time.Millisecond
	// checkInterval is the time after a check that found a server running in which
	// broken requests cause no other.
	checkInterval = 300 * time.Millisecond
)

// Config holds what a Tracker needs.
type Config struct {
	// VM is the name of this VM and of its evidence record.
	VM    string
	Now   clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Running reports whether the process of a server's incarnation still runs. It
	// returns false if the server can't be reached.
	Running func(ctx context.Context, server *roster.Server) bool
	// Servers returns the number of servers that prompts may be sent to.
	Servers func() int
	// ServersOf returns the number of servers of a service.
	ServersOf func(service string) int
	// PublishOwn distributes a part of what only this VM writes, in place of the value
	// that it published as that part before, and Publish a record that any VM may write.
	PublishOwn func(kind gossip.Kind, part string, value []byte)
	Publish    func(gossip.Record)
}

// entry is a quarantined trait.
type entry struct {
	// isRequest means that the trait is a fingerprint, else it is a block.
	isRequest bool
	until     clock.Instant
	// firstCrash is the first crash on which the quarantine is based. A request with
	// the trait that began later and survived refutes it.
	firstCrash clock.Instant
}

// decision is the last decision on a trait.
type decision struct {
	version uint64
	// times is the number of quarantines in a row, and endsAt when the last one ends or
	// ended.
	times  int
	endsAt clock.Instant
}

// check is the check whether a server has crashed that broke off requests.
type check struct {
	lost loss
	// at is when the first of them broke.
	at clock.Instant
	// runningAt is when the server was found to be running; zero until then.
	runningAt clock.Instant
}

// Tracker collects evidence and decides which traits are quarantined. Its methods are
// safe for concurrent use.
type Tracker struct {
	Config
	// quarantined is immutable and replaced as a whole.
	quarantined atomic.Pointer[map[uint64]entry]

	mu       sync.Mutex
	evidence evidence
	// recent holds when the last request of this VM with a trait began that survived,
	// also of traits that are not suspected yet: other VMs report crashes late.
	recent map[uint64]clock.Instant
	// suspects is derived from the evidence. Changed means that the evidence has changed
	// since.
	suspects  map[uint64]*suspect
	changed   bool
	checks    map[roster.ServerKey]*check
	decisions map[uint64]decision
	// ownCrashes are the crashes that this VM saw, and crashCount the number of all so far.
	ownCrashes []*ownCrash
	crashCount int
	// ownSurvivals are the survivals that this VM saw and that are part of the evidence
	// numbered survivalPart, or of a later one. SurvivalsChanged means that they have changed
	// since they were published.
	ownSurvivals     []ownSurvival
	survivalPart     int
	survivalsChanged bool

	crashes          tally.Counter
	blocks, requests tally.Gauge
}

// New returns a tracker without evidence.
func New(config Config) *Tracker {
	scope := config.Scope.SubScope("quarantine")
	t := &Tracker{
		Config: config, evidence: newEvidence(), recent: map[uint64]clock.Instant{}, checks: map[roster.ServerKey]*check{}, decisions: map[uint64]decision{},
		crashes: scope.Counter("server_crashes"), blocks: scope.Gauge("blocks"), requests: scope.Gauge("requests"),
	}
	t.quarantined.Store(&map[uint64]entry{})
	return t
}

// Find returns the first of the traits that is quarantined and for how long it still
// is, or false if none is.
func (t *Tracker) Find(traits Traits, now clock.Instant) (trait uint64, remaining time.Duration, found bool) {
	quarantined := *t.quarantined.Load()
	if len(quarantined) == 0 {
		return 0, 0, false
	}
	for _, id := range traits.ids() {
		if e, ok := quarantined[id]; ok && e.until > now {
			return id, e.until.Sub(now), true
		}
	}
	return 0, 0, false
}

// RecordSurvival records that a request of the service that was sent and whose response
// began at the given times has now survived: it was answered, or the response has
// lasted for SurvivalTime.
func (t *Tracker) RecordSurvival(service string, traits Traits, sentAt, beganAt clock.Instant) {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	exposed := now.Sub(sentAt).Seconds()
	t.evidence.addServiceSurvival(service, exposed, beganAt)
	if len(traits.Blocks) > 0 {
		t.evidence.exposure += exposureSmoothing * (exposed - t.evidence.exposure)
		t.evidence.anySurvivedAt = max(t.evidence.anySurvivedAt, beganAt)
	}
	for _, id := range traits.ids() {
		limit := maxRecent
		if id == traits.Fingerprint {
			limit = maxRecentRequests
		}
		if _, known := t.recent[id]; known || len(t.recent) < limit {
			t.recent[id] = max(t.recent[id], beganAt)
		}
		if t.isSuspected(id) {
			t.recordOwnSurvival(id, id == traits.Fingerprint, beganAt)
		}
	}
}

// isSuspected reports whether the trait has crashes to be cleared of, or was
// quarantined before. The caller holds the lock.
func (t *Tracker) isSuspected(trait uint64) bool {
	return t.suspects[trait] != nil || t.decisions[trait].times > 0
}

// recordOwnSurvival clears a suspected trait, also on the other VMs. The caller holds
// the lock.
func (t *Tracker) recordOwnSurvival(trait uint64, isRequest bool, beganAt clock.Instant) {
	if !t.clear(trait, beganAt) {
		return
	}
	t.ownSurvivals = slices.DeleteFunc(t.ownSurvivals, func(s ownSurvival) bool { return s.trait == trait })
	t.ownSurvivals = appendBounded(t.ownSurvivals, ownSurvival{trait: trait, isRequest: isRequest, beganAt: beganAt}, maxSentSurvivals)
	t.survivalsChanged = true
	if e, ok := (*t.quarantined.Load())[trait]; ok && beganAt > e.firstCrash {
		now := t.Now()
		t.publish(trait, entry{isRequest: e.isRequest, until: now, firstCrash: now}, 0)
		t.Log.Warn(e.kind()+" released from quarantine: a request with it survived", e.key(), traitName(trait), "beganBefore", now.Sub(beganAt))
	}
}

// clear clears a trait of the crashes before the given time, at which a request with
// it began that survived, and reports whether that is news. The caller holds the lock.
func (t *Tracker) clear(trait uint64, beganAt clock.Instant) bool {
	if !t.evidence.addSurvival(trait, beganAt) {
		return false
	}
	t.changed = true
	if d := t.decisions[trait]; d.times > 0 && beganAt > d.endsAt {
		d.times = 0
		t.decisions[trait] = d
	}
	return true
}

// RecordBreak records that the connection to a server broke while it ran a request
// with the traits, before its response had lasted for SurvivalTime. If the server is
// found to have crashed, the traits are suspected.
func (t *Tracker) RecordBreak(server *roster.Server, traits Traits) {
	if len(traits.ids()) == 0 {
		return
	}
	now, key := t.Now(), server.Key()
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(t.ownCrashes, func(c *ownCrash) bool { return c.server == key }); i >= 0 {
		c := t.ownCrashes[i]
		c.lost.add(traits)
		t.addCrash(c)
		return
	}
	c := t.checks[key]
	switch {
	case c == nil || c.runningAt != 0 && now.Sub(c.runningAt) >= checkInterval:
		c = &check{at: now}
		c.lost.add(traits)
		t.checks[key] = c
		go t.check(server, c)
	case c.runningAt == 0:
		c.lost.add(traits)
	}
}

// check finds out whether a server has crashed.
func (t *Tracker) check(server *roster.Server, c *check) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	running := t.Running(ctx, server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if running {
		c.runningAt = t.Now()
		return
	}
	delete(t.checks, server.Key())
	own := &ownCrash{server: server.Key(), service: server.Service, address: server.Address, at: c.at, lost: c.lost}
	t.ownCrashes = appendBounded(t.ownCrashes, own, maxSentCrashes)
	t.addCrash(own)
	t.crashes.Inc(1)
	t.Log.Warn("backend server crashed", "server", server.ID, "service", server.Service, "address", server.Address,
		"brokeBefore", t.Now().Sub(c.at), "prompts", len(c.lost.prompts), "requests", len(c.lost.requests), "knownCrashes", len(t.evidence.crashes))
}

// addCrash adds a crash that this VM saw to the evidence. The caller holds the lock.
func (t *Tracker) addCrash(c *ownCrash) {
	if c.part == "" {
		c.part = crashPart(t.crashCount)
		t.crashCount++
	}
	c.unpublished = true
	t.mergeCrash(c.server, c.service, c.address, c.at, t.VM, c.lost)
}

// mergeCrash adds a crash to the evidence unless a quarantined block explains it. The
// caller holds the lock.
func (t *Tracker) mergeCrash(server roster.ServerKey, service, address string, at clock.Instant, vm string, lost loss) {
	quarantined := *t.quarantined.Load()
	for _, p := range lost.prompts {
		if slices.ContainsFunc(p.Blocks, func(b uint64) bool { _, ok := quarantined[b]; return ok }) {
			return
		}
	}
	c := t.evidence.setCrash(server, service, address, at, vm, lost)
	if slices.ContainsFunc(lost.requests, func(f uint64) bool { _, ok := quarantined[f]; return ok }) {
		c.explained = true
	}
	t.changed = true
	// A trait that is clear of this crash is no news. Its survivals would otherwise be published
	// again for each record of the crash, and all VMs would keep one another publishing.
	recordRecent := func(trait uint64, isRequest bool) {
		if beganAt := t.recent[trait]; beganAt > at && t.evidence.survivedAt[trait] <= at {
			t.recordOwnSurvival(trait, isRequest, beganAt)
		}
	}
	for _, p := range lost.prompts {
		for _, b := range p.Blocks {
			recordRecent(b, false)
		}
	}
	for _, f := range lost.requests {
		recordRecent(f, true)
	}
}

// ApplyRecord applies a KindEvidence or KindQuarantine record of another VM.
func (t *Tracker) ApplyRecord(r gossip.Record) {
	var err error
	if r.Kind == gossip.KindQuarantine {
		err = t.applyQuarantine(r)
	} else {
		err = t.applyEvidence(r)
	}
	if err != nil {
		t.Log.Warn("malformed record", "kind", r.Kind, "name", r.Name, "error", err)
	}
}

// applyEvidence adds what another VM saw. The error is gossip.ErrMalformed.
func (t *Tracker) applyEvidence(r gossip.Record) error {
	var e evidenceRecord
	if err := gossip.Decode(r.Value, &e); err != nil {
		return err
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	vm, _, _ := strings.Cut(r.Name, "/")
	for _, c := range e.Crashes {
		t.mergeCrash(roster.ServerKey{ID: c.Server, Started: c.Started}, c.Service, c.Address, atAge(now, c.AgeMs), vm, boundedLoss(c))
	}
	for _, s := range e.Survivals {
		beganAt := atAge(now, s.AgeMs)
		if !s.Request {
			t.evidence.anySurvivedAt = max(t.evidence.anySurvivedAt, beganAt)
		}
		t.clear(s.Trait, beganAt)
	}
	return nil
}

// applyQuarantine applies the decision of another VM. The error is
// gossip.ErrMalformed.
func (t *Tracker) applyQuarantine(r gossip.Record) error {
	var q quarantineRecord
	if err := gossip.Decode(r.Value, &q); err != nil {
		return err
	}
	trait, err := parseTraitName(r.Name)
	if err != nil {
		return err
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version <= t.decisions[trait].version {
		return nil
	}
	remaining := time.Duration(min(max(0, q.RemainingMs), maxDuration.Milliseconds())) * time.Millisecond
	e := entry{isRequest: q.Request, until: now.Add(remaining), firstCrash: atAge(now, q.FirstCrashAgeMs)}
	t.set(trait, e, decision{version: r.Version, times: q.Times, endsAt: e.until}, now)
	t.Log.Info("quarantine of a "+e.kind()+" set by another VM", e.key(), r.Name, "remaining", remaining, "times", q.Times)
	return nil
}

// set replaces the quarantine of a trait. One that ends now is a release. The caller
// holds the lock.
func (t *Tracker) set(trait uint64, e entry, d decision, now clock.Instant) {
	quarantined := maps.Clone(*t.quarantined.Load())
	delete(quarantined, trait)
	if e.until > now && len(quarantined) < maxQuarantined {
		quarantined[trait] = e
		if e.isRequest {
			t.evidence.markExplained(trait)
		} else {
			t.evidence.removeExplained(trait)
		}
	}
	t.quarantined.Store(&quarantined)
	t.decisions[trait] = d
	if len(t.decisions) > maxDecisions {
		delete(t.decisions, slices.MinFunc(slices.Collect(maps.Keys(t.decisions)), func(a, b uint64) int {
			return cmp.Compare(t.decisions[a].endsAt, t.decisions[b].endsAt)
		}))
	}
	t.changed = true
	requests := 0
	for _, e := range quarantined {
		if e.isRequest {
			requests++
		}
	}
	t.blocks.Update(float64(len(quarantined) - requests))
	t.requests.Update(float64(requests))
}

// kind names the kind of trait in log lines, and key is the key of its ID there.
func (e entry) kind() string {
	if e.isRequest {
		return "request"
	}
	return "prompt block"
}

func (e entry) key() string {
	if e.isRequest {
		return "fingerprint"
	}
	return "block"
}

// publish applies and publishes a decision of this VM. The caller holds the lock.
func (t *Tracker) publish(trait uint64, e entry, times int) {
	now := t.Now()
	d := decision{version: t.decisions[trait].version + 1, times: times, endsAt: e.until}
	t.set(trait, e, d, now)
	value, err := gossip.Encode(quarantineRecord{
		RemainingMs: max(0, e.until.Sub(now)).Milliseconds(), FirstCrashAgeMs: now.Sub(e.firstCrash).Milliseconds(), Times: times, Request: e.isRequest,
	})
	if err != nil {
		t.Log.Error("encoding record failed", "kind", gossip.KindQuarantine, "error", err)
		return
	}
	t.Publish(gossip.Record{Key: gossip.Key{Kind: gossip.KindQuarantine, Name: traitName(trait)}, Version: d.version, Value: value})
}

// Tick decides on the evidence and publishes what is new. It is called about ten
// times a second.
func (t *Tracker) Tick(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.updateSuspects()
	for len(t.suspects) > 0 {
		unknownBlock := t.evidence.neededEpisodes(t.Servers(), now)
		needed := func(s *suspect) []threshold { return t.thresholds(s, unknownBlock, now) }
		deadly := append(t.evidence.deadly(t.suspects, true, now, needed), t.evidence.deadly(t.suspects, false, now, needed)...)
		if len(deadly) == 0 {
			break
		}
		for _, s := range deadly {
			t.quarantine(s, now)
		}
		t.updateSuspects()
	}
	t.publishEvidence(now)
}

// publishEvidence publishes the parts of what this VM saw that have changed. The caller holds
// the lock.
func (t *Tracker) publishEvidence(now clock.Instant) {
	for _, c := range t.ownCrashes {
		if c.unpublished {
			c.unpublished = false
			t.publishPart(c.part, []*ownCrash{c}, nil, now)
		}
	}
	for t.survivalsChanged {
		n := min(len(t.ownSurvivals), survivalsPerPart)
		t.publishPart(survivalPart(t.survivalPart), nil, t.ownSurvivals[:n], now)
		t.survivalsChanged = n == survivalsPerPart && len(t.ownSurvivals) > n
		if n == survivalsPerPart {
			t.ownSurvivals = t.ownSurvivals[n:]
			t.survivalPart++
		}
	}
}

// publishPart publishes a part of what this VM saw. The caller holds the lock.
func (t *Tracker) publishPart(part string, crashes []*ownCrash, survivals []ownSurvival, now clock.Instant) {
	value, err := encodeEvidence(crashes, survivals, now)
	if err != nil {
		t.Log.Error("encoding record failed", "kind", gossip.KindEvidence, "part", part, "error", err)
		return
	}
	t.PublishOwn(gossip.KindEvidence, part, value)
}

// thresholds returns the thresholds after which a trait is quarantined: one crash if
// it was quarantined before and no request with it survived since; for an unknown
// block the given number of episodes.
func (t *Tracker) thresholds(s *suspect, unknownBlock int, now clock.Instant) []threshold {
	if d := t.decisions[s.trait]; d.times > 0 && now.Sub(d.endsAt) < rememberFor {
		return []threshold{{crashes: 1, episodes: 1, addresses: 1}}
	}
	if s.isRequest {
		return []threshold{
			{crashes: t.evidence.neededCrashes(s.service, t.ServersOf(s.service), now), episodes: requestEpisodes, addresses: minAddresses},
			{crashes: loneCrashes, episodes: loneCrashes, addresses: 1},
		}
	}
	return []threshold{{crashes: unknownBlock, episodes: unknownBlock, addresses: min(unknownBlock, minAddresses)}}
}

// quarantine puts a trait in quarantine on all VMs. The caller holds the lock.
func (t *Tracker) quarantine(s *suspect, now clock.Instant) {
	times := t.decisions[s.trait].times + 1
	duration := min(firstDuration<<min(times-1, 16), maxDuration)
	e := entry{isRequest: s.isRequest, until: now.Add(duration), firstCrash: s.times[0]}
	t.publish(s.trait, e, times)
	t.Log.Warn(e.kind()+" quarantined: servers crash on it", e.key(), traitName(s.trait), "service", s.service, "crashes", len(s.times),
		"addresses", len(s.addresses), "requests", s.requests, "firstCrashBefore", now.Sub(s.times[0]), "for", duration, "times", times)
}

// expire removes what has expired. The caller holds the lock.
func (t *Tracker) expire(now clock.Instant) {
	if t.evidence.expire(now) {
		t.changed = true
	}
	t.ownCrashes = slices.DeleteFunc(t.ownCrashes, func(c *ownCrash) bool {
		expired := now.Sub(c.at) > evidenceLifetime
		if expired {
			t.publishPart(c.part, nil, nil, now)
		}
		return expired
	})
	t.ownSurvivals = slices.DeleteFunc(t.ownSurvivals, func(s ownSurvival) bool { return now.Sub(s.beganAt) > evidenceLifetime })
	maps.DeleteFunc(t.recent, func(_ uint64, beganAt clock.Instant) bool { return now.Sub(beganAt) > recentLifetime })
	maps.DeleteFunc(t.checks, func(_ roster.ServerKey, c *check) bool {
		return c.runningAt != 0 && now.Sub(c.runningAt) >= checkInterval
	})
	for trait, e := range *t.quarantined.Load() {
		if e.until <= now {
			t.set(trait, e, t.decisions[trait], now)
			t.Log.Info("quarantine of a "+e.kind()+" ended", e.key(), traitName(trait))
		}
	}
}

// updateSuspects derives the suspects if the evidence has changed, and clears those of
// which a request survived before they were suspected. The caller holds the lock.
func (t *Tracker) updateSuspects() {
	if !t.changed {
		return
	}
	t.suspects, t.changed = t.evidence.suspects(), false
	for trait, s := range t.suspects {
		if beganAt, ok := t.recent[trait]; ok && beganAt > s.times[0] {
			t.recordOwnSurvival(trait, s.isRequest, beganAt)
		}
	}
	if t.changed {
		t.suspects, t.changed = t.evidence.suspects(), false
	}
}

// State is a quarantined request or prompt block in the state dump.
type State struct {
	// Block is the ID of a block, and Fingerprint that of a request, in hexadecimal;
	// the other one is "".
	Block, Fingerprint string
	// RemainingMs is the remaining time of the quarantine in milliseconds. Times is the
	// number of quarantines in a row, this one included.
	RemainingMs int64
	Times       int
}

// States returns the quarantined requests and blocks, ordered by ID.
func (t *Tracker) States(now clock.Instant) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	quarantined := *t.quarantined.Load()
	var states []State
	for _, trait := range slices.Sorted(maps.Keys(quarantined)) {
		e := quarantined[trait]
		s := State{RemainingMs: e.until.Sub(now).Milliseconds(), Times: t.decisions[trait].times}
		if e.isRequest {
			s.Fingerprint = traitName(trait)
		} else {
			s.Block = traitName(trait)
		}
		states = append(states, s)
	}
	return states
}
