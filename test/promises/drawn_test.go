package promises

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	standinplatform "github.com/chestnutspring/chestnutspring/internal/standin/platform"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

const (
	// randomFaultsDuration is how long faults are injected in CI.
	randomFaultsDuration = 12 * time.Second
	// faultInterval is the time between two injected faults.
	faultInterval = 500 * time.Millisecond
	// maxFaultDuration bounds the duration of a fault. It exceeds the interval, so
	// that faults overlap.
	maxFaultDuration = 3 * time.Second
	// recoveryBound is the time after the last repair within which all entries
	// serve again.
	recoveryBound = 10 * time.Second
)

// Environment variables set by make soak.
const (
	envSoakSeeds = "CHESTNUT_SOAK_SEEDS"
	envSoakTime  = "CHESTNUT_SOAK_TIME"
)

// seedsAndDuration returns the seeds and the duration of each run: by default
// fixed seeds for CI, else the values set by make soak.
func seedsAndDuration(t *testing.T) ([]uint64, time.Duration) {
	t.Helper()
	seeds, d := []uint64{1, 2}, randomFaultsDuration
	if list := os.Getenv(envSoakSeeds); list != "" {
		seeds = nil
		for _, field := range strings.Fields(list) {
			s, err := strconv.ParseUint(field, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			seeds = append(seeds, s)
		}
	}
	if text := os.Getenv(envSoakTime); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		d = parsed
	}
	return seeds, d
}

// faultInjector injects faults into a deployment, drawn at random from a seed.
type faultInjector struct {
	t      *testing.T
	bed    *testbed.Bed
	random *rand.Rand
	start  time.Time

	mu      sync.Mutex
	trace   []string
	repairs sync.WaitGroup
	// unavailable contains the gateways that are killed or paused.
	unavailable map[string]bool
}

// tracef adds a line to the trace, which is logged when the test fails.
func (d *faultInjector) tracef(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace = append(d.trace, fmt.Sprintf("%6.2fs %s", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...)))
}

// injectTemporary injects a fault and repairs it after a random duration.
func (d *faultInjector) injectTemporary(name string, inject, repair func()) {
	duration := time.Duration(d.random.IntN(int(maxFaultDuration)))
	d.tracef("%s for %v", name, duration.Round(time.Millisecond))
	inject()
	d.repairs.Go(func() {
		time.Sleep(duration)
		repair()
		d.tracef("end of: %s", name)
	})
}

// reserveGateway reserves a random gateway for a fault. It returns nil if that
// gateway is already killed or paused.
func (d *faultInjector) reserveGateway() *testbed.Gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	region := d.bed.Regions()[d.random.IntN(len(d.bed.Regions()))]
	g := d.bed.GatewaysOf(region)[d.random.IntN(2)]
	if d.unavailable[g.Name] {
		return nil
	}
	d.unavailable[g.Name] = true
	return g
}

func (d *faultInjector) releaseGateway(g *testbed.Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unavailable, g.Name)
}

func (d *faultInjector) killGateway() {
	g := d.reserveGateway()
	if g == nil {
		return
	}
	d.injectTemporary("kill of "+g.Name, g.Kill, func() {
		ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
		defer cancel()
		if err := g.Restart(ctx); err != nil {
			d.t.Error(err)
		}
		d.releaseGateway(g)
	})
}

func (d *faultInjector) pauseGateway() {
	g := d.reserveGateway()
	if g == nil {
		return
	}
	d.injectTemporary("pause of "+g.Name, g.Pause, func() { g.Resume(); d.releaseGateway(g) })
}

func (d *faultInjector) cutLink() {
	regions := d.bed.Regions()
	i := d.random.IntN(len(regions))
	a, b := regions[i], regions[(i+1)%len(regions)]
	d.injectTemporary("cut between "+a+" and "+b, func() { d.bed.CutLink(a, b) }, func() { d.bed.HealLink(a, b) })
}

func (d *faultInjector) stopPlatform() {
	region := d.bed.Regions()[d.random.IntN(3)]
	d.injectTemporary("platform outage in "+region,
		func() { d.bed.Platform.SetOutage(region, standinplatform.OutageHang) },
		func() { d.bed.Platform.SetOutage(region, standinplatform.OutageNone) })
}

func (d *faultInjector) serveStaleManifest() {
	d.injectTemporary("stale manifest at the platform",
		func() { d.bed.Platform.SetStale(published.ValueManifest, 1) },
		func() { d.bed.Platform.SetStale(published.ValueManifest, 0) })
}

func (d *faultInjector) publishTeam() {
	d.tracef("publication of a new team")
	addTeam(d.t, d.bed, fmt.Sprintf("team-%d", d.random.Uint32()))
}

func (d *faultInjector) failReplica() {
	faults := []service.Fault{service.FaultRunAndClose, service.FaultCloseWithoutRun, service.FaultRefuse, service.FaultRunAndError}
	fault := faults[d.random.IntN(len(faults))]
	region := d.bed.Regions()[d.random.IntN(3)]
	d.tracef("fault %d of spot-desk-%s-1, three times", fault, region)
	d.bed.Services["spot-desk-"+region+"-1"].InjectFault(fault, 3)
}

