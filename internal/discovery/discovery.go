// Package discovery follows the data that the operators publish in a registry:
// backend servers, evacuations of failure domains, and the configuration. It also
// applies the registry records that other VMs publish, so that a VM that can't read
// the registry, or reads it less often, still receives changes.
//
// A configuration replaces only one with a lower revision, whatever its source.
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
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
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
	// recoveryPeriod is the time after a list during which every VM of a large
	// fleet uses largeBatchPause: entries that expired while the registry was
	// unavailable are added again one by one.
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
	// minFetchInterval is the minimum time between two such requests.
	minFetchInterval = 200 * time.Millisecond
)

// Errors of a Registry.
var (
	Errors = errorx.NewNamespace("discovery").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrHistoryGone means that the registry no longer has the changes after the
	// revision of a watch.
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
	Revision uint64
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
	// startTimeout.
	List(ctx context.Context, topic Topic, startTimeout time.Duration) ([]Change, uint64, error)
	// Watch waits up to wait for changes after the revision and returns them
	// with the new revision. The error is ErrHistoryGone or ErrUnavailable.
	Watch(ctx context.Context, topic Topic, after uint64, wait time.Duration) ([]Change, uint64, error)
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
	// Publish distributes a record to the other VMs.
	Publish func(gossip.Record)
	// LargeFleet reports whether many VMs share the registry's rate limit, and
	// RegistryReader whether this VM is one of the few of its region that read
	// the registry at short intervals.
	LargeFleet, RegistryReader func() bool
}

// Configuration is a configuration in force.
type Configuration struct {
	Table    *ingress.Table
	Raw      []byte
	Revision uint64
	// Since is the time at which it came into force in this process.
	Since clock.Instant
}

// Follower keeps the roster and the configuration up to date.
type Follower struct {
	Config
	current     atomic.Pointer[Configuration]
	mu          sync.Mutex // guards unavailable and serializes configuration changes
	unavailable map[Topic]bool
	// failedLists is the number of failed lists, of any topic, since the last
	// successful one.
	failedLists atomic.Int32
	// fetching is true during a request to another VM for its configuration, and
	// lastFetch is the time of the last one.
	fetching  atomic.Bool
	lastFetch atomic.Int64
	// lastResponse is the time of the registry's last response, and lastList that of
	// the last successful list.
	lastResponse, lastList atomic.Int64
	calls                  tally.Counter
	failures               tally.Counter
	listDuration           tally.Histogram
}

