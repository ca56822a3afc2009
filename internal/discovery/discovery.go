// Package discovery follows what the operators publish: backend servers,
// evacuations and the configuration. It reads a registry and, for what this VM
// can't read, takes the word of other VMs.
//
// A configuration replaces only one with a lower revision, whoever brings it.
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
	// watchWait is how long a watch waits for changes. It bounds how long a
	// connection that went silent hides them, where its keep-alive doesn't.
	watchWait = 5 * time.Second
	// gather is the pause before each watch, in which changes come together. A
	// server that leaves may get work for so much longer.
	gather = 200 * time.Millisecond
	// largeWait and largeGather are the same for a large fleet, whose calls the
	// registry counts together. A VM that isn't one of the readers of its region
	// pauses for learnerGather: the readers' word comes sooner, and without it
	// the pause is well within the operators' bounds of 5 s.
	largeWait     = 15 * time.Second
	largeGather   = 500 * time.Millisecond
	learnerGather = 2 * time.Second
	// settling is the time after a list in which every VM reads often: entries
	// that lapsed while the registry was away come back one by one.
	settling = 6 * time.Second
	// beginTimeout bounds the wait for a list to begin: a slow registry takes a
	// second, and a silent one must not hide its return. Each patientTry-th list
	// in a row waits for patientTimeout, for a slower one.
	beginTimeout   = 1500 * time.Millisecond
	patientTimeout = 4 * time.Second
	patientTry     = 3
	// firstPause and maxPause bound the time between failed reads.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// fetchTimeout bounds a question to another VM for its configuration.
	fetchTimeout = 2 * time.Second
	// fetchPause is the least time between two such questions.
	fetchPause = 200 * time.Millisecond
)

// Errors of a Registry.
var (
	Errors = errorx.NewNamespace("discovery").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrHistoryGone says that a watch can't go on from its revision.
	ErrHistoryGone = Errors.NewType("history_gone")
	// ErrUnavailable says that the registry did not answer or refused.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
)

// Topic is a part of the registry.
type Topic string

// The topics of a registry.
const (
	Servers   Topic = "servers"
	Operators Topic = "operators"
)

// Change is one change in the registry. One of its parts is set.
type Change struct {
	Revision uint64
	// Server is an entry, and ServerGone the id of one that was removed or
	// can't be read.
	Server     *roster.Entry
	ServerGone string
	// Domain is a failure domain whose evacuation begins or ends.
	Domain    string
	Evacuated bool
	// Table is a configuration and Raw its published form.
	Table *ingress.Table
	Raw   []byte
}