func (d *faultInjector) interruptStreams() {
	region := d.bed.Regions()[d.random.IntN(3)]
	e := d.bed.Engines["wind-writer-"+region+"-1"]
	d.injectTemporary("streams of wind-writer-"+region+"-1 interrupted at token 3",
		func() { e.SetFaults(engine.Faults{CutAtToken: 3}) },
		func() { e.SetFaults(engine.Faults{}) })
}

// run injects faults for the given duration and waits until all are repaired.
func (d *faultInjector) run(length time.Duration) {
	faults := []func(){d.killGateway, d.pauseGateway, d.cutLink, d.stopPlatform, d.serveStaleManifest, d.publishTeam, d.failReplica, d.interruptStreams}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(faultInterval) {
		faults[d.random.IntN(len(faults))]()
	}
	d.repairs.Wait()
}

// watchRevisions fails the test if the configuration revision of a gateway
// incarnation ever decreases. It returns when the context is done.
func watchRevisions(ctx context.Context, t *testing.T, bed *testbed.Bed) {
	highest := map[snapshot.Identity]uint64{}
	for ctx.Err() == nil {
		for _, g := range bed.Gateways {
			self, revision, ok := identityAndRevision(ctx, g)
			if !ok {
				continue
			}
			if revision < highest[self] {
				t.Errorf("%s went back from revision %d to %d", self.VM, highest[self], revision)
			}
			highest[self] = max(highest[self], revision)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// identityAndRevision returns the identity and configuration revision of a
// gateway. The last result is false if the gateway does not respond.
func identityAndRevision(ctx context.Context, g *testbed.Gateway) (snapshot.Identity, uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.OperatorURL()+"/debug/state", nil)
	if err != nil {
		return snapshot.Identity{}, 0, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return snapshot.Identity{}, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct {
		Self     snapshot.Identity
		Revision uint64
	}
	err = json.NewDecoder(resp.Body).Decode(&state)
	return state.Self, state.Revision, err == nil
}

// bookUntilDone books with keys of random owners until the context is done.
// Each key is attempted at all entries concurrently, twice.
func bookUntilDone(ctx context.Context, b *bookingRecorder, d *faultInjector) {
	random := rand.New(rand.NewPCG(seed, 7))
	regions := d.bed.Regions()
	for ctx.Err() == nil {
		owner := d.bed.GatewaysOf(regions[random.IntN(len(regions))])[random.IntN(2)]
		keys, _ := b.tryKeys(owner, 3)
		b.attemptAll(keys, attemptTimeout)
		b.attemptAll(keys, attemptTimeout)
	}
}

// All guarantees hold, by the records of the stand-ins, while faults of all
// kinds are injected under load, overlapping and repeated, drawn from a seed.
// Afterwards every entry serves again.
func TestPromiseAllUnderDrawnFaults(t *testing.T) {
	seeds, length := seedsAndDuration(t)
	for _, faultSeed := range seeds {
		t.Run(fmt.Sprintf("seed %d", faultSeed), func(t *testing.T) { runRandomFaults(t, faultSeed, length) })
	}
}

func runRandomFaults(t *testing.T, faultSeed uint64, length time.Duration) {
	bed := startBed(t, func(c *testbed.Config) {
		c.Seed = faultSeed
		c.Service = func(_ *objects.BackendServer, s *service.Config) {
			s.Duration = func(string, string) time.Duration { return bookingDuration }
		}
	})
	d := &faultInjector{t: t, bed: bed, random: rand.New(rand.NewPCG(faultSeed, 0)), start: time.Now(), unavailable: map[string]bool{}}
	b := newBookingRecorder(t, bed)
	before := bed.PublishedSet()
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() { bookUntilDone(ctx, b, d) })
	load.Go(func() { watchRevisions(ctx, t, bed) })
	load.Go(func() {
		runChatLoad(bed, length, 8, func(team, region, prompt string, r reply) {
			if r.ok() && !isComplete(r, prompt) {
				t.Errorf("%s at %s: a wrong response: %v", team, region, r)
			}
		})
	})
	d.run(length)
	checkRecovery(t, bed)
	cancel()
	load.Wait()

	b.audit(t)
	checkResidency(t, bed, before, time.Now())
	if t.Failed() {
		t.Logf("trace of seed %d:\n%s", faultSeed, strings.Join(d.trace, "\n"))
	}
}

// checkRecovery waits until the newest configuration is in force on all
// gateways and all of them serve again.
func checkRecovery(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	last := bed.Platform.Revision(published.ValueManifest)
	eventually(t, recoveryBound, fmt.Sprintf("revision %d on all gateways after the last repair", last), func() bool { return allAtRevision(bed, last) })
	for name, g := range bed.Gateways {
		prompt := "recovered " + name
		eventually(t, recoveryBound, name+" serves after the last repair", func() bool {
			return isComplete(send(sharedClient, g.CallerAddress(), chat(unrestrictedTeam, prompt)), prompt)
		})
	}
}
