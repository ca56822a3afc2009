package configwatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// maxPropagation is the maximum time from the publication of a configuration
// until it is in force on all members.
const maxPropagation = 6 * time.Second

var errUnavailable = errors.New("unavailable")

// fakeService is an in-memory configuration service. It uses the time of the
// synctest bubble.
type fakeService struct {
	mu            sync.Mutex
	history       []published.Value // manifests, oldest first
	parts         map[string][]byte
	changed       chan struct{}
	down          bool
	staleness     func() int // number of revisions by which the next response is stale
	responseDelay func() time.Duration
	calls         int
	manifestReads int // number of manifests returned by Watch
}

func newFakeService() *fakeService {
	return &fakeService{
		parts: map[string][]byte{}, changed: make(chan struct{}),
		staleness:     func() int { return 0 },
		responseDelay: func() time.Duration { return 3 * time.Millisecond },
	}
}

func (s *fakeService) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish publishes a bundle as the next revision and returns the revision.
func (s *fakeService) publish(b *bundle.Bundle) uint64 {
	s.addParts(b)
	return s.publishManifest(b.Manifest)
}

func (s *fakeService) addParts(b *bundle.Bundle) {
	s.update(func() { maps.Copy(s.parts, b.Parts) })
}

func (s *fakeService) publishManifest(manifest []byte) uint64 {
	var revision uint64
	s.update(func() {
		revision = uint64(len(s.history) + 1)
		s.history = append(s.history, published.Value{Name: published.ValueManifest, Revision: revision, Data: manifest})
	})
	return revision
}

func (s *fakeService) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeService) manifestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifestReads
}

// newest returns the manifest that the next reader gets, and a channel that is
// closed at the next change.
func (s *fakeService) newest() (published.Value, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return published.Value{}, s.changed, errUnavailable
	}
	i := len(s.history) - 1 - s.staleness()
	if len(s.history) == 0 {
		return published.Value{}, s.changed, nil
	}
	return s.history[max(i, 0)], s.changed, nil
}

// reader is the client of the service in one member.
type reader struct {
	service     *fakeService
	unreachable *bool // guarded by fleet.mu
	fleet       *fakeFleet
}

