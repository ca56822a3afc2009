// Package resume keeps at which service and software version streams began, so that a
// stream that broke off goes on at that version or not at all: what two versions write
// doesn't fit together, and servers don't check it.
//
// Each VM knows the streams that it began. It sends them to the other VMs while a
// service has, or may have had, several versions. Else the only version is enough to
// go on with a stream that isn't known, as long as the VM hears from the others or the
// registry confirms that it missed none. The package opens no sockets and takes the
// clock as a parameter.
package resume

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// streamMemory is how long after its start a stream may be taken up: longer than
	// the callers' deadlines.
	streamMemory = 30 * time.Second
	// blindMemory is the time after this VM could not know of new versions until the
	// other VMs' records have told it what it missed.
	blindMemory = versionsInterval + time.Second
	// versionsInterval is the maximum time between two records of this VM's history.
	versionsInterval = 5 * time.Second
	// vouchDelay is the time after its start from which a VM relies on how far the
	// histories of the others reach back: earlier ones may be outdated copies.
	vouchDelay = 3 * time.Second
	// recordWait bounds how long a request waits for the other VMs' record of its
	// stream, and recordCheckInterval is the time between two looks.
	recordWait          = time.Second
	recordCheckInterval = 20 * time.Millisecond
	// maxStreams bounds the streams that are kept.
	maxStreams = 200_000
)

// Origin is where a stream began.
type Origin struct{ Service, SoftwareVersion string }

// Config holds what a Tracker needs.
type Config struct {
	Now   clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// FirstStart means that the fleet starts for the first time, so that no stream
	// began before.
	FirstStart bool
	// View returns the known servers.
	View func() *roster.View
	// RegistryRead reports whether this VM, or one that tells it of changes, reads the
	// registry.
	RegistryRead func() bool
	// Reachable reports whether another VM is reachable, and AnyReachable whether one is.
	Reachable    func(vm string) bool
	AnyReachable func() bool
	// InTouch reports whether this VM has heard from all others just now. Otherwise it
	// relies on the only version that it knows only after UnseenVersions, which returns
	// the origins that the registry lists, or did meanwhile, and that this VM has not read.
	InTouch        func() bool
	UnseenVersions func(ctx context.Context) ([]Origin, error)
	// PublishOwn distributes a part of what this VM alone writes.
	PublishOwn func(kind gossip.Kind, part string, value []byte)
}

// startSecond is when a stream began, or was first heard of, in seconds since the tracker was
// made. A large fleet has tens of thousands of streams.
type startSecond uint32

// Tracker keeps where streams began. Its methods are safe for concurrent use.
type Tracker struct {
	Config
	started clock.Instant

	mu sync.Mutex
	// streams holds the streams of each origin by their hashes. No origin is without streams. A
	// hash with several origins is ambiguous: streams with the same ID began at each of them.
	streams map[Origin]map[uint64]startSecond
	own     ownStreams
	history history
	// published is the last record of the history, and publishedAt when it was sent.
	published   versionsRecord
	publishedAt clock.Instant
	expiredAt   clock.Instant
	// checkedView is the view for which the history was last compared with the
	// published one, at checkedAt.
	checkedView *roster.View
	checkedAt   clock.Instant
}

// New returns a tracker that knows no streams.
func New(config Config) *Tracker {
	config.Scope = config.Scope.SubScope("resume")
	now := config.Now()
	t := &Tracker{Config: config, started: now, streams: map[Origin]map[uint64]startSecond{}, history: history{services: map[string]map[string]clock.Instant{}, since: now}}
	if config.FirstStart {
		t.history.since = now.Add(-streamMemory)
	}
	return t
}

