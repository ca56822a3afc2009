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
	// probeIntervalPerServer is the interval for each backend server that a member
	// probes, between these bounds.
	probeIntervalPerServer = 200 * time.Millisecond
	// maxConfirmationAge is the age of a confirmation from which on a member probes
	// a backend server itself, whoever should.
	maxConfirmationAge = 4 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// reprobeDelay is the wait after a failure.
	reprobeDelay = 300 * time.Millisecond
	// probeScanInterval is the time between two looks for probes that are due.
	probeScanInterval = 100 * time.Millisecond
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 16
	// maxReportBytes bounds an answer to a probe.
	maxReportBytes = 64 << 10
)

// probeState is what this member needs to probe one backend server.
type probeState struct {
	nextDue  clock.Instant
	inFlight bool
	failures health.ProbeCount
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

// assignProbers chooses the two members that probe each backend server, so that
// the loss of one delays nothing; in different failure domains where there are
// several.
func (f *Fleet) assignProbers(live []string, members map[string]*snapshot.Member) map[string][]string {
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

// confirmFromHeartbeats takes the heartbeat of a prober, which divides the probes as
// this member does, as confirmation of what is known of its backend servers:
// changes are passed on at once, before the next heartbeat.
func (f *Fleet) confirmFromHeartbeats(now clock.Instant) {
	for name, vms := range f.roles.probers {
		for _, vm := range vms {
			if vm == f.cfg.Self.VM {
				continue
			}
			at, view := f.table.HeardAt(vm)
			if view == f.roles.viewID && at > f.schedule.resumedAt {
				f.tracker.Confirm(name, at)
			}
		}
	}
}

func (f *Fleet) probeLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(probeScanInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentProbes)
	for {
		for _, name := range f.dueProbes() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			group.Go(func() error {
				defer func() { <-slots }()
				f.probeServer(ctx, name)
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
		late := now.Sub(f.tracker.Heard(name)) > maxConfirmationAge
		if p.inFlight || now < p.nextDue || !mine && !late {
			continue
		}
		p.inFlight = true
		p.nextDue = now.Add(interval - interval/8 + rand.N(interval/8))
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
	return min(max(time.Duration(mine)*probeIntervalPerServer, minProbeInterval), maxProbeInterval)
}

func (f *Fleet) probeStateOf(name string) *probeState {
	p := f.probeStates[name]
	if p == nil {
		p = &probeState{}
		f.probeStates[name] = p
	}
	return p
}

// scheduleReprobe makes the next probe of a backend server due shortly, after an own
// request to it failed.
func (f *Fleet) scheduleReprobe(name string, now clock.Instant) {
	p := f.probeStateOf(name)
	p.nextDue = min(p.nextDue, now.Add(reprobeDelay))
}

// probeAll probes all backend servers at once and waits for the answers.
func (f *Fleet) probeAll(ctx context.Context) {
	f.mu.Lock()
	names := f.tracker.Names()
	f.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, name := range names {
		group.Go(func() error {
			f.probeServer(ctx, name)
			return nil
		})
	}
	_ = group.Wait()
}

func (f *Fleet) probeServer(ctx context.Context, name string) {
	started := f.cfg.Now()
	report, err := f.fetchReport(ctx, name)
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	urgent := f.recordProbe(name, started, report, err)
	f.stale.backends = true
	f.mu.Unlock()
	f.requestPublish(urgent)
}

func (f *Fleet) fetchReport(ctx context.Context, name string) (health.Report, error) {
	var report health.Report
	server := f.cfg.Publisher.Load().Config.BackendServers[name]
	if server == nil {
		return report, fmt.Errorf("%s isn't in the configuration", name)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	data, err := f.fetchBody(ctx, "http://"+server.Spec.Address+"/load")
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(data, &report)
}

// fetchBody returns the body of a successful answer.
func (f *Fleet) fetchBody(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header["User-Agent"] = nil // saves bytes
	resp, err := f.probeClient.Do(req)
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

// recordProbe takes in the outcome of a probe and reports whether the state of the
// backend server changed. An answer from before a pause counts for nothing.
func (f *Fleet) recordProbe(name string, started clock.Instant, r health.Report, err error) bool {
	now := f.cfg.Now()
	p := f.probeStateOf(name)
	p.inFlight = false
	if started < f.schedule.resumedAt || now.Sub(started) > 2*probeTimeout {
		p.nextDue = now
		return false
	}
	if err != nil {
		return f.recordProbeFailure(name, p, err, now)
	}
	p.failures.Succeeded()
	f.tracker.Confirm(name, started)
	state := r.State()
	changed := f.writeState(name, state)
	f.writeLoad(name, r.Load(), now)
	return changed
}

func (f *Fleet) recordProbeFailure(name string, p *probeState, err error, now clock.Instant) bool {
	p.nextDue = min(p.nextDue, now.Add(reprobeDelay))
	if !p.failures.Failed() {
		return false
	}
	p.nextDue = now.Add(minProbeInterval)
	state := f.tracker.State(name)
	state.Healthy = false
	if f.writeState(name, state) {
		f.cfg.Log.Warn("backend server unhealthy", "backend", name, "error", err)
		return true
	}
	return false
}

func (f *Fleet) writeState(name string, s health.State) bool {
	changed := f.writeRecord(gossip.KindState, name, s)
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
		!health.WorthPublishing(shared, l, now.Sub(f.loadWrittenAt[name])) {
		return
	}
	f.writeRecord(gossip.KindLoad, name, l)
	f.loadWrittenAt[name] = now
}