func (r *reader) call(ctx context.Context) error {
	r.service.mu.Lock()
	r.service.calls++
	delay := r.service.responseDelay()
	r.service.mu.Unlock()
	if !pause(ctx, delay) {
		return ctx.Err()
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if *r.unreachable {
		return errUnavailable
	}
	return nil
}

func (r *reader) Read(ctx context.Context, name string) (published.Value, error) {
	if err := r.call(ctx); err != nil {
		return published.Value{}, err
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.service.down {
		return published.Value{}, errUnavailable
	}
	data, ok := r.service.parts[name[len(published.ValuePartPrefix):]]
	if !ok {
		return published.Value{}, published.ErrAbsent.New("%s", name)
	}
	return published.Value{Name: name, Revision: 1, Data: data}, nil
}

func (r *reader) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (published.Value, error) {
	if err := r.call(ctx); err != nil {
		return published.Value{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, changed, err := r.service.newest()
		if err != nil {
			return published.Value{}, err
		}
		if value.Revision > after {
			r.service.mu.Lock()
			r.service.manifestReads++
			r.service.mu.Unlock()
			return value, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			unchanged := published.Value{Name: value.Name, Revision: value.Revision}
			return unchanged, published.ErrUnchanged.New("unchanged")
		case <-ctx.Done():
			return published.Value{}, ctx.Err()
		}
	}
}

// member is one gateway of the fake fleet.
type member struct {
	vm, region    string
	number        int // within the region
	watches       bool
	noService     bool // calls to the service fail
	noHeartbeats  bool // sends no heartbeats
	watcher       *Watcher
	publisher     *snapshot.Publisher
	peerRevisions map[string]uint64
	receivedAt    map[string]time.Time
	stop          context.CancelFunc
	revisions     []uint64 // revisions that were in force, in order
}

// fakeFleet connects members. Each sends a heartbeat once a second.
type fakeFleet struct {
	t               *testing.T
	ctx             context.Context
	service         *fakeService
	wg              sync.WaitGroup
	rng             *rand.Rand
	mu              sync.Mutex
	members         map[string]*member
	cut             map[[2]string]bool          // pairs of regions without a connection
	confirms        bool                        // whether Confirmation calls succeed
	observeInterval time.Duration               // interval at which the revisions in force are recorded
	delivers        func(from, to *member) bool // whether heartbeats are sent from one to the other
}

func newFakeFleet(t *testing.T, regions, perRegion, watchers int) *fakeFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fakeFleet{
		t: t, ctx: ctx, service: newFakeService(), members: map[string]*member{},
		cut: map[[2]string]bool{}, rng: rand.New(rand.NewPCG(1, 2)), confirms: true, observeInterval: 20 * time.Millisecond,
		delivers: func(_, _ *member) bool { return true },
	}
	for r := range regions {
		for i := range perRegion {
			m := &member{vm: fmt.Sprintf("vm-%d-%d", r, i), region: fmt.Sprintf("region-%d", r), number: i, watches: i < watchers}
			f.members[m.vm] = m
		}
	}
	t.Cleanup(func() {
		cancel()
		f.wg.Wait()
	})
	return f
}

func (f *fakeFleet) startAll() {
	for _, m := range f.members {
		f.start(m)
	}
}

// start runs a new incarnation of the member.
func (f *fakeFleet) start(m *member) {
	ctx, cancel := context.WithCancel(f.ctx)
	self := snapshot.Identity{VM: m.vm, Region: m.region}
	publisher := snapshot.NewPublisher(self)
	publisher.Update(func(next *snapshot.Snapshot) { next.Members = f.memberList() })
	w := New(Config{
		Self: self, Reader: &reader{f.service, &m.noService, f}, Peers: &peerView{f, m},
		Publisher: publisher, Now: clock.Synthetic(), IsWatcher: func() bool { return m.watches },
	})
	f.mu.Lock()
	m.watcher, m.publisher, m.stop = w, publisher, cancel
	m.peerRevisions, m.receivedAt = map[string]uint64{}, map[string]time.Time{}
	f.mu.Unlock()
	f.wg.Go(func() { _ = w.Run(ctx) })
	f.wg.Go(func() { f.heartbeats(ctx, m) })
	f.wg.Go(func() { f.observe(ctx, m) })
}

func (f *fakeFleet) memberList() map[string]*snapshot.Member {
	list := map[string]*snapshot.Member{}
	for vm, m := range f.members {
		list[vm] = &snapshot.Member{Identity: snapshot.Identity{VM: vm, Region: m.region}}
	}
	return list
}

// heartbeats sends the revision in force to all reachable members until ctx
// ends.
func (f *fakeFleet) heartbeats(ctx context.Context, m *member) {
	f.mu.Lock()
	offset := time.Duration(f.rng.Int64N(int64(time.Second)))
	f.mu.Unlock()
	for pause(ctx, offset) {
		for _, to := range f.members {
			f.heartbeat(ctx, m, to)
		}
		offset = time.Second
	}
}

func (f *fakeFleet) heartbeat(ctx context.Context, from, to *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to == from || from.noHeartbeats || f.isCut(from, to) || !f.delivers(from, to) {
		return
	}
	revision := from.watcher.revision()
	f.wg.Go(func() {
		if !pause(ctx, f.delay(from, to)) {
			return
		}
		f.mu.Lock()
		w := to.watcher
		if w != nil {
			to.peerRevisions[from.vm], to.receivedAt[from.vm] = revision, time.Now()
		}
		f.mu.Unlock()
		if w != nil {
			w.RecordPeerRevision(from.vm, revision)
		}
	})
}

// observe records the revisions that are in force at the member until ctx ends.
func (f *fakeFleet) observe(ctx context.Context, m *member) {
	for pause(ctx, f.observeInterval) {
		revision := m.publisher.Load().Config.Revision
		f.mu.Lock()
		if n := len(m.revisions); revision > 0 && (n == 0 || m.revisions[n-1] != revision) {
			m.revisions = append(m.revisions, revision)
		}
		f.mu.Unlock()
	}
}

func (f *fakeFleet) isCut(a, b *member) bool {
	return f.cut[[2]string{a.region, b.region}] || f.cut[[2]string{b.region, a.region}]
}

func (f *fakeFleet) delay(a, b *member) time.Duration {
	if a.region == b.region {
		return 3 * time.Millisecond
	}
	return 80 * time.Millisecond
}

func (f *fakeFleet) update(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
}

// inForce reports whether all members have the revision in force.
func (f *fakeFleet) inForce(revision uint64) bool {
	for _, m := range f.members {
		if m.publisher.Load().Config.Revision != revision {
			return false
		}
	}
	return true
}

// awaitRevision waits until all members have the revision in force and returns
// the time that took. It fails the test after limit.
func (f *fakeFleet) awaitRevision(revision uint64, limit time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !f.inForce(revision) {
		if time.Since(start) > limit {
			for _, m := range f.members {
				f.t.Logf("%s watches=%v: %+v", m.vm, m.watches, m.watcher.State())
			}
			f.t.Fatalf("revision %d isn't in force on all members after %v", revision, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// checkMonotonic fails the test if the revision of a member decreased.
func (f *fakeFleet) checkMonotonic() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		for i := 1; i < len(m.revisions); i++ {
			if m.revisions[i] <= m.revisions[i-1] {
				f.t.Fatalf("%s: revisions aren't increasing: %v", m.vm, m.revisions)
			}
		}
	}
}

// peerView implements Peers and Confirmer for one member.
type peerView struct {
	fleet *fakeFleet
	self  *member
}

var (
	_ Peers     = (*peerView)(nil)
	_ Confirmer = (*peerView)(nil)
)

// Revisions implements Peers.
func (p *peerView) Revisions() map[string]uint64 {
	const reachable = 3 * time.Second
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	revisions := map[string]uint64{}
	for vm, revision := range p.self.peerRevisions {
		if time.Since(p.self.receivedAt[vm]) < reachable {
			revisions[vm] = revision
		}
	}
	return revisions
}

// dial waits for the duration of a call and returns the Watcher of the peer. It
// blocks until ctx ends if the peer's region is cut off.
func (p *peerView) dial(ctx context.Context, vm string) (*Watcher, error) {
	p.fleet.mu.Lock()
	to := p.fleet.members[vm]
	cut := to == nil || p.fleet.isCut(p.self, to)
	p.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !pause(ctx, 2*p.fleet.delay(p.self, to)) {
		return nil, ctx.Err()
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if to.watcher == nil {
		return nil, errUnavailable
	}
	return to.watcher, nil
}

// Manifest implements Peers.
func (p *peerView) Manifest(ctx context.Context, vm string) (published.Value, error) {
	w, err := p.dial(ctx, vm)
	if err != nil {
		return published.Value{}, err
	}
	value, ok := w.Manifest()
	if !ok {
		return value, errUnavailable
	}
	return value, nil
}

// Part implements Peers.
func (p *peerView) Part(ctx context.Context, vm, digest string) ([]byte, error) {
	w, err := p.dial(ctx, vm)
	if err != nil {
		return nil, err
	}
	data, ok := w.Part(digest)
	if !ok {
		return nil, errUnavailable
	}
	return data, nil
}

// Confirmation implements Confirmer.
func (p *peerView) Confirmation(ctx context.Context, vm string) (Confirmation, error) {
	if !p.fleet.confirms {
		return Confirmation{}, errUnavailable
	}
	w, err := p.dial(ctx, vm)
	if err != nil {
		return Confirmation{}, err
	}
	return w.Confirmation(), nil
}

// testBundle returns the bundle of a small valid set whose content depends on n.
func testBundle(t testing.TB, n int) *bundle.Bundle {
	t.Helper()
	set := objects.NewSet()
	for _, region := range []string{"r", "region-0", "region-1", "region-2"} {
		set.Add(&objects.Region{Name: region})
		set.Add(&objects.FailureDomain{Name: region + "-a", Spec: objects.FailureDomainSpec{Region: region}})
	}
	for i := range 20 {
		team := &objects.Team{Name: fmt.Sprintf("team-%d", i), Spec: objects.TeamSpec{Home: "r", Weight: 1}}
		if i == n%20 {
			team.Spec.Weight = float64(n + 2)
		}
		set.Add(team)
	}
	return buildBundle(t, set)
}

func buildBundle(t testing.TB, set *objects.Set) *bundle.Bundle {
	t.Helper()
	b, err := bundle.Build(set)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// invalidBundle returns a bundle whose set fails validation.
func invalidBundle(t testing.TB) *bundle.Bundle {
	t.Helper()
	set := objects.NewSet()
	set.Add(&objects.Team{Name: "lost", Spec: objects.TeamSpec{Home: "nowhere"}})
	return buildBundle(t, set)
}
