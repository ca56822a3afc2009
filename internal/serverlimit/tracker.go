// Package serverlimit keeps the limits that backend servers name in their responses, for
// as long as they say so: how many requests per second a server takes from all VMs
// together, or at how many refusals in a second the servers of a service fall over. The
// VMs exchange limits as records, so that one that gets no responses of a server knows
// its limit too.
//
// The package opens no sockets and takes the clock as a parameter. Package balance
// divides the limits among the VMs.
package serverlimit

import (
	"log/slog"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// maxServers bounds the server incarnations, or services, whose limits are kept.
	maxServers = 4096
	// unlistedLifetime is how long the limit of an incarnation is kept that the
	// registry doesn't list: other VMs may know a server earlier.
	unlistedLifetime = time.Minute
	// maxLoggedBytes bounds the part of a malformed value that is kept and logged.
	maxLoggedBytes = 64
)

// Source is where a VM learned of a limit.
type Source string

// The sources of limits.
const (
	FromResponse Source = "response" // the response to a request
	FromReport   Source = "report"   // the response to a poll of the load report
	FromVM       Source = "vm"       // another VM's record
)

// Subject is what a limit is of: an incarnation of a server, or all servers of a service.
type Subject struct {
	Key     roster.ServerKey
	Service string
}

// OfServer returns the subject of a limit of one server.
func OfServer(s *roster.Server) Subject { return Subject{Key: s.Key(), Service: s.Service} }

// OfService returns the subject of a limit of each server of a service.
func OfService(name string) Subject {
	return Subject{Key: roster.ServerKey{ID: name}, Service: name}
}

// Config holds what a Tracker needs.
type Config struct {
	// Kind is the kind of the records, and Name what the limits are in log lines.
	Kind  gossip.Kind
	Name  string
	Now   clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Apply applies the limit of a subject, in requests or refusals per second; zero means
	// none. It returns false if the subject isn't known.
	Apply func(key roster.ServerKey, perSecond float64) bool
	// Publish distributes a record that any VM may write.
	Publish func(gossip.Record)
}

// server is what is known of one incarnation of a server.
type server struct {
	// perSecond is zero if the server names no limit.
	perSecond float64
	version   uint64
	// unpublished means that this VM saw a change that the other VMs don't know yet.
	unpublished bool
	// listedAt is when the registry was last seen to list the incarnation.
	listedAt clock.Instant
	// malformed is the last value that is not a positive number, quoted; "" if there
	// was none.
	malformed string
}

// Tracker keeps the limits of backend servers. Its methods are safe for concurrent
// use.
type Tracker struct {
	Config
	// known is the number of servers, for responses without a limit.
	known atomic.Int64

	mu      sync.Mutex
	servers map[roster.ServerKey]*server
}

// New returns a tracker that knows no limits.
func New(config Config) *Tracker {
	return &Tracker{Config: config, servers: map[roster.ServerKey]*server{}}
}

