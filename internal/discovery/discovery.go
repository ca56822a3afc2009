// Package discovery follows the data that the operators publish in a registry:
// backend servers, evacuations of failure domains, and the configuration. It also
// applies the registry records that other VMs publish, so that a VM that can't read
// the registry, or reads it less often, still receives changes.
//
// A configuration replaces only one with a lower version, whatever its source. The
// registry may be restored from an older copy, which begins a new era of its
// revisions (package revision).
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/freshness"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// watchTimeout is how long a watch waits for changes. It bounds the delay of
	// changes on a connection that failed without an error, if its keep-alive
	// doesn't detect that.
	watchTimeout = 5 * time.Second
	// batchPause is the pause before each watch, so that one response carries
	// several changes. A removed server may receive requests that much longer.
	batchPause = 200 * time.Millisecond
	// largeWatchTimeout and largeBatchPause replace watchTimeout and batchPause
	// in a large fleet, because the registry limits the call rate of the fleet
	// as a whole.
	largeWatchTimeout = 15 * time.Second
	largeBatchPause   = 500 * time.Millisecond
	// nonReaderBatchPause replaces largeBatchPause on a VM that is not a registry
	// reader of its region. It normally receives the readers' records sooner;
	// without them the pause is well within the operators' bound of 5 s.
	nonReaderBatchPause = 2 * time.Second
	// coveredBatchPause replaces nonReaderBatchPause for the backend servers while
	// a registry reader of the region states that its reads succeed. The coverage is
	// checked each coverageInterval.
	coveredBatchPause = 10 * time.Second
	coverageInterval  = time.Second
	// minWatchTimeout is how long a watch waits at least. A watch after a long pause
	// waits less than largeWatchTimeout, because the registry keeps its history for
	// 20 s only and truncates it for a watch from an earlier revision.
	minWatchTimeout = 2 * time.Second
	// coveredListDelay is the mean delay of a list of the backend servers after the
	// registry truncated its history or was restored, while a registry reader states
	// that its reads succeed.
	coveredListDelay = 10 * time.Second
	// If keys that the operators remove have to be refused within a bound, the configuration
	// is confirmed more often. A watch confirms it as of its start, so that one of
	// confirmingWatchShare of the bound leaves it up to twice as old; those of the registry
	// readers of a large fleet, which the others ask, wait for readerWatchShare. The others
	// learn of changes from the readers, and read without waiting each confirmingReadShare.
	confirmingWatchShare, readerWatchShare, confirmingReadShare = 0.32, 0.18, 0.6
	confirmingBatchPause                                        = 100 * time.Millisecond
	// recoveryPeriod is the time after a registry outage during which every VM of a
	// large fleet uses largeBatchPause: entries that expired meanwhile are added
	// again one by one.
	recoveryPeriod = 6 * time.Second
	// listStartTimeout bounds the wait for the start of the response to a list.
	// A slow registry takes 1 s; with a longer wait, a call to an unresponsive
	// registry would delay the next attempt after its return.
	listStartTimeout = 1500 * time.Millisecond
	// longListStartTimeout applies to each longListInterval-th of consecutive
	// attempts, for a registry that takes longer than listStartTimeout.
	longListStartTimeout = 4 * time.Second
	longListInterval     = 3
	// minBackoff and maxBackoff bound the pause after a failed read, before
	// jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// fetchTimeout bounds a request to another VM for its configuration.
	fetchTimeout = 2 * time.Second
	// minFetchInterval is the minimum time between two such requests, and
	// vainFetchInterval that after one which brought nothing newer: the VM that
	// was asked may not have the configuration yet, and an earlier release offers
	// the registry's revision in place of the version.
	minFetchInterval  = 200 * time.Millisecond
	vainFetchInterval = 500 * time.Millisecond
)

