package quarantine

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// firstDuration is the duration of a block's first quarantine. It doubles each
	// time up to maxDuration.
	firstDuration = 2 * time.Minute
	maxDuration   = 32 * time.Minute
	// rememberFor is how long after a quarantine one crash is sufficient for the
	// next one, unless a request with the block survived meanwhile.
	rememberFor = 2 * time.Hour
	// maxQuarantined bounds the quarantined blocks.
	maxQuarantined = 1024
	// recentLifetime is how long a survival of an unsuspected block is remembered, and
	// maxRecent bounds their number.
	recentLifetime = 10 * time.Second
	maxRecent      = 8192
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
	// PublishOwn distributes a value that only this VM writes, in place of the one
	// that it published before, and Publish a record that any VM may write.
	PublishOwn func(kind gossip.Kind, value []byte)
	Publish    func(gossip.Record)
}

// entry is a quarantined block.
type entry struct {
	until clock.Instant
	// firstCrash is the first crash on which the quarantine is based. A request with
	// the block that began later and survived refutes it.
	firstCrash clock.Instant
}

// decision is the last decision on a block.
type decision struct {
	version uint64
	// times is the number of quarantines in a row, and endsAt when the last one ends or
	// ended.
	times  int
	endsAt clock.Instant
}

// check is the check whether a server has crashed that broke off requests.
type check struct {
	prompts []prompt
	// at is when the first of them broke.
	at clock.Instant
	// runningAt is when the server was found to be running; zero until then.
	runningAt clock.Instant
}

// Tracker collects evidence and decides which blocks are quarantined. Its methods are
// safe for concurrent use.
type Tracker struct {
	Config
	// quarantined is immutable and replaced as a whole.
	quarantined atomic.Pointer[map[uint64]entry]

	mu       sync.Mutex
	evidence evidence
	// recent holds when the last request of this VM with a block began that survived,
	// also of blocks that are not suspected yet: other VMs report crashes late.
	recent map[uint64]clock.Instant
	// suspects is derived from the evidence. Changed means that the evidence has changed
	// since.
	suspects  map[uint64]*suspect
	changed   bool
	checks    map[roster.ServerKey]*check
	decisions map[uint64]decision
	// ownCrashes and ownSurvivals are this VM's observations. Unpublished means that
	// they have changed since they were last sent to the other VMs.
	ownCrashes   []*ownCrash
	ownSurvivals []ownSurvival
	unpublished  bool

	crashes tally.Counter
	blocks  tally.Gauge
}

// New returns a tracker without evidence.
func New(config Config) *Tracker {
	scope := config.Scope.SubScope("quarantine")
	t := &Tracker{
		Config: config, evidence: newEvidence(), recent: map[uint64]clock.Instant{}, checks: map[roster.ServerKey]*check{}, decisions: map[uint64]decision{},
		crashes: scope.Counter("server_crashes"), blocks: scope.Gauge("blocks"),
	}
	t.quarantined.Store(&map[uint64]entry{})
	return t
}

// Find returns the first of the blocks that is quarantined and for how long it still
// is, or false if none is.
func (t *Tracker) Find(blocks []uint64, now clock.Instant) (block uint64, remaining time.Duration, found bool) {
	quarantined := *t.quarantined.Load()
	if len(quarantined) == 0 {
		return 0, 0, false
	}
	for _, b := range blocks {
		if e, ok := quarantined[b]; ok && e.until > now {
			return b, e.until.Sub(now), true
		}
	}
	return 0, 0, false
}

// RecordSurvival records that a request that was sent and whose response began at the
// given times has now survived: it was delivered, or the response has lasted for
// SurvivalTime.
func (t *Tracker) RecordSurvival(blocks []uint64, sentAt, beganAt clock.Instant) {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evidence.exposure += exposureSmoothing * (now.Sub(sentAt).Seconds() - t.evidence.exposure)
	t.evidence.anySurvivedAt = max(t.evidence.anySurvivedAt, beganAt)
	for _, b := range blocks {
		if _, known := t.recent[b]; known || len(t.recent) < maxRecent {
			t.recent[b] = max(t.recent[b], beganAt)
		}
		if t.isSuspected(b) {
			t.recordOwnSurvival(b, beganAt)
		}
	}
}

// isSuspected reports whether the block has crashes to be cleared of, or was
// quarantined before. The caller holds the lock.
func (t *Tracker) isSuspected(block uint64) bool {
	return t.suspects[block] != nil || t.decisions[block].times > 0
}