// Registry is what the operators publish, read only.
type Registry interface {
	// List returns all entries of a topic and the revision at which a watch
	// goes on. It gives up where an answer does not begin in time.
	List(ctx context.Context, topic Topic, begin time.Duration) ([]Change, uint64, error)
	// Watch waits up to wait for changes after the revision.
	Watch(ctx context.Context, topic Topic, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Decode reads a published configuration.
	Decode(raw []byte) (*ingress.Table, error)
}

// Config holds what a Follower needs.
type Config struct {
	Registry Registry
	Roster   *roster.Roster
	Now      clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	// Share gives a record to the other VMs.
	Share func(gossip.Record)
	// LargeFleet reports whether many VMs share the registry's rate, and Reader
	// whether this is one of the few of its region that read it often.
	LargeFleet, Reader func() bool
}

// Configuration is the one in force.
type Configuration struct {
	Table    *ingress.Table
	Raw      []byte
	Revision uint64
	// Since is when it came into force here.
	Since clock.Instant
}

// Follower keeps the roster and the configuration up to date.
type Follower struct {
	Config
	inForce atomic.Pointer[Configuration]
	mu      sync.Mutex // serializes changes of the configuration
	away    map[Topic]bool
	// failures counts the lists in a row that failed.
	failures atomic.Int32
	// fetching is true while another VM is asked for its configuration.
	fetching atomic.Bool
	fetched  atomic.Int64
	// confirmed is when the registry last answered, and regainedAt when it did
	// for the first time or after a failure.
	confirmed, regainedAt atomic.Int64
	calls                 tally.Counter
	failed                tally.Counter
	timing                tally.Histogram
}

// New returns a follower that knows nothing.
func New(config Config) *Follower {
	scope := config.Scope.SubScope("registry")
	return &Follower{
		Config: config, away: map[Topic]bool{},
		calls: scope.Counter("calls"), failed: scope.Counter("failures"),
		timing: scope.Histogram("list_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
}

// Current returns the configuration in force, or nil.
func (f *Follower) Current() *Configuration { return f.inForce.Load() }

// Table returns the routes in force, or nil.
func (f *Follower) Table() *ingress.Table {
	if c := f.inForce.Load(); c != nil {
		return c.Table
	}
	return nil
}

// Known reports whether a configuration and a list of backend servers were
// heard from any source.
func (f *Follower) Known() bool {
	return f.Table() != nil && len(f.Roster.View().All()) > 0
}

// ConfirmedAt returns when the registry last answered.
func (f *Follower) ConfirmedAt() clock.Instant { return clock.Instant(f.confirmed.Load()) }

// Run follows a topic until ctx ends.
func (f *Follower) Run(ctx context.Context, topic Topic) error {
	wait := firstPause
	for {
		progressed, err := f.follow(ctx, topic)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errorx.IsOfType(err, ErrHistoryGone) {
			f.Log.Warn("registry history gone", "topic", topic)
			continue
		}
		if progressed {
			wait = firstPause
		}
		f.lost(topic, err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(float64(wait) * (0.5 + rand.Float64()))):
		}
		wait = min(2*wait, maxPause)
	}
}

// follow lists a topic and watches it until that fails.
func (f *Follower) follow(ctx context.Context, topic Topic) (progressed bool, err error) {
	f.calls.Inc(1)
	started := f.Now()
	changes, revision, err := f.Registry.List(ctx, topic, f.patience())
	if err != nil {
		f.failures.Add(1)
		return false, err
	}
	f.failures.Store(0)
	f.timing.RecordDuration(f.Now().Sub(started))
	f.regained(topic)
	f.takeList(topic, changes, revision)
	for {
		wait, pause := f.intervals()
		// Changes that come together are read together.
		background.Pause(ctx, pause)
		if ctx.Err() != nil {
			return true, ctx.Err()
		}
		f.calls.Inc(1)
		changes, next, err := f.Registry.Watch(ctx, topic, revision, wait)
		if err != nil {
			return true, err
		}
		f.confirmed.Store(int64(f.Now()))
		for _, c := range changes {
			f.apply(c)
		}
		revision = max(revision, next)
	}
}

// patience returns how long the next list may take to begin.
func (f *Follower) patience() time.Duration {
	if f.failures.Load()%patientTry == patientTry-1 {
		return patientTimeout
	}
	return beginTimeout
}

// intervals returns how long a watch waits, and the pause before it.
func (f *Follower) intervals() (wait, pause time.Duration) {
	switch {
	case !f.LargeFleet():
		return watchWait, gather
	case f.Reader(), f.Now().Sub(clock.Instant(f.regainedAt.Load())) < settling:
		return largeWait, largeGather
	default:
		return largeWait, learnerGather
	}
}

func (f *Follower) lost(topic Topic, err error) {
	f.failed.Inc(1)
	f.mu.Lock()
	was := f.away[topic]
	f.away[topic] = true
	f.mu.Unlock()
	if topic == Servers {
		f.Roster.MarkRegistryUnavailable()
	}
	if !was {
		f.Log.Warn("registry lost", "topic", topic, "error", err)
	}
}

func (f *Follower) regained(topic Topic) {
	f.confirmed.Store(int64(f.Now()))
	f.regainedAt.Store(int64(f.Now()))
	f.mu.Lock()
	was := f.away[topic]
	f.away[topic] = false
	f.mu.Unlock()
	if topic == Servers {
		f.Roster.MarkRegistryAvailable(f.Now())
	}
	if was {
		f.Log.Info("registry regained", "topic", topic)
	}
}

// takeList applies a whole list: what it lacks is gone.
func (f *Follower) takeList(topic Topic, changes []Change, revision uint64) {
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

// apply takes in one change from the registry and tells the other VMs.
func (f *Follower) apply(c Change) {
	now := f.Now()
	switch {
	case c.Table != nil:
		f.adopt(c.Table, c.Raw, c.Revision, "registry")
	case c.Server != nil:
		if f.Roster.Put(*c.Server, c.Revision, now) {
			f.share(gossip.KindServer, c.Server.ID, c.Revision, serverWord{Entry: c.Server})
		}
	case c.ServerGone != "":
		if f.Roster.Remove(c.ServerGone, c.Revision, now) {
			f.share(gossip.KindServer, c.ServerGone, c.Revision, serverWord{})
		}
	case c.Domain != "":
		if f.Roster.SetEvacuated(c.Domain, c.Evacuated, c.Revision, now) {
			f.share(gossip.KindEvacuation, c.Domain, c.Revision, c.Evacuated)
		}
	}
}

// serverWord is a registry's word about a backend server; no entry means that
// it is gone.
type serverWord struct {
	Entry *roster.Entry
}

func (f *Follower) share(kind gossip.Kind, name string, revision uint64, value any) {
	data, err := gossip.Encode(value)
	if err != nil {
		f.Log.Error("record not encoded", "kind", kind, "name", name, "error", err)
		return
	}
	f.Share(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: revision, Value: data})
}

// Received takes in what another VM read in the registry.
func (f *Follower) Received(r gossip.Record) {
	now := f.Now()
	switch r.Kind {
	case gossip.KindServer:
		var w serverWord
		if err := gossip.Decode(r.Value, &w); err != nil {
			f.Log.Warn("record can't be read", "name", r.Name, "error", err)
			return
		}
		if w.Entry == nil {
			f.Roster.Remove(r.Name, r.Version, now)
		} else if w.Entry.ID == r.Name {
			f.Roster.Put(*w.Entry, r.Version, now)
		}
	case gossip.KindEvacuation:
		var on bool
		if err := gossip.Decode(r.Value, &on); err != nil {
			f.Log.Warn("record can't be read", "name", r.Name, "error", err)
			return
		}
		f.Roster.SetEvacuated(r.Name, on, r.Version, now)
	}
}

// adopt puts a configuration in force if it is newer.
func (f *Follower) adopt(table *ingress.Table, raw []byte, revision uint64, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.inForce.Load(); old != nil && old.Revision >= revision {
		return
	}
	f.inForce.Store(&Configuration{Table: table, Raw: raw, Revision: revision, Since: f.Now()})
	f.Log.Info("configuration in force", "version", table.Version, "revision", revision, "from", from,
		"routes", table.Routes(), "services", len(table.Services))
}

// Newer is told that another VM has a configuration of the given revision.
// Fetch asks that VM for it.
func (f *Follower) Newer(revision uint64, fetch func(context.Context) (uint64, []byte, error)) {
	if c := f.inForce.Load(); c != nil && c.Revision >= revision {
		return
	}
	now := f.Now()
	if now.Sub(clock.Instant(f.fetched.Load())) < fetchPause || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	f.fetched.Store(int64(now))
	go func() {
		defer f.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		got, raw, err := fetch(ctx)
		if err != nil {
			f.Log.Warn("configuration of another VM not read", "revision", revision, "error", err)
			return
		}
		table, err := f.Registry.Decode(raw)
		if err != nil {
			f.Log.Warn("configuration of another VM is malformed", "revision", got, "error", err)
			return
		}
		f.adopt(table, raw, got, "member")
	}()
}