// Errors of a Registry.
var (
	Errors = errorx.NewNamespace("discovery").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrHistoryGone means that the registry no longer has the changes after the
	// revision of a watch, or that it was restored.
	ErrHistoryGone = Errors.NewType("history_gone")
	// ErrUnavailable means that the registry did not respond or refused the call.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
)

// Topic names a section of the registry that is listed and watched on its own.
type Topic string

// The topics of a registry.
const (
	Servers   Topic = "servers"
	Operators Topic = "operators"
)

// Change is one change in the registry. Exactly one of Server, RemovedServer,
// Domain and Table is set.
type Change struct {
	Revision revision.Revision
	// Server is a new or changed entry, and RemovedServer the ID of one that was
	// removed or is malformed.
	Server        *roster.Entry
	RemovedServer string
	// Domain is a failure domain whose evacuation begins (Evacuated) or ends.
	Domain    string
	Evacuated bool
	// Table is a decoded configuration and Raw its published form.
	Table *ingress.Table
	Raw   []byte
}

// Registry reads the operators' published data.
type Registry interface {
	// List returns all entries of a topic and the revision from which to watch.
	// It fails with ErrUnavailable if a response does not start within
	// startTimeout, or with ErrHistoryGone if the era changed meanwhile.
	List(ctx context.Context, topic Topic, startTimeout time.Duration) ([]Change, revision.Revision, error)
	// Watch waits up to wait for changes after the revision and returns them
	// with the new revision. The error is ErrHistoryGone, also if the era has
	// changed, or ErrUnavailable.
	Watch(ctx context.Context, topic Topic, after revision.Revision, wait time.Duration) ([]Change, revision.Revision, error)
	// Decode decodes a published configuration.
	Decode(raw []byte) (*ingress.Table, error)
}

// Config holds what a Follower needs.
type Config struct {
	Registry Registry
	Roster   *roster.Roster
	Now      clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	// Publish distributes a record to the other VMs, and Forget drops records here.
	Publish func(gossip.Record)
	Forget  func(keys ...gossip.Key)
	// LargeFleet reports whether many VMs share the registry's rate limit, and
	// RegistryReader whether this VM is one of the few of its region that read
	// the registry at short intervals.
	LargeFleet, RegistryReader func() bool
	// RegistryCovered reports whether a registry reader of the region has stated
	// just now that its reads succeed. Nil means that none does.
	RegistryCovered func() bool
	// Knowledge keeps how recent the configuration is; nil keeps nothing.
	Knowledge *freshness.Tracker
}

// Configuration is a configuration in force.
type Configuration struct {
	Table *ingress.Table
	Raw   []byte
	// Revision is the registry's revision of the configuration, or zero if it was
	// received from another VM.
	Revision revision.Revision
	// Since is the time at which it came into force in this process.
	Since clock.Instant
}

// Follower keeps the roster and the configuration up to date.
type Follower struct {
	Config
	current     atomic.Pointer[Configuration]
	mu          sync.Mutex // guards unavailable and serializes configuration changes
	unavailable map[Topic]bool
	// reading holds, by topic, whether the last read succeeded.
	reading map[Topic]*atomic.Bool
	// failedLists holds, by topic, the number of failed lists since the last
	// successful one.
	failedLists map[Topic]*atomic.Int32
	removals    removals
	// fetching is true during a request to another VM for its configuration, and
	// nextFetch is the time of the earliest next one.
	fetching  atomic.Bool
	nextFetch atomic.Int64
	// lastResponse is the time of the registry's last response, and recoveredAt when
	// it last became available again.
	lastResponse, recoveredAt atomic.Int64
	calls                     tally.Counter
	failures                  tally.Counter
	listDuration              tally.Histogram
	// serversAt is the revision up to which the servers were read, or nil.
	serversAt atomic.Pointer[revision.Revision]
	unseen    unseenReads
	// readVersion is the version of the configuration that the registry's last read held,
	// and readEra the era of that read. Only the goroutine of the operators' topic uses them.
	readVersion, readEra uint64
}