// recordOwnSurvival clears a suspected block, also on the other VMs. The caller holds
// the lock.
func (t *Tracker) recordOwnSurvival(block uint64, beganAt clock.Instant) {
	if !t.clear(block, beganAt) {
		return
	}
	t.ownSurvivals = slices.DeleteFunc(t.ownSurvivals, func(s ownSurvival) bool { return s.block == block })
	t.ownSurvivals = appendBounded(t.ownSurvivals, ownSurvival{block: block, beganAt: beganAt}, maxSentSurvivals)
	t.unpublished = true
	if e, ok := (*t.quarantined.Load())[block]; ok && beganAt > e.firstCrash {
		now := t.Now()
		t.publish(block, entry{until: now, firstCrash: now}, 0)
		t.Log.Warn("prompt block released from quarantine: a request with it survived", "block", blockName(block), "beganBefore", now.Sub(beganAt))
	}
}

// clear clears a block of the crashes before the given time, at which a request with
// it began that survived, and reports whether that is news. The caller holds the lock.
func (t *Tracker) clear(block uint64, beganAt clock.Instant) bool {
	if !t.evidence.addSurvival(block, beganAt) {
		return false
	}
	t.changed = true
	if d := t.decisions[block]; d.times > 0 && beganAt > d.endsAt {
		d.times = 0
		t.decisions[block] = d
	}
	return true
}