// Record records what a response of a server states of the subject. A malformed value changes
// nothing. A response to a request without a limit ends the one in force; a report
// without one doesn't.
func (t *Tracker) Record(s Subject, statement Statement, source Source) {
	if !statement.Named && (source == FromReport || t.known.Load() == 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.server(s.Key, statement.Named)
	if known == nil {
		return
	}
	perSecond := 0.0
	if statement.Named {
		var ok bool
		if perSecond, ok = statement.parse(); !ok {
			t.recordMalformed(s, known, statement.Value, source)
			return
		}
	}
	if perSecond == known.perSecond {
		return
	}
	known.version = max(known.version, firstVersion(s.Key.Started)) + 1
	known.unpublished = true
	t.set(s.Key, known, perSecond, source)
}

// server returns the state of an incarnation, or nil if there is none or no room for
// one more. The caller holds the lock.
func (t *Tracker) server(key roster.ServerKey, create bool) *server {
	known := t.servers[key]
	if known != nil || !create {
		return known
	}
	if len(t.servers) >= maxServers {
		t.count("dropped", FromResponse)
		return nil
	}
	known = &server{listedAt: t.Now()}
	t.servers[key] = known
	t.known.Store(int64(len(t.servers)))
	return known
}

// set sets and applies a limit. The caller holds the lock.
func (t *Tracker) set(key roster.ServerKey, known *server, perSecond float64, source Source) {
	t.Log.Info(t.Name+" changed", "server", key.ID, "started", key.Started,
		"perSecond", perSecond, "before", known.perSecond, "source", source)
	t.count("changed", source)
	known.perSecond = perSecond
	t.Apply(key, perSecond)
}

// recordMalformed counts a value that can't be used, and logs it unless it is the
// same as the last one. The caller holds the lock.
func (t *Tracker) recordMalformed(s Subject, known *server, value string, source Source) {
	t.count("malformed", source)
	value = strconv.Quote(value[:min(len(value), maxLoggedBytes)])
	if known.malformed != value {
		t.Log.Warn("ignoring the "+t.Name+": not a positive number", "server", s.Key.ID, "service", s.Service,
			"value", value, "inForce", known.perSecond, "source", source)
	}
	known.malformed = value
}

func (t *Tracker) count(event string, source Source) {
	t.Scope.Tagged(map[string]string{"event": event, "source": string(source)}).Counter("statements").Inc(1)
}

// limitRecord is the value of a record. Its name is the ID of the server, or the service.
// It is encoded as an array, whose fields may not change (gossip.Encode).
type limitRecord struct {
	// Started is when the server's process started, in Unix milliseconds; zero for a
	// service.
	Started int64
	// PerSecond is zero if the server names no limit any more.
	PerSecond float64
}

const (
	// changeBits is the number of bits of a record's version that count the changes of
	// one incarnation. The others hold its start, so that a later one wins.
	changeBits = 20
	maxStarted = 1<<(63-changeBits) - 1
)

// firstVersion returns the version below all those of an incarnation's limits.
func firstVersion(started int64) uint64 {
	return uint64(min(max(0, started), maxStarted)) << changeBits
}

// ApplyRecord applies a record of another VM.
func (t *Tracker) ApplyRecord(r gossip.Record) {
	var value limitRecord
	err := gossip.Decode(r.Value, &value)
	if err == nil && (math.IsNaN(value.PerSecond) || math.IsInf(value.PerSecond, 0) || value.PerSecond < 0) {
		err = gossip.ErrMalformed.New("limit of %v requests per second", value.PerSecond)
	}
	if err != nil {
		t.Log.Warn("malformed record", "kind", r.Kind, "name", r.Name, "error", err)
		return
	}
	key := roster.ServerKey{ID: r.Name, Started: value.Started}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.server(key, value.PerSecond > 0)
	if known == nil || r.Version < known.version {
		return
	}
	known.version, known.unpublished = r.Version, false
	if value.PerSecond != known.perSecond {
		t.set(key, known, value.PerSecond, FromVM)
	}
}

// Tick publishes what this VM saw change, and applies all limits again: a server may
// have been listed since. It is called about ten times a second.
func (t *Tracker) Tick(now clock.Instant) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, known := range t.servers {
		if known.unpublished {
			known.unpublished = false
			t.publish(key, known)
		}
		if t.Apply(key, known.perSecond) {
			known.listedAt = now
		} else if now.Sub(known.listedAt) > unlistedLifetime {
			delete(t.servers, key)
		}
	}
	t.known.Store(int64(len(t.servers)))
}

// publish distributes a limit. The caller holds the lock.
func (t *Tracker) publish(key roster.ServerKey, known *server) {
	value, err := gossip.Encode(limitRecord{Started: key.Started, PerSecond: known.perSecond})
	if err != nil {
		t.Log.Error("encoding record failed", "kind", t.Kind, "error", err)
		return
	}
	t.Publish(gossip.Record{Key: gossip.Key{Kind: t.Kind, Name: key.ID}, Version: known.version, Value: value})
}