// New returns a follower without a configuration.
func New(config Config) *Follower {
	scope := config.Scope.SubScope("registry")
	return &Follower{
		Config: config, unavailable: map[Topic]bool{},
		failedLists: map[Topic]*atomic.Int32{Servers: {}, Operators: {}},
		removals:    removals{at: map[string]clock.Instant{}},
		reading:     map[Topic]*atomic.Bool{Servers: {}, Operators: {}},
		calls:       scope.Counter("calls"), failures: scope.Counter("failures"),
		listDuration: scope.Histogram("list_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
}

// Current returns the configuration in force, or nil.
func (f *Follower) Current() *Configuration { return f.current.Load() }

// Table returns the routing table of the configuration in force, or nil.
func (f *Follower) Table() *ingress.Table {
	if c := f.current.Load(); c != nil {
		return c.Table
	}
	return nil
}

// Initialized reports whether a configuration and at least one backend server are
// known, from any source.
func (f *Follower) Initialized() bool {
	return f.Table() != nil && len(f.Roster.View().All()) > 0
}

// ConfirmedAt returns the time of the registry's last response, or zero if
// there was none.
func (f *Follower) ConfirmedAt() clock.Instant { return clock.Instant(f.lastResponse.Load()) }

// Run follows a topic until ctx is done. It retries with backoff after failures.
func (f *Follower) Run(ctx context.Context, topic Topic) error {
	wait := minBackoff
	for {
		progressed, err := f.follow(ctx, topic)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.reading[topic].Store(false)
		if errorx.IsOfType(err, ErrHistoryGone) {
			f.Log.Warn("registry history truncated or registry restored, listing again", "topic", topic, "reason", err)
			if topic == Servers {
				// All VMs' watches end at the same time. The operators' changes are
				// few and are read at once.
				f.sleepWhileCovered(ctx, time.Duration(float64(coveredListDelay)*(0.5+rand.Float64())))
			}
			continue
		}
		if progressed {
			wait = minBackoff
		}
		f.markUnavailable(topic, err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(float64(wait) * (0.5 + rand.Float64()))):
		}
		wait = min(2*wait, maxBackoff)
	}
}

// follow lists a topic and watches it until a call fails. Progressed reports
// whether the list succeeded.
func (f *Follower) follow(ctx context.Context, topic Topic) (progressed bool, err error) {
	f.calls.Inc(1)
	started := f.Now()
	changes, at, err := f.Registry.List(ctx, topic, f.nextListStartTimeout(topic))
	if err != nil {
		f.failedLists[topic].Add(1)
		return false, err
	}
	f.failedLists[topic].Store(0)
	f.listDuration.RecordDuration(f.Now().Sub(started))
	f.markAvailable(topic)
	f.applyList(topic, changes, at)
	f.markRead(topic, at)
	f.confirmList(topic, at, started)
	f.reading[topic].Store(true)
	for {
		wait, pause := f.intervals(topic)
		received := f.Now()
		background.Sleep(ctx, pause)
		if topic == Servers {
			f.sleepWhileCovered(ctx, coveredBatchPause-pause)
		}
		if ctx.Err() != nil {
			return true, ctx.Err()
		}
		sentAt := f.Now()
		wait = max(min(wait, minWatchTimeout), wait-max(0, sentAt.Sub(received)-pause))
		f.calls.Inc(1)
		changes, next, err := f.Registry.Watch(ctx, topic, at, wait)
		if err != nil {
			return true, err
		}
		f.lastResponse.Store(int64(f.Now()))
		for _, c := range changes {
			f.apply(c, roster.Event)
		}
		at = max(at, next)
		f.markRead(topic, at)
		f.confirmRead(topic, sentAt)
	}
}

// confirmList records that a list of the operators' topic, which was sent at the given
// instant, holds the newest configuration.
func (f *Follower) confirmList(topic Topic, at revision.Revision, sentAt clock.Instant) {
	if f.Knowledge == nil || topic != Operators {
		return
	}
	if era := at.Era(); era > f.readEra && f.readEra > 0 {
		f.Knowledge.Restored(f.Now())
	}
	f.readEra = at.Era()
	f.confirmRead(topic, sentAt)
}

// confirmRead records that the registry's newest configuration is the one that was read last,
// by a call that was sent at the given instant.
func (f *Follower) confirmRead(topic Topic, sentAt clock.Instant) {
	if f.Knowledge != nil && topic == Operators && f.readVersion > 0 {
		f.Knowledge.ConfirmRead(f.readVersion, sentAt)
	}
}

// confirms reports whether the operators' topic is read often enough to refuse removed keys in
// time.
func (f *Follower) confirms() bool {
	table := f.Table()
	return f.Knowledge != nil && f.Knowledge.Bound > 0 && table != nil && table.HasTeams()
}

// markRead records that the changes of a topic up to the revision are known.
func (f *Follower) markRead(topic Topic, at revision.Revision) {
	if topic == Servers {
		f.serversAt.Store(&at)
	}
}

// nextListStartTimeout returns the start timeout of the topic's next list.
func (f *Follower) nextListStartTimeout(topic Topic) time.Duration {
	if f.failedLists[topic].Load()%longListInterval == longListInterval-1 {
		return longListStartTimeout
	}
	return listStartTimeout
}

// intervals returns the timeout of the next watch of a topic and the pause before it.
func (f *Follower) intervals(topic Topic) (wait, pause time.Duration) {
	switch {
	case topic == Operators && f.confirms():
		bound := float64(f.Knowledge.Bound)
		switch {
		case !f.LargeFleet():
			return time.Duration(confirmingWatchShare * bound), confirmingBatchPause
		case f.RegistryReader():
			return time.Duration(readerWatchShare * bound), confirmingBatchPause
		default:
			return time.Millisecond, time.Duration(confirmingReadShare * bound)
		}
	case !f.LargeFleet():
		return watchTimeout, batchPause
	case f.RegistryReader(), f.recentlyRecovered():
		return largeWatchTimeout, largeBatchPause
	default:
		return largeWatchTimeout, nonReaderBatchPause
	}
}

// sleepWhileCovered waits up to d while a registry reader of the region reads the
// registry on behalf of this VM, which is not one itself.
func (f *Follower) sleepWhileCovered(ctx context.Context, d time.Duration) {
	if f.RegistryCovered == nil || !f.LargeFleet() {
		return
	}
	for end := f.Now().Add(d); ctx.Err() == nil && f.Now() < end && !f.RegistryReader() && f.RegistryCovered(); {
		background.Sleep(ctx, coverageInterval)
	}
}

// ReadsRegistry reports whether this VM reads the registry on behalf of its region
// and its last reads of all topics succeeded.
func (f *Follower) ReadsRegistry() bool {
	return f.RegistryReader() && f.reading[Servers].Load() && f.reading[Operators].Load()
}

// ReadsServers reports whether this VM's last read of the servers succeeded.
func (f *Follower) ReadsServers() bool { return f.reading[Servers].Load() }

// recentlyRecovered reports whether a registry outage has ended just now.
func (f *Follower) recentlyRecovered() bool {
	at := clock.Instant(f.recoveredAt.Load())
	return at != 0 && f.Now().Sub(at) < recoveryPeriod
}

// markUnavailable records that a call for the topic failed.
func (f *Follower) markUnavailable(topic Topic, err error) {
	f.failures.Inc(1)
	f.mu.Lock()
	before := f.unavailable[topic]
	f.unavailable[topic] = true
	f.mu.Unlock()
	if topic == Servers {
		f.Roster.MarkRegistryUnavailable()
	}
	if !before {
		f.Log.Warn("registry unavailable", "topic", topic, "error", err)
	}
}

// markAvailable records that a list of the topic succeeded.
func (f *Follower) markAvailable(topic Topic) {
	f.lastResponse.Store(int64(f.Now()))
	f.mu.Lock()
	before := f.unavailable[topic]
	f.unavailable[topic] = false
	f.mu.Unlock()
	if topic == Servers {
		f.Roster.MarkRegistryAvailable(f.Now())
	}
	if before {
		f.recoveredAt.Store(int64(f.Now()))
		f.Log.Info("registry available again", "topic", topic)
	}
}

// applyList applies a complete list. Known entries that it doesn't contain are
// removed.
func (f *Follower) applyList(topic Topic, changes []Change, at revision.Revision) {
	servers, domains := map[string]bool{}, map[string]bool{}
	for _, c := range changes {
		if c.Server != nil {
			servers[c.Server.ID] = true
		}
		if c.Domain != "" && c.Evacuated {
			domains[c.Domain] = true
		}
		f.apply(c, roster.Listed)
	}
	if topic == Servers {
		f.publishRemovals(f.Roster.ApplyServerList(servers, at, f.Now()))
		return
	}
	for _, domain := range f.Roster.ApplyEvacuationList(domains, at, f.Now()) {
		f.publish(gossip.KindEvacuation, domain, at, false)
	}
}

// publishRemovals publishes removals that no change of the registry reported.
func (f *Follower) publishRemovals(all []roster.Removed) {
	for _, r := range all {
		f.publish(gossip.KindServer, r.Key.ID, r.Revision, serverRecord{Started: r.Key.Started})
	}
}

// Expire removes the servers that did not reappear after a registry outage or
// restore, and forgets those that have been gone for long. It is called a few times per
// second.
func (f *Follower) Expire(now clock.Instant) {
	f.publishRemovals(f.Roster.Expire(now))
	for _, id := range f.removals.takeExpired(now) {
		if !f.Roster.Forget(id) {
			continue // it is listed again
		}
		f.Forget(gossip.Key{Kind: gossip.KindServer, Name: id}, gossip.Key{Kind: gossip.KindLeaving, Name: id},
			gossip.Key{Kind: gossip.KindRequestLimit, Name: id})
	}
}

// apply applies a change from the registry and publishes it to the other VMs if it
// is new.
func (f *Follower) apply(c Change, source roster.Source) {
	now := f.Now()
	switch {
	case c.Table != nil:
		f.readVersion = c.Table.Version
		f.activate(c.Table, c.Raw, c.Revision, "registry")
	case c.Server != nil:
		if f.Roster.Put(*c.Server, c.Revision, source, now) {
			f.publish(gossip.KindServer, c.Server.ID, c.Revision, serverRecord{Entry: c.Server, Started: c.Server.Started})
		}
	case c.RemovedServer != "":
		started := int64(0)
		if s := f.Roster.View().Lookup(c.RemovedServer); s != nil {
			started = s.Started
		}
		if f.Roster.Remove(c.RemovedServer, c.Revision, started, now) {
			f.publish(gossip.KindServer, c.RemovedServer, c.Revision, serverRecord{Started: started})
		}
	case c.Domain != "":
		if f.Roster.SetEvacuated(c.Domain, c.Evacuated, c.Revision, source, now) {
			f.publish(gossip.KindEvacuation, c.Domain, c.Revision, c.Evacuated)
		}
	}
}

// MarkLeaving records that an incarnation of a server announced in a response that
// it leaves, and reports it to the other VMs if this is new.
func (f *Follower) MarkLeaving(key roster.ServerKey) {
	if !f.Roster.MarkLeaving(key, f.Now()) || key.Started <= 0 {
		return
	}
	f.Publish(gossip.Record{Key: gossip.Key{Kind: gossip.KindLeaving, Name: key.ID}, Version: uint64(key.Started)})
}

// serverRecord is the value of a KindServer record. A nil entry means that the
// server was removed. Started is the incarnation concerned, or zero if it is
// unknown. It is encoded with the names of its fields.
type serverRecord struct {
	Entry   *roster.Entry
	Started int64
}

// publish encodes a value and publishes it as a record to the other VMs.
func (f *Follower) publish(kind gossip.Kind, name string, rev revision.Revision, value any) {
	if record, ok := value.(serverRecord); ok && record.Entry == nil {
		f.removals.add(name, f.Now())
	}
	data, err := gossip.EncodeNamed(value)
	if err != nil {
		f.Log.Error("encoding record failed", "kind", kind, "name", name, "error", err)
		return
	}
	f.Publish(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: uint64(rev), Value: data})
}

