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
	// drawnTime is how long faults are drawn in CI.
	drawnTime = 12 * time.Second
	// drawPause is the time between two faults.
	drawPause = 500 * time.Millisecond
	// longestFault bounds how long a fault lasts, so that several overlap.
	longestFault = 3 * time.Second
	// recoveryBound is the time after the last repair in which all entries
	// serve again.
	recoveryBound = 10 * time.Second
)

// The environment variables of make soak.
const (
	envSoakSeeds = "CHESTNUT_SOAK_SEEDS"
	envSoakTime  = "CHESTNUT_SOAK_TIME"
)

// drawnSeeds returns the seeds and the time of each run: fixed ones in CI.
func drawnSeeds(t *testing.T) ([]uint64, time.Duration) {
	t.Helper()
	seeds, d := []uint64{1, 2}, drawnTime
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

// drawn strikes a deployment with faults from a seed.
type drawn struct {
	t      *testing.T
	bed    *testbed.Bed
	random *rand.Rand
	start  time.Time

	mu      sync.Mutex
	trace   []string
	repairs sync.WaitGroup
	// down holds the gateways that are killed or frozen.
	down map[string]bool
}

// note adds a line to the trace that is printed when a promise breaks.
func (d *drawn) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace = append(d.trace, fmt.Sprintf("%6.2fs %s", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...)))
}

// lasting strikes, and repairs after a drawn time.
func (d *drawn) lasting(what string, strike, repair func()) {
	lasts := time.Duration(d.random.IntN(int(longestFault)))
	d.note("%s for %v", what, lasts.Round(time.Millisecond))
	strike()
	d.repairs.Go(func() {
		time.Sleep(lasts)
		repair()
		d.note("end of: %s", what)
	})
}

// takeDown reserves a gateway for a fault. It returns nil if none is free.
func (d *drawn) takeDown() *testbed.Gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	region := d.bed.Regions()[d.random.IntN(len(d.bed.Regions()))]
	g := d.bed.GatewaysOf(region)[d.random.IntN(2)]
	if d.down[g.Name] {
		return nil
	}
	d.down[g.Name] = true
	return g
}

func (d *drawn) putBack(g *testbed.Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.down, g.Name)
}

func (d *drawn) kill() {
	g := d.takeDown()
	if g == nil {
		return
	}
	d.lasting("kill of "+g.Name, g.Kill, func() {
		ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
		defer cancel()
		if err := g.Restart(ctx); err != nil {
			d.t.Error(err)
		}
		d.putBack(g)
	})
}

func (d *drawn) freeze() {
	g := d.takeDown()
	if g == nil {
		return
	}
	d.lasting("freeze of "+g.Name, g.Pause, func() { g.Resume(); d.putBack(g) })
}

func (d *drawn) cut() {
	regions := d.bed.Regions()
	i := d.random.IntN(len(regions))
	a, b := regions[i], regions[(i+1)%len(regions)]
	d.lasting("cut between "+a+" and "+b, func() { d.bed.CutLink(a, b) }, func() { d.bed.HealLink(a, b) })
}

func (d *drawn) outage() {
	region := d.bed.Regions()[d.random.IntN(3)]
	d.lasting("outage of the platform in "+region,
		func() { d.bed.Platform.SetOutage(region, standinplatform.OutageHang) },
		func() { d.bed.Platform.SetOutage(region, standinplatform.OutageNone) })
}

func (d *drawn) stale() {
	d.lasting("old manifest at the platform",
		func() { d.bed.Platform.SetStale(published.ValueManifest, 1) },
		func() { d.bed.Platform.SetStale(published.ValueManifest, 0) })
}

func (d *drawn) publish() {
	d.note("publication")
	addTeam(d.t, d.bed, fmt.Sprintf("team-%d", d.random.Uint32()))
}

func (d *drawn) breakReplica() {
	faults := []service.Fault{service.FaultRunAndClose, service.FaultCloseWithoutRun, service.FaultRefuse, service.FaultRunAndError}
	fault := faults[d.random.IntN(len(faults))]
	region := d.bed.Regions()[d.random.IntN(3)]
	d.note("fault %d of spot-desk-%s-1, three times", fault, region)
	d.bed.Services["spot-desk-"+region+"-1"].InjectFault(fault, 3)
}