// hashOf identifies a request between VMs.
func hashOf(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// Begin records where the stream in response to a caller's request begins.
func (t *Tracker) Begin(requestID string, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, hash := t.Now(), hashOf(requestID)
	t.keep(hash, origin, now)
	t.own.add(hash, origin, now)
}

// originOf returns where a stream began, and the number of origins that are known for it. The
// caller holds the lock.
func (t *Tracker) originOf(hash uint64) (origin Origin, number int) {
	for o, streams := range t.streams {
		if _, known := streams[hash]; known {
			origin = o
			number++
		}
	}
	return origin, number
}

// count returns the number of known streams. The caller holds the lock.
func (t *Tracker) count() int {
	n := 0
	for _, streams := range t.streams {
		n += len(streams)
	}
	return n
}

// keep adds a stream, or the time if it is known with this origin. The caller holds the lock.
func (t *Tracker) keep(hash uint64, origin Origin, now clock.Instant) {
	streams := t.streams[origin]
	if _, known := streams[hash]; !known && t.count() >= maxStreams {
		t.Scope.Counter("dropped").Inc(1)
		return
	}
	if streams == nil {
		streams = map[uint64]startSecond{}
		t.streams[origin] = streams
	}
	streams[hash] = t.secondOf(now)
}

// forget removes a stream. The caller holds the lock.
func (t *Tracker) forget(hash uint64, origin Origin) {
	delete(t.streams[origin], hash)
	if len(t.streams[origin]) == 0 {
		delete(t.streams, origin)
	}
}

func (t *Tracker) secondOf(now clock.Instant) startSecond {
	return startSecond(now.Sub(t.started) / time.Second)
}

// BrokeOff records that the response to a request ended early, so that its caller may
// take the stream up at another VM.
func (t *Tracker) BrokeOff(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.markBroken(hashOf(requestID))
}

// Find returns where the stream began to which the request's response belongs. If
// another VM's record may still arrive, it waits for it until ctx ends. Fallback is the
// service that is used if the stream isn't known, but had no choice of versions.
func (t *Tracker) Find(ctx context.Context, requestID, fallback string) (Origin, bool) {
	asked := false
	for end := t.Now().Add(recordWait); ; {
		origin, ok, known := t.find(requestID, fallback)
		if ok && !known && !t.InTouch() {
			// Versions may have appeared that only the others know.
			confirmed := !asked && t.confirm(ctx)
			asked = true
			origin, ok, known = t.find(requestID, fallback)
			ok = ok && (known || confirmed)
		}
		if ok {
			return origin, true
		}
		if known || ctx.Err() != nil || requestID == "" || t.Now() >= end || !t.AnyReachable() {
			t.Scope.Counter("unknown").Inc(1)
			return Origin{}, false
		}
		background.Sleep(ctx, recordCheckInterval)
	}
}

// FindLater records where the stream began to which a request belongs, once that is known,
// although its caller has left: the caller may name the request at another VM. ResumedID
// and fallback are as for Find.
func (t *Tracker) FindLater(requestID, resumedID, fallback string) {
	go func() {
		if origin, ok := t.Find(context.Background(), resumedID, fallback); ok {
			t.Begin(requestID, origin)
			t.BrokeOff(requestID)
		}
	}()
}

// find returns where a stream began or, if that isn't known, the only version of the
// fallback service. Ok is false if there is neither, or if what is known is ambiguous.
func (t *Tracker) find(requestID, fallback string) (origin Origin, ok, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if origin, number := t.originOf(hashOf(requestID)); number > 0 {
		return origin, number == 1, true
	}
	now := t.Now()
	t.observe(now)
	version, ok := t.history.only(fallback, now)
	return Origin{fallback, version}, ok, false
}

// confirm adds the versions that this VM may have missed to the history. It reports
// whether it could ask for them.
func (t *Tracker) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	missed, err := t.UnseenVersions(ctx)
	if err != nil {
		t.Scope.Counter("unconfirmed").Inc(1)
		t.Log.Warn("can't confirm the software versions of the services", "error", err)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range missed {
		if goneAt, seen := t.history.services[o.Service][o.SoftwareVersion]; !seen || goneAt != 0 {
			t.history.set(o.Service, o.SoftwareVersion, t.Now())
		}
	}
	t.Scope.Counter("confirmed").Inc(1)
	return true
}

// observe brings the history up to date. The caller holds the lock.
func (t *Tracker) observe(now clock.Instant) {
	t.history.observe(t.View(), now)
	if !t.RegistryRead() {
		t.history.blindAt = now
	}
}

// Tick publishes what the other VMs need and forgets what has expired. It is called
// several times per second.
func (t *Tracker) Tick(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if now.Sub(t.expiredAt) >= time.Second {
		t.expire(now)
	}
	if view := t.history.view; view != t.checkedView || now.Sub(t.checkedAt) >= time.Second {
		t.checkedView, t.checkedAt = view, now
		t.publishVersions(now)
	}
	t.publishStreams(now)
}

// expire forgets streams and versions. The caller holds the lock.
func (t *Tracker) expire(now clock.Instant) {
	t.expiredAt = now
	t.history.expire(now)
	const memory = startSecond(streamMemory / time.Second)
	for origin, streams := range t.streams {
		for hash, second := range streams {
			if t.secondOf(now)-second > memory {
				t.forget(hash, origin)
			}
		}
	}
	t.Scope.Gauge("streams").Update(float64(t.count()))
}

// publishVersions publishes the history if it changed or is due. The caller holds the
// lock.
func (t *Tracker) publishVersions(now clock.Instant) {
	record := t.history.record(now)
	changed := !equalVersions(record, t.published)
	if !changed && now.Sub(t.publishedAt) < versionsInterval {
		return
	}
	if changed {
		t.Log.Info("software versions of the services changed", "versions", record.Services, "known", now.Sub(t.history.since))
	}
	data, err := gossip.Encode(record)
	if err != nil {
		t.Log.Error("encoding software versions failed", "error", err)
		return
	}
	t.published, t.publishedAt = record, now
	t.PublishOwn(gossip.KindSoftwareVersions, "", data)
}

// publishStreams publishes this VM's streams whose versions the other VMs can't know
// otherwise. The caller holds the lock.
func (t *Tracker) publishStreams(now clock.Instant) {
	certain := map[string]bool{}
	isCertain := func(service string) bool {
		ok, known := certain[service]
		if !known {
			_, ok = t.history.only(service, now)
			certain[service] = ok
		}
		return ok
	}
	for part, batch := range t.own.unpublished(isCertain, now) {
		data, err := gossip.Encode(batch)
		if err != nil {
			t.Log.Error("encoding streams failed", "error", err)
			continue
		}
		t.PublishOwn(gossip.KindStreams, part, data)
	}
}

// ApplyRecord applies a record of another VM, or of this VM's process before.
func (t *Tracker) ApplyRecord(r gossip.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	switch r.Kind {
	case gossip.KindStreams:
		var batch streamsRecord
		if err := gossip.Decode(r.Value, &batch); err != nil {
			t.Log.Warn("malformed record", "kind", r.Kind, "name", r.Name, "error", err)
			return
		}
		for hash, origin := range batch.all() {
			if _, known := t.streams[origin][hash]; !known {
				t.keep(hash, origin, now)
			}
		}
	case gossip.KindSoftwareVersions:
		var record versionsRecord
		if err := gossip.Decode(r.Value, &record); err != nil {
			t.Log.Warn("malformed record", "kind", r.Kind, "name", r.Name, "error", err)
			return
		}
		complete := now.Sub(t.started) >= vouchDelay && t.Reachable(r.Name)
		t.history.apply(record, complete, now.Sub(t.started) < streamMemory, now)
	}
}