// ApplyRecord applies a record of another VM that read the registry.
func (f *Follower) ApplyRecord(r gossip.Record) {
	now, rev := f.Now(), revision.Revision(r.Version)
	switch r.Kind {
	case gossip.KindLeaving:
		f.Roster.MarkLeaving(roster.ServerKey{ID: r.Name, Started: int64(r.Version)}, now)
	case gossip.KindServer:
		var record serverRecord
		if err := gossip.Decode(r.Value, &record); err != nil {
			f.Log.Warn("malformed record", "name", r.Name, "error", err)
			return
		}
		if record.Entry == nil {
			f.removals.add(r.Name, now)
			f.Roster.Remove(r.Name, rev, record.Started, now)
		} else if record.Entry.ID == r.Name {
			f.Roster.Put(*record.Entry, rev, roster.Listed, now)
		}
	case gossip.KindEvacuation:
		var evacuated bool
		if err := gossip.Decode(r.Value, &evacuated); err != nil {
			f.Log.Warn("malformed record", "name", r.Name, "error", err)
			return
		}
		f.Roster.SetEvacuated(r.Name, evacuated, rev, roster.Listed, now)
	}
}

// activate puts a configuration in force if its version is higher than that of the
// current one, and reports whether it did. A copy from which the registry was
// restored holds an older version at a higher revision, so the revision only
// decides between equal versions.
func (f *Follower) activate(table *ingress.Table, raw []byte, rev revision.Revision, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	if old != nil && (old.Table.Version > table.Version || old.Table.Version == table.Version && old.Revision >= rev) {
		if old.Table.Version > table.Version && old.Revision < rev {
			f.Log.Warn("ignoring a configuration with a lower version than the one in force", "version", table.Version,
				"inForce", old.Table.Version, "revision", rev, "from", from)
		}
		return false
	}
	f.current.Store(&Configuration{Table: table, Raw: raw, Revision: rev, Since: f.Now()})
	if f.Knowledge != nil {
		f.Knowledge.SetInForce(table.Version)
	}
	teams, _ := table.Teams()
	f.Log.Info("configuration in force", "version", table.Version, "revision", rev, "from", from, "teams", teams,
		"routes", table.RouteCount(), "services", len(table.Services))
	return true
}

// FetchNewer starts fetching the configuration of another VM if the version that it
// offers is higher than the one in force and no fetch is running or recent. Fetch
// returns the raw configuration that it received.
func (f *Follower) FetchNewer(version uint64, fetch func(context.Context) ([]byte, error)) {
	if f.Knowledge != nil {
		f.Knowledge.Hear(version)
	}
	if c := f.current.Load(); c != nil && c.Table.Version >= version {
		return
	}
	now := f.Now()
	if now < clock.Instant(f.nextFetch.Load()) || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	f.nextFetch.Store(int64(now.Add(minFetchInterval)))
	go func() {
		defer f.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		raw, err := fetch(ctx)
		if err != nil {
			f.Log.Warn("fetching configuration from another VM failed", "version", version, "error", err)
			return
		}
		table, err := f.Registry.Decode(raw)
		if err != nil {
			f.Log.Warn("configuration from another VM is malformed", "version", version, "error", err)
			return
		}
		if !f.activate(table, raw, 0, "member") {
			f.nextFetch.Store(int64(now.Add(vainFetchInterval)))
		}
	}()
}