// New returns a follower without a configuration.
func New(config Config) *Follower {
	scope := config.Scope.SubScope("registry")
	return &Follower{
		Config: config, unavailable: map[Topic]bool{},
		calls: scope.Counter("calls"), failures: scope.Counter("failures"),
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
		if errorx.IsOfType(err, ErrHistoryGone) {
			f.Log.Warn("registry history truncated, listing again", "topic", topic)
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
	changes, revision, err := f.Registry.List(ctx, topic, f.nextListStartTimeout())
	if err != nil {
		f.failedLists.Add(1)
		return false, err
	}
	f.failedLists.Store(0)
	f.listDuration.RecordDuration(f.Now().Sub(started))
	f.markAvailable(topic)
	f.applyList(topic, changes, revision)
	for {
		wait, pause := f.intervals()
		background.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return true, ctx.Err()
		}
		f.calls.Inc(1)
		changes, next, err := f.Registry.Watch(ctx, topic, revision, wait)
		if err != nil {
			return true, err
		}
		f.lastResponse.Store(int64(f.Now()))
		for _, c := range changes {
			f.apply(c)
		}
		revision = max(revision, next)
	}
}

// nextListStartTimeout returns the start timeout of the next list.
func (f *Follower) nextListStartTimeout() time.Duration {
	if f.failedLists.Load()%longListInterval == longListInterval-1 {
		return longListStartTimeout
	}
	return listStartTimeout
}

// intervals returns the timeout of the next watch and the pause before it.
func (f *Follower) intervals() (wait, pause time.Duration) {
	switch {
	case !f.LargeFleet():
		return watchTimeout, batchPause
	case f.RegistryReader(), f.Now().Sub(clock.Instant(f.lastList.Load())) < recoveryPeriod:
		return largeWatchTimeout, largeBatchPause
	default:
		return largeWatchTimeout, nonReaderBatchPause
	}
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
	f.lastList.Store(int64(f.Now()))
	f.mu.Lock()
	before := f.unavailable[topic]
	f.unavailable[topic] = false
	f.mu.Unlock()
	if topic == Servers {
		f.Roster.MarkRegistryAvailable(f.Now())
	}
	if before {
		f.Log.Info("registry available again", "topic", topic)
	}
}

// applyList applies a complete list. Known entries that it doesn't contain are
// removed.
func (f *Follower) applyList(topic Topic, changes []Change, revision uint64) {
	servers, domains := map[string]bool{}, map[string]bool{}
	for _, c := range changes {
		if c.Server != nil {
			servers[c.Server.ID] = true
		}
		if c.Domain != "" && c.Evacuated {
			domains[c.Domain] = true
		}
		f.apply(c)
	}
	if topic == Servers {
		f.Roster.ApplyServerList(servers, revision, f.Now())
		return
	}
	f.Roster.ApplyEvacuationList(domains, revision, f.Now())
}

// apply applies a change from the registry and publishes it to the other VMs if it
// is new.
func (f *Follower) apply(c Change) {
	now := f.Now()
	switch {
	case c.Table != nil:
		f.activate(c.Table, c.Raw, c.Revision, "registry")
	case c.Server != nil:
		if f.Roster.Put(*c.Server, c.Revision, now) {
			f.publish(gossip.KindServer, c.Server.ID, c.Revision, serverRecord{Entry: c.Server})
		}
	case c.RemovedServer != "":
		if f.Roster.Remove(c.RemovedServer, c.Revision, now) {
			f.publish(gossip.KindServer, c.RemovedServer, c.Revision, serverRecord{})
		}
	case c.Domain != "":
		if f.Roster.SetEvacuated(c.Domain, c.Evacuated, c.Revision, now) {
			f.publish(gossip.KindEvacuation, c.Domain, c.Revision, c.Evacuated)
		}
	}
}

// serverRecord is the value of a KindServer record. A nil entry means that the
// server was removed. It is encoded as an array: fields may only be added at the
// end.
type serverRecord struct {
	Entry *roster.Entry
}

// publish encodes a value and publishes it as a record to the other VMs.
func (f *Follower) publish(kind gossip.Kind, name string, revision uint64, value any) {
	data, err := gossip.Encode(value)
	if err != nil {
		f.Log.Error("encoding record failed", "kind", kind, "name", name, "error", err)
		return
	}
	f.Publish(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: revision, Value: data})
}

// ApplyRecord applies a record of another VM that read the registry.
func (f *Follower) ApplyRecord(r gossip.Record) {
	now := f.Now()
	switch r.Kind {
	case gossip.KindServer:
		var record serverRecord
		if err := gossip.Decode(r.Value, &record); err != nil {
			f.Log.Warn("malformed record", "name", r.Name, "error", err)
			return
		}
		if record.Entry == nil {
			f.Roster.Remove(r.Name, r.Version, now)
		} else if record.Entry.ID == r.Name {
			f.Roster.Put(*record.Entry, r.Version, now)
		}
	case gossip.KindEvacuation:
		var evacuated bool
		if err := gossip.Decode(r.Value, &evacuated); err != nil {
			f.Log.Warn("malformed record", "name", r.Name, "error", err)
			return
		}
		f.Roster.SetEvacuated(r.Name, evacuated, r.Version, now)
	}
}

// activate puts a configuration in force if its revision is higher than that of
// the current one.
func (f *Follower) activate(table *ingress.Table, raw []byte, revision uint64, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.current.Load(); old != nil && old.Revision >= revision {
		return
	}
	f.current.Store(&Configuration{Table: table, Raw: raw, Revision: revision, Since: f.Now()})
	f.Log.Info("configuration in force", "version", table.Version, "revision", revision, "from", from,
		"routes", table.RouteCount(), "services", len(table.Services))
}

// FetchNewer starts fetching the configuration of another VM if the given revision
// is higher than that of the one in force and no fetch is running or recent.
// Fetch returns the revision and the raw configuration that it received.
func (f *Follower) FetchNewer(revision uint64, fetch func(context.Context) (uint64, []byte, error)) {
	if c := f.current.Load(); c != nil && c.Revision >= revision {
		return
	}
	now := f.Now()
	if now.Sub(clock.Instant(f.lastFetch.Load())) < minFetchInterval || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	f.lastFetch.Store(int64(now))
	go func() {
		defer f.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		got, raw, err := fetch(ctx)
		if err != nil {
			f.Log.Warn("fetching configuration from another VM failed", "revision", revision, "error", err)
			return
		}
		table, err := f.Registry.Decode(raw)
		if err != nil {
			f.Log.Warn("configuration from another VM is malformed", "revision", got, "error", err)
			return
		}
		f.activate(table, raw, got, "member")
	}()
}