// RecordBreak records that the connection to a server broke while it ran a request
// with the blocks, before its response had lasted for SurvivalTime. If the server is
// found to have crashed, the blocks are suspected.
func (t *Tracker) RecordBreak(server *roster.Server, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	now, key := t.Now(), server.Key()
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(t.ownCrashes, func(c *ownCrash) bool { return c.server == key }); i >= 0 {
		c := t.ownCrashes[i]
		c.prompts = addPrompt(c.prompts, blocks)
		t.addCrash(c)
		return
	}
	c := t.checks[key]
	switch {
	case c == nil || c.runningAt != 0 && now.Sub(c.runningAt) >= checkInterval:
		c = &check{prompts: addPrompt(nil, blocks), at: now}
		t.checks[key] = c
		go t.check(server, c)
	case c.runningAt == 0:
		c.prompts = addPrompt(c.prompts, blocks)
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
	own := &ownCrash{server: server.Key(), address: server.Address, at: c.at, prompts: c.prompts}
	t.ownCrashes = appendBounded(t.ownCrashes, own, maxSentCrashes)
	t.addCrash(own)
	t.crashes.Inc(1)
	t.Log.Warn("backend server crashed", "server", server.ID, "service", server.Service, "address", server.Address,
		"brokeBefore", t.Now().Sub(c.at), "prompts", len(c.prompts), "knownCrashes", len(t.evidence.crashes))
}

// addCrash adds a crash that this VM saw to the evidence. The caller holds the lock.
func (t *Tracker) addCrash(c *ownCrash) {
	t.unpublished = true
	t.mergeCrash(c.server, c.address, c.at, t.VM, c.prompts)
}

// mergeCrash adds a crash to the evidence unless a quarantined block explains it. The
// caller holds the lock.
func (t *Tracker) mergeCrash(server roster.ServerKey, address string, at clock.Instant, vm string, prompts []prompt) {
	quarantined := *t.quarantined.Load()
	for _, p := range prompts {
		if slices.ContainsFunc(p.Blocks, func(b uint64) bool { _, ok := quarantined[b]; return ok }) {
			return
		}
	}
	t.evidence.setCrash(server, address, at, vm, prompts)
	t.changed = true
	for _, p := range prompts {
		for _, b := range p.Blocks {
			if beganAt := t.recent[b]; beganAt > at {
				t.recordOwnSurvival(b, beganAt)
			}
		}
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
	for _, c := range e.Crashes {
		t.mergeCrash(roster.ServerKey{ID: c.Server, Started: c.Started}, c.Address, atAge(now, c.AgeMs), r.Name, boundedPrompts(c.Prompts))
	}
	for _, s := range e.Survivals {
		t.clear(s.Block, atAge(now, s.AgeMs))
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
	block, err := parseBlockName(r.Name)
	if err != nil {
		return err
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version <= t.decisions[block].version {
		return nil
	}
	remaining := time.Duration(min(max(0, q.RemainingMs), maxDuration.Milliseconds())) * time.Millisecond
	e := entry{until: now.Add(remaining), firstCrash: atAge(now, q.FirstCrashAgeMs)}
	t.set(block, e, decision{version: r.Version, times: q.Times, endsAt: e.until}, now)
	t.Log.Info("quarantine of a prompt block set by another VM", "block", r.Name, "remaining", remaining, "times", q.Times)
	return nil
}

// set replaces the quarantine of a block. One that ends now is a release. The caller
// holds the lock.
func (t *Tracker) set(block uint64, e entry, d decision, now clock.Instant) {
	quarantined := maps.Clone(*t.quarantined.Load())
	delete(quarantined, block)
	if e.until > now && len(quarantined) < maxQuarantined {
		quarantined[block] = e
		t.evidence.removeExplained(block)
	}
	t.quarantined.Store(&quarantined)
	t.decisions[block] = d
	if len(t.decisions) > maxDecisions {
		delete(t.decisions, slices.MinFunc(slices.Collect(maps.Keys(t.decisions)), func(a, b uint64) int {
			return cmp.Compare(t.decisions[a].endsAt, t.decisions[b].endsAt)
		}))
	}
	t.changed = true
	t.blocks.Update(float64(len(quarantined)))
}

// publish applies and publishes a decision of this VM. The caller holds the lock.
func (t *Tracker) publish(block uint64, e entry, times int) {
	now := t.Now()
	d := decision{version: t.decisions[block].version + 1, times: times, endsAt: e.until}
	t.set(block, e, d, now)
	value, err := gossip.Encode(quarantineRecord{
		RemainingMs: max(0, e.until.Sub(now)).Milliseconds(), FirstCrashAgeMs: now.Sub(e.firstCrash).Milliseconds(), Times: times,
	})
	if err != nil {
		t.Log.Error("encoding record failed", "kind", gossip.KindQuarantine, "error", err)
		return
	}
	t.Publish(gossip.Record{Key: gossip.Key{Kind: gossip.KindQuarantine, Name: blockName(block)}, Version: d.version, Value: value})
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
		deadly := t.evidence.deadly(t.suspects, now, func(block uint64) int { return t.neededEpisodes(block, unknownBlock, now) })
		if len(deadly) == 0 {
			break
		}
		for _, s := range deadly {
			t.quarantine(s, now)
		}
		t.updateSuspects()
	}
	if !t.unpublished {
		return
	}
	t.unpublished = false
	value, err := encodeEvidence(t.ownCrashes, t.ownSurvivals, now)
	if err != nil {
		t.Log.Error("encoding record failed", "kind", gossip.KindEvidence, "error", err)
		return
	}
	t.PublishOwn(gossip.KindEvidence, value)
}

// neededEpisodes returns the number of episodes after which a block is quarantined:
// one if it was quarantined before and no request with it survived since, else
// unknownBlock.
func (t *Tracker) neededEpisodes(block uint64, unknownBlock int, now clock.Instant) int {
	if d := t.decisions[block]; d.times > 0 && now.Sub(d.endsAt) < rememberFor {
		return 1
	}
	return unknownBlock
}

// quarantine puts a block in quarantine on all VMs. The caller holds the lock.
func (t *Tracker) quarantine(s *suspect, now clock.Instant) {
	times := t.decisions[s.block].times + 1
	duration := min(firstDuration<<min(times-1, 16), maxDuration)
	t.publish(s.block, entry{until: now.Add(duration), firstCrash: s.times[0]}, times)
	t.Log.Warn("prompt block quarantined: servers crash on it", "block", blockName(s.block), "crashes", len(s.times),
		"addresses", len(s.addresses), "requests", s.requests, "firstCrashBefore", now.Sub(s.times[0]), "for", duration, "times", times)
}

// expire removes what has expired. The caller holds the lock.
func (t *Tracker) expire(now clock.Instant) {
	t.evidence.expire(now)
	t.ownCrashes = slices.DeleteFunc(t.ownCrashes, func(c *ownCrash) bool { return now.Sub(c.at) > evidenceLifetime })
	t.ownSurvivals = slices.DeleteFunc(t.ownSurvivals, func(s ownSurvival) bool { return now.Sub(s.beganAt) > evidenceLifetime })
	maps.DeleteFunc(t.recent, func(_ uint64, beganAt clock.Instant) bool { return now.Sub(beganAt) > recentLifetime })
	maps.DeleteFunc(t.checks, func(_ roster.ServerKey, c *check) bool {
		return c.runningAt != 0 && now.Sub(c.runningAt) >= checkInterval
	})
	for block, e := range *t.quarantined.Load() {
		if e.until <= now {
			t.set(block, e, t.decisions[block], now)
			t.Log.Info("quarantine of a prompt block ended", "block", blockName(block))
		}
	}
}

// updateSuspects derives the suspects if the evidence has changed. The caller holds
// the lock.
func (t *Tracker) updateSuspects() {
	if t.changed {
		t.suspects, t.changed = t.evidence.suspects(), false
	}
}

// State is a quarantined block in the state dump.
type State struct {
	// Block is its ID in hexadecimal.
	Block string
	// RemainingMs is the remaining time of the quarantine in milliseconds. Times is the
	// number of quarantines in a row, this one included.
	RemainingMs int64
	Times       int
}

// States returns the quarantined blocks, ordered by ID.
func (t *Tracker) States(now clock.Instant) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	quarantined := *t.quarantined.Load()
	var states []State
	for _, block := range slices.Sorted(maps.Keys(quarantined)) {
		states = append(states, State{Block: blockName(block), RemainingMs: quarantined[block].until.Sub(now).Milliseconds(), Times: t.decisions[block].times})
	}
	return states
}
