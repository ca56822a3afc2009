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
	// probeIntervalPerServer is multiplied by the number of backend servers that
	// a member probes to get its probe interval, within these bounds.
	probeIntervalPerServer = 200 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation above which a member
	// probes a backend server itself, even if it isn't one of its probers.
	maxConfirmationAge = 4 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// reprobeDelay is the delay of the next probe after a failed probe or
	// request.
	reprobeDelay = 300 * time.Millisecond
	// probeScanInterval is the time between two scans for due probes.
	probeScanInterval = 100 * time.Millisecond
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 16
	// maxReportBytes bounds the response to a probe or a poll of cache events.
	// A longer response is truncated.
	maxReportBytes = 64 << 10
)

// probeState is this member's probe state of one backend server.
type probeState struct {
	nextDue  clock.Instant
	inFlight bool
	failures health.ProbeFailureCounter
}

// newProbeClient returns the client for probes and polls of cache events. Each uses a
// connection of its own: reports name no request, so that a copy of an earlier one
// could be taken for the report that is due.
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
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	return &http.Client{Transport: transport}
}

// assignProbers chooses two members to probe each backend server, so that the
// loss of one delays no result. They are in different failure domains if the
// live members are in several.
func (f *Fleet) assignProbers(live []string, members map[string]*snapshot.Member) map[string][]string {
	probers := map[string][]string{}
	for _, name := range f.tracker.Names() {
		order := membership.Choose(live, "probe/"+name, len(live))
		first := order[0]
		rest := order[1:]
		otherDomain := slices.IndexFunc(rest, func(vm string) bool {
			return failureDomain(members, vm) != failureDomain(members, first)
		})
		probers[name] = []string{first}
		if len(rest) > 0 {
			probers[name] = append(probers[name], rest[max(otherDomain, 0)])
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

// confirmFromHeartbeats confirms the known state of backend servers as of the
// last heartbeat of their probers. Only probers with the same view, and so the
// same assignment of probes, count. A prober sends state changes at once, before
// its next heartbeat, so that a heartbeat implies that nothing else changed.
func (f *Fleet) confirmFromHeartbeats(now clock.Instant) {
	for name, vms := range f.roles.probers {
		for _, vm := range vms {
			if vm == f.cfg.Self.VM {
				continue
			}
			at, view := f.table.LastHeartbeat(vm)
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
		assigned := slices.Contains(f.roles.probers[name], f.cfg.Self.VM)
		unconfirmed := now.Sub(f.tracker.ConfirmedAt(name)) > maxConfirmationAge
		if p.inFlight || now < p.nextDue || !assigned && !unconfirmed {
			continue
		}
		p.inFlight = true
		p.nextDue = now.Add(interval - interval/8 + rand.N(interval/8))
		due = append(due, name)
	}
	return due
}

// probeInterval returns the time between two probes of the same backend server
// by this member.
func (f *Fleet) probeInterval() time.Duration {
	assigned := 0
	for _, vms := range f.roles.probers {
		if slices.Contains(vms, f.cfg.Self.VM) {
			assigned++
		}
	}
	return min(max(time.Duration(assigned)*probeIntervalPerServer, minProbeInterval), maxProbeInterval)
}

func (f *Fleet) probeStateOf(name string) *probeState {
	p := f.probeStates[name]
	if p == nil {
		p = &probeState{}
		f.probeStates[name] = p
	}
	return p
}

// scheduleReprobe makes the next probe of a backend server due within
// reprobeDelay, after a request of this process to it failed.
func (f *Fleet) scheduleReprobe(name string, now clock.Instant) {
	p := f.probeStateOf(name)
	p.nextDue = min(p.nextDue, now.Add(reprobeDelay))
}

// probeAll probes all backend servers now and waits for the results.
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

// fetchReport requests a backend server's load report.
func (f *Fleet) fetchReport(ctx context.Context, name string) (health.Report, error) {
	var report health.Report
	server := f.cfg.Publisher.Load().Config.BackendServers[name]
	if server == nil {
		return report, fmt.Errorf("backend server %s isn't in the configuration", name)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	data, err := f.fetchBody(ctx, "http://"+server.Spec.Address+"/load")
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(data, &report)
}

// fetchBody returns the response body of a GET request. A status other than 200
// is an error.
func (f *Fleet) fetchBody(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header["User-Agent"] = nil // omitted to save bytes
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
		return nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	return data, nil
}

// recordProbe records the result of a probe and reports whether the state of the
// backend server changed. The result of a probe during which the process was
// paused is discarded, and the next probe is due at once. A probe that took more
// than twice its timeout is taken as a sign of such a pause, which the tick may
// not have noticed yet.
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
	p.failures.RecordSuccess()
	f.tracker.Confirm(name, started)
	state := r.State()
	changed := f.writeState(name, state)
	f.writeLoad(name, r.Load(), now)
	return changed
}

// recordProbeFailure counts a failed probe and reports whether the backend server
// became unhealthy by it.
func (f *Fleet) recordProbeFailure(name string, p *probeState, err error, now clock.Instant) bool {
	p.nextDue = min(p.nextDue, now.Add(reprobeDelay))
	if !p.failures.RecordFailure() {
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

// writeState publishes the state of a backend server and reports whether it
// changed.
func (f *Fleet) writeState(name string, s health.State) bool {
	changed := f.writeRecord(gossip.KindState, name, s)
	f.tracker.SetState(name, s)
	if changed {
		f.cfg.Log.Info("backend server state changed", "backend", name, "healthy", s.Healthy, "leaving", s.Leaving)
	}
	return changed
}

// writeLoad records the exact load for this process, and publishes it if it
// differs enough from the published load.
func (f *Fleet) writeLoad(name string, l health.Load, now clock.Instant) {
	f.tracker.SetLoad(name, l, now)
	var published health.Load
	record, ok := f.store.Get(gossip.Key{Kind: gossip.KindLoad, Name: name})
	if ok && gossip.Decode(record.Value, &published) == nil &&
		!health.ShouldPublish(published, l, now.Sub(f.loadWrittenAt[name])) {
		return
	}
	f.writeRecord(gossip.KindLoad, name, l)
	f.loadWrittenAt[name] = now
}