func (d *drawn) cutStreams() {
	region := d.bed.Regions()[d.random.IntN(3)]
	e := d.bed.Engines["wind-writer-"+region+"-1"]
	d.lasting("streams of wind-writer-"+region+"-1 cut at token 3",
		func() { e.SetFaults(engine.Faults{CutAtToken: 3}) },
		func() { e.SetFaults(engine.Faults{}) })
}

// run draws faults for the time and waits until all are repaired.
func (d *drawn) run(length time.Duration) {
	strikes := []func(){d.kill, d.freeze, d.cut, d.outage, d.stale, d.publish, d.breakReplica, d.cutStreams}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(drawPause) {
		strikes[d.random.IntN(len(strikes))]()
	}
	d.repairs.Wait()
}

// watchRevisions fails the test if a revision ever goes back at an
// incarnation. It ends when the context does.
func watchRevisions(ctx context.Context, t *testing.T, bed *testbed.Bed) {
	highest := map[snapshot.Identity]uint64{}
	for ctx.Err() == nil {
		for _, g := range bed.Gateways {
			self, revision, ok := identityOf(ctx, g)
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

// identityOf asks a gateway for its identity and its revision.
func identityOf(ctx context.Context, g *testbed.Gateway) (snapshot.Identity, uint64, bool) {
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

// bookWhile books at random owners until the context ends. Every attempt goes
// to all entries at once, and again later.
func bookWhile(ctx context.Context, b *bookings, d *drawn) {
	random := rand.New(rand.NewPCG(seed, 7))
	regions := d.bed.Regions()
	for ctx.Err() == nil {
		owner := d.bed.GatewaysOf(regions[random.IntN(len(regions))])[random.IntN(2)]
		keys, _ := b.tryKeys(owner, 3)
		b.attemptAll(keys, attemptTimeout)
		b.attemptAll(keys, attemptTimeout)
	}
}

// Faults of all kinds come together and twice, drawn from a seed, under load.
// All promises hold by the records of the stand-ins, and afterwards every
// entry serves again.
func TestPromiseAllUnderDrawnFaults(t *testing.T) {
	seeds, length := drawnSeeds(t)
	for _, drawnSeed := range seeds {
		t.Run(fmt.Sprintf("seed %d", drawnSeed), func(t *testing.T) { runDrawn(t, drawnSeed, length) })
	}
}

func runDrawn(t *testing.T, drawnSeed uint64, length time.Duration) {
	bed := startBed(t, func(c *testbed.Config) {
		c.Seed = drawnSeed
		c.Service = func(_ *objects.BackendServer, s *service.Config) {
			s.Duration = func(string, string) time.Duration { return bookingTime }
		}
	})
	d := &drawn{t: t, bed: bed, random: rand.New(rand.NewPCG(drawnSeed, 0)), start: time.Now(), down: map[string]bool{}}
	b := newBookings(t, bed)
	before := bed.PublishedSet()
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() { bookWhile(ctx, b, d) })
	load.Go(func() { watchRevisions(ctx, t, bed) })
	load.Go(func() {
		loadFor(bed, length, 8, func(team, region, prompt string, r reply) {
			if r.ok() && !isWhole(r, prompt) {
				t.Errorf("%s at %s: a wrong answer: %v", team, region, r)
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
		t.Logf("trace of seed %d:\n%s", drawnSeed, strings.Join(d.trace, "\n"))
	}
}

// checkRecovery waits until all gateways have the newest configuration and
// serve again.
func checkRecovery(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	last := bed.Platform.Revision(published.ValueManifest)
	within(t, recoveryBound, fmt.Sprintf("revision %d on all gateways after the last repair", last), func() bool { return allAt(bed, last) })
	for name, g := range bed.Gateways {
		prompt := "recovered " + name
		within(t, recoveryBound, name+" serves after the last repair", func() bool {
			return isWhole(send(sharedClient, g.CallerAddress(), chat(anyTeam, prompt)), prompt)
		})
	}
}
