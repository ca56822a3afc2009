package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes
	// of a backend server by the same member.
	minProbeInterval = time.Second
	maxProbeInterval = 3 * time.Second
	// probeBudget is the interval for each backend server that a member
	// probes, between these bounds.
	probeBudget = 200 * time.Millisecond
	// confirmWithin is the age of a confirmation from which on a member probes
	// a backend server itself, whoever should.
	confirmWithin = 4 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// reprobeAfter is the wait after a failure.
	reprobeAfter = 300 * time.Millisecond
	// probeScan is the time between two looks for probes that are due.
	probeScan = 100 * time.Millisecond
	// maxProbes bounds the probes in flight.
	maxProbes = 16
	// maxReportBytes bounds an answer to a probe.
	maxReportBytes = 64 << 10
)

// probeState is what this member needs to probe one backend server.
type probeState struct {
	due      clock.Instant
	inFlight bool
	count    health.ProbeCount
}

func newProbeClient(dial func(context.Context, string) (net.Conn, error), meter *peer.Meter) *http.Client {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return peer.Metered(conn, meter), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     30 * time.Second,
	}
	return &http.Client{Transport: transport}
}

// divideProbes chooses the two members that probe each backend server, so that
// the loss of one delays nothing; in different failure domains where there are
// several.
func (f *Fleet) divideProbes(live []string, members map[string]*snapshot.Member) map[string][]string {
	probers := map[string][]string{}
	for _, name := range f.tracker.Names() {
		order := membership.Choose(live, "probe/"+name, len(live))
		first := order[0]
		rest := order[1:]
		apart := slices.IndexFunc(rest, func(vm string) bool {
			return failureDomain(members, vm) != failureDomain(members, first)
		})
		probers[name] = []string{first}
		if len(rest) > 0 {
			probers[name] = append(probers[name], rest[max(apart, 0)])
		}
	}
	return probers
}

func failureDomain(members map[string]*snapshot.Member, vm string) string {
	if m := members[vm]; m != nil {
		return m.FailureDomain
	}
	return ""
}

// confirmByBeats takes the heartbeat of a prober, which divides the probes as
// this member does, as confirmation of what is known of its backend servers:
// changes are passed on at once, before the next heartbeat.
func (f *Fleet) confirmByBeats(now clock.Instant) {
	for name, vms := range f.roles.probers {
		for _, vm := range vms {
			if vm == f.cfg.Self.VM {
				continue
			}
			at, view := f.table.LastHeartbeat(vm)
			if view == f.roles.view && at > f.paused.woke {
				f.tracker.Confirm(name, at)
			}
		}
	}
}

func (f *Fleet) probeLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(probeScan)
	defer ticker.Stop()
	slots := make(chan struct{}, maxProbes)
	for {
		for _, name := range f.dueProbes() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			group.Go(func() error {
				defer func() { <-slots }()
				f.probeOne(ctx, name)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// dueProbes returns the backend servers to probe now and marks them as in
// flight.
func (f *Fleet) dueProbes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	interval := f.probeInterval()
	var due []string
	for _, name := range f.tracker.Names() {
		p := f.probeStateOf(name)
		mine := slices.Contains(f.roles.probers[name], f.cfg.Self.VM)
		late := now.Sub(f.tracker.Heard(name)) > confirmWithin
		if p.inFlight || now < p.due || !mine && !late {
			continue
		}
		p.inFlight = true
		p.due = now.Add(interval - interval/8 + rand.N(interval/8))
		due = append(due, name)
	}
	return due
}

func (f *Fleet) probeInterval() time.Duration {
	mine := 0
	for _, vms := range f.roles.probers {
		if slices.Contains(vms, f.cfg.Self.VM) {
			mine++
		}
	}
	return min(max(time.Duration(mine)*probeBudget, minProbeInterval), maxProbeInterval)
}

func (f *Fleet) probeStateOf(name string) *probeState {
	p := f.probe[name]
	if p == nil {
		p = &probeState{}
		f.probe[name] = p
	}
	return p
}

// probeSoon makes the next probe of a backend server due shortly, after an own
// request to it failed.
func (f *Fleet) probeSoon(name string, now clock.Instant) {
	p := f.probeStateOf(name)
	p.due = min(p.due, now.Add(reprobeAfter))
}

// probeAll probes all backend servers at once and waits for the answers.
func (f *Fleet) probeAll(ctx context.Context) {
	f.mu.Lock()
	names := f.tracker.Names()
	f.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxProbes)
	for _, name := range names {
		group.Go(func() error {
			f.probeOne(ctx, name)
			return nil
		})
	}
	_ = group.Wait()
}

func (f *Fleet) probeOne(ctx context.Context, name string) {
	started := f.cfg.Now()
	report, err := f.askLoad(ctx, name)
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	urgent := f.probed(name, started, report, err)
	f.stale.backends = true
	f.mu.Unlock()
	f.changed(urgent)
}

func (f *Fleet) askLoad(ctx context.Context, name string) (health.Report, error) {
	var report health.Report
	server := f.cfg.Publisher.Load().Config.BackendServers[name]
	if server == nil {
		return report, fmt.Errorf("%s isn't in the configuration", name)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	data, err := f.get(ctx, "http://"+server.Spec.Address+"/load")
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(data, &report)
}

// get returns the body of a successful answer.
func (f *Fleet) get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header["User-Agent"] = nil // saves bytes
	resp, err := f.probes.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return data, nil
}

// probed takes in the outcome of a probe and reports whether the state of the
// backend server changed. An answer from before a pause counts for nothing.
func (f *Fleet) probed(name string, started clock.Instant, r health.Report, err error) bool {
	now := f.cfg.Now()
	p := f.probeStateOf(name)
	p.inFlight = false
	if started < f.paused.woke || now.Sub(started) > 2*probeTimeout {
		p.due = now
		return false
	}
	if err != nil {
		return f.probeFailed(name, p, err, now)
	}
	p.count.Succeeded()
	f.tracker.Confirm(name, started)
	state := r.State()
	changed := f.writeState(name, state)
	f.writeLoad(name, r.Load(), now)
	return changed
}

func (f *Fleet) probeFailed(name string, p *probeState, err error, now clock.Instant) bool {
	p.due = min(p.due, now.Add(reprobeAfter))
	if !p.count.Failed() {
		return false
	}
	p.due = now.Add(minProbeInterval)
	state := f.tracker.State(name)
	state.Healthy = false
	if f.writeState(name, state) {
		f.cfg.Log.Warn("backend server unhealthy", "backend", name, "error", err)
		return true
	}
	return false
}

func (f *Fleet) writeState(name string, s health.State) bool {
	changed := f.write(gossip.KindState, name, s)
	f.tracker.SetState(name, s)
	if changed {
		f.cfg.Log.Info("backend server state", "backend", name, "healthy", s.Healthy, "leaving", s.Leaving)
	}
	return changed
}

// writeLoad keeps the exact load for this process and shares it when it
// differs by enough from what is shared.
func (f *Fleet) writeLoad(name string, l health.Load, now clock.Instant) {
	f.tracker.SetLoad(name, l, now)
	var shared health.Load
	record, ok := f.store.Get(gossip.Key{Kind: gossip.KindLoad, Name: name})
	if ok && gossip.Decode(record.Value, &shared) == nil &&
		!health.WorthPublishing(shared, l, now.Sub(f.loadWritten[name])) {
		return
	}
	f.write(gossip.KindLoad, name, l)
	f.loadWritten[name] = now
}
