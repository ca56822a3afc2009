package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/answer"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/quota"
	"github.com/chestnutspring/chestnutspring/internal/relay"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

// This file bounds what teams use at all VMs together. Package quota decides; here the messages
// between this VM and the owners of the teams are carried.

const (
	// pathQuota is the path at which a VM accepts requests for units of teams.
	pathQuota = "/peer/v1/quota"
	// quotaTimeout bounds an exchange: grants are valid for as long.
	quotaTimeout = 500 * time.Millisecond
	// quotaReadTimeout bounds the reading of a message. Its sender has given up by then.
	quotaReadTimeout = 4 * quotaTimeout
	// maxQuotaBytes bounds a message. One of the largest number of teams has about 200 KB.
	maxQuotaBytes = 1 << 20
	// quotaMaxIdle is the maximum idle time of a pooled connection, below that for which
	// the other VM keeps it open.
	quotaMaxIdle = 20 * time.Second
	// limitTick is the time between two checks for changes of the configuration and of the
	// members, and between two updates of the metrics.
	limitTick = time.Second
	// memberTick is the time between two checks for changes of the members.
	memberTick = 200 * time.Millisecond
	// refusalsEnd is the time without a refusal after which a team counts as no longer refused.
	refusalsEnd = 2 * time.Second
	// maxTeamSeries bounds the series of metrics by team, and maxRefusalLines the lines per
	// limitTick about teams that begin or end to be refused.
	maxTeamSeries   = 64
	maxRefusalLines = 50
	// unsupportedFor is for how long a VM counts as no owner after it has answered that it
	// doesn't know the path: it is of an earlier build.
	unsupportedFor = 30 * time.Second
)

// agentRetry is the time after a failed exchange with the agent of the region in which the owner
// is asked instead: until the members know that a VM is unreachable.
const agentRetry = 2 * time.Second

// The bounds that apply if the settings state none.
const (
	defaultLimitWindow  = 8 * time.Second
	defaultLimitOverage = 0.25
	defaultLimitSlack   = 140_000
)

// errQuotaUnsupported means that a VM doesn't answer requests for units.
var errQuotaUnsupported = Errors.NewType("quota_unsupported")

// errQuotaRefused means that a VM answered a request for units with another status.
var errQuotaRefused = Errors.NewType("quota_refused")

// limitsConfig holds what a teamLimits needs.
type limitsConfig struct {
	Self  snapshot.Identity
	Now   clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Table returns the configuration in force, or nil.
	Table func() *ingress.Table
	// Members returns the other VMs, and ActiveVMs the number of VMs that may be active.
	Members   func() []mesh.Member
	ActiveVMs func() int
	// Accepts reports whether this VM accepts requests, and Capacity its own.
	Accepts  func() bool
	Capacity func() float64
	Pool     *upstream.Pool
	// Memory holds the messages of other VMs; nil means no bound.
	Memory *membudget.Budget
}

// teamLimits implements relay.TeamLimits.
type teamLimits struct {
	limitsConfig
	wallets *quota.Wallets
	ledger  *quota.Ledger
	// table is the configuration whose limits are in force. tableMu guards its replacement.
	table   atomic.Pointer[ingress.Table]
	tableMu sync.Mutex
	// answered has a channel for each shard that is closed and replaced when an exchange has
	// ended.
	answered [quota.Shards]atomic.Pointer[chan struct{}]
	// due and supplyDue have a channel for each shard that triggers the exchange with its owner
	// and with the agent of the region.
	due, supplyDue [quota.Shards]chan struct{}
	// peersMu guards unsupported, which holds until when VMs count as no owners and agents,
	// and agents, the agents of the region and until when they are not asked.
	peersMu     sync.Mutex
	unsupported map[string]clock.Instant
	agents      [quota.Shards]supplier
	// owners are the VMs to which the last messages went. Only the goroutine of the shard's
	// exchange uses them.
	owners [quota.Shards]supplier

	// refusedMu guards refused: when a request of a team was last refused, and whether the
	// beginning was logged.
	refusedMu sync.Mutex
	refused   map[string]*refusal
	series    map[string]*teamSeries
}

// supplier is an owner or agent. It is not asked before an instant.
type supplier struct {
	vm, address string
	notBefore   clock.Instant
}

type refusal struct {
	last   clock.Instant
	logged bool
	count  int
}

// teamSeries are the metrics of a team, or of all others.
type teamSeries struct {
	admitted, refused, granted tally.Counter
	last                       quota.Stats
}

var _ relay.TeamLimits = (*teamLimits)(nil)

func newTeamLimits(s *Settings, config limitsConfig) *teamLimits {
	bounds := quota.Bounds{Window: s.LimitWindow, Overage: s.LimitOverage, Slack: s.LimitSlack}
	if bounds.Window <= 0 {
		bounds = quota.Bounds{Window: defaultLimitWindow, Overage: defaultLimitOverage, Slack: defaultLimitSlack}
	}
	l := &teamLimits{
		limitsConfig: config, refused: map[string]*refusal{}, series: map[string]*teamSeries{}, unsupported: map[string]clock.Instant{},
		wallets: quota.NewWallets(config.Self.VM, config.Self.Incarnation, bounds, s.FirstStart, config.Now()),
		ledger:  quota.NewLedger(config.Self.Incarnation, bounds),
	}
	for i := range l.due {
		answered := make(chan struct{})
		l.answered[i].Store(&answered)
		l.due[i], l.supplyDue[i] = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	l.wallets.OnDue(func(shard int, supply bool) {
		if supply {
			notify(l.supplyDue[shard])
		} else {
			notify(l.due[shard])
		}
	})
	return l
}

// Admit takes the units of a request. It waits for an exchange if that may bring them.
func (l *teamLimits) Admit(ctx context.Context, team *ingress.Team, units int64, maxWait time.Duration) (time.Duration, bool) {
	l.update()
	var answered [quota.Shards]*chan struct{}
	for i := range answered {
		answered[i] = l.answered[i].Load()
	}
	d := l.wallets.Take(team, units, l.Now())
	if d.Wait {
		d = l.await(ctx, team, units, maxWait, d, answered[quota.ShardOf(team.Name)])
	}
	if d.Granted {
		return 0, true
	}
	l.recordRefusal(team, units)
	return d.RetryAfter, false
}

// await waits for exchanges until the units of a request are there or can't be expected.
// Answered is closed when the exchange has ended that was in progress before the decision.
func (l *teamLimits) await(ctx context.Context, team *ingress.Team, units int64, maxWait time.Duration, d quota.Decision, answered *chan struct{}) quota.Decision {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for d.Wait {
		select {
		case <-*answered:
		case <-timeout.C:
			return l.wallets.Refuse(team, units, l.Now())
		case <-ctx.Done():
			return l.wallets.Refuse(team, units, l.Now())
		}
		answered = l.answered[quota.ShardOf(team.Name)].Load()
		d = l.wallets.Retry(team, units, l.Now(), d)
	}
	return d
}

// Return gives back the units of a request that didn't run.
func (l *teamLimits) Return(team *ingress.Team, units int64) {
	l.wallets.Return(team, units, l.Now())
}

// update applies the limits of a changed configuration.
func (l *teamLimits) update() {
	table := l.Table()
	if table == nil || table == l.table.Load() {
		return
	}
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	if table = l.Table(); table == l.table.Load() {
		return
	}
	limits, now := quota.LimitsOf(table), l.Now()
	l.ledger.SetTeams(limits, now)
	l.wallets.SetTeams(limits, now)
	l.table.Store(table)
}

// run exchanges messages with the owners until ctx ends, and updates metrics.
func (l *teamLimits) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for shard := range quota.Shards {
		wg.Go(func() {
			l.runExchanges(ctx, l.due[shard], func() (clock.Instant, bool) { return l.wallets.NextExchange(shard) },
				func(alone bool) func() { return l.exchange(ctx, shard, alone) })
		})
		wg.Go(func() {
			l.runExchanges(ctx, l.supplyDue[shard], func() (clock.Instant, bool) { return l.wallets.NextSupply(shard) },
				func(bool) func() { return l.supply(ctx, shard) })
		})
	}
	wg.Go(func() {
		ticker := time.NewTicker(memberTick)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			l.update()
			if !l.wallets.HasLimits() {
				continue
			}
			now, active := l.Now(), l.ActiveVMs()
			l.wallets.SetActive(active, now)
			l.ledger.SetActive(active, now)
			for shard := range quota.Shards {
				l.updateRole(shard, active, now)
			}
			if n%int(limitTick/memberTick) == 0 {
				l.observe(now)
			}
		}
	})
	wg.Wait()
	return ctx.Err()
}

// runExchanges begins an exchange each time that next says so, up to quota.MaxInFlight at once.
// Due is signalled when next may have changed. Begin is told whether no other is in flight.
func (l *teamLimits) runExchanges(ctx context.Context, due <-chan struct{}, next func() (clock.Instant, bool), begin func(alone bool) func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	ended, inFlight := make(chan struct{}, quota.MaxInFlight), 0
	for ctx.Err() == nil {
		wait := limitTick
		if at, any := next(); any && inFlight < quota.MaxInFlight {
			if wait = min(at.Sub(l.Now()), limitTick); wait <= 0 {
				exchange := begin(inFlight == 0)
				inFlight++
				wg.Go(func() { exchange(); ended <- struct{}{} })
				continue
			}
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-ended:
			inFlight--
		case <-due:
		case <-timer.C:
		}
	}
}

// updateRole sets what this VM is for a shard among the active VMs.
func (l *teamLimits) updateRole(shard, active int, now clock.Instant) {
	var role quota.Role
	var next supplier
	if active > quota.MaxUnsupplied {
		members := l.Members()
		regions := map[string]bool{l.Self.Region: true}
		for i := range members {
			regions[members[i].Region] = true
		}
		candidates, addresses := l.candidates(func(m *mesh.Member) bool { return m.Region == l.Self.Region })
		at := quota.Agent(shard, candidates)
		if next = (supplier{vm: candidates[at].VM, address: addresses[at]}); next.address == "" {
			role.Regions = len(regions)
		} else {
			role.Supplied = true
		}
	}
	l.peersMu.Lock()
	before := l.agents[shard]
	if next.vm == before.vm && now < before.notBefore {
		next.notBefore, role = before.notBefore, quota.Role{}
	}
	l.agents[shard] = next
	l.peersMu.Unlock()
	if next.vm != before.vm {
		l.Log.Info("agent of the region for the teams' limits has changed", "shard", shard, "agent", next.vm, "before", before.vm, "vms", active)
	}
	l.wallets.SetRole(shard, role, now)
}

// candidates returns the VMs that accept requests and fulfil a condition, and this one if it
// accepts requests or is the only one, with their addresses for hops. That of this VM is "".
func (l *teamLimits) candidates(fulfils func(m *mesh.Member) bool) ([]quota.Candidate, []string) {
	members, now := l.Members(), l.Now()
	candidates, addresses := make([]quota.Candidate, 0, len(members)+1), make([]string, 0, len(members)+1)
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	for i := range members {
		m := &members[i]
		if m.AcceptsRequests() && fulfils(m) && now >= l.unsupported[m.VM] {
			candidates, addresses = append(candidates, quota.Candidate{VM: m.VM, Capacity: m.Capacity}), append(addresses, m.Hops)
		}
	}
	if l.Accepts() || len(candidates) == 0 {
		candidates, addresses = append(candidates, quota.Candidate{VM: l.Self.VM, Capacity: l.Capacity()}), append(addresses, "")
	}
	return candidates, addresses
}

// owner returns the VM that is the owner of a shard and its address for hops, which is "" for
// this VM.
func (l *teamLimits) owner(shard int) (vm, address string) {
	candidates, addresses := l.candidates(func(*mesh.Member) bool { return true })
	at := quota.Owner(shard, candidates)
	return candidates[at].VM, addresses[at]
}

// exchange returns a function that exchanges one message with the owner of a shard. Another VM
// becomes the owner if no other message is in flight, so that the share of this VM can be taken
// back from the one before, or if that one does not answer.
func (l *teamLimits) exchange(ctx context.Context, shard int, alone bool) func() {
	if alone || l.wallets.OwnerFailed(shard) {
		l.owners[shard].vm, l.owners[shard].address = l.owner(shard)
		l.release(ctx, shard, l.owners[shard].vm)
	}
	vm, address := l.owners[shard].vm, l.owners[shard].address
	sentAt := l.Now()
	r := l.wallets.Request(shard, vm, sentAt)
	return func() {
		response, err := l.send(ctx, vm, address, r)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			l.wallets.Apply(r, vm, response, sentAt, l.Now())
		} else {
			l.fail(r, vm, err)
		}
		l.signalAnswer(shard)
	}
}

// signalAnswer wakes the requests that wait for an exchange.
func (l *teamLimits) signalAnswer(shard int) {
	answered := make(chan struct{})
	close(*l.answered[shard].Swap(&answered))
}

// supply returns a function that exchanges one message with the agent of the region. After a
// failure the owner is asked for a while.
func (l *teamLimits) supply(ctx context.Context, shard int) func() {
	l.peersMu.Lock()
	to := l.agents[shard]
	l.peersMu.Unlock()
	sentAt := l.Now()
	r := l.wallets.RequestSupply(shard, sentAt)
	return func() {
		response, err := l.send(ctx, to.vm, to.address, r)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			l.wallets.Apply(r, to.vm, response, sentAt, l.Now())
		} else {
			l.fail(r, to.vm, err)
			l.peersMu.Lock()
			if now := l.Now(); l.agents[shard].vm == to.vm {
				l.agents[shard].notBefore = now.Add(agentRetry)
			}
			l.peersMu.Unlock()
			l.updateRole(shard, l.ActiveVMs(), l.Now())
		}
		l.signalAnswer(shard)
	}
}

// release takes the share of this VM back from an earlier owner of a shard.
func (l *teamLimits) release(ctx context.Context, shard int, owner string) {
	r, from := l.wallets.Release(shard, owner, l.Now())
	if r == nil {
		return
	}
	if _, err := l.send(ctx, from, l.addressOf(from), r); err != nil {
		l.wallets.Failed(r)
		l.Log.Info("share of the teams' limits was not taken back", "shard", shard, "from", from, "owner", owner, "error", err)
		return
	}
	l.wallets.Released(shard, l.Now())
	l.Log.Info("owner of the teams' limits has changed", "shard", shard, "owner", owner, "before", from)
}

// fail records that an exchange with the owner of a shard failed, and logs the first failure.
func (l *teamLimits) fail(r *quota.Request, vm string, err error) {
	if errorx.IsOfType(err, errQuotaUnsupported) {
		l.peersMu.Lock()
		l.unsupported[vm] = l.Now().Add(unsupportedFor)
		l.peersMu.Unlock()
	}
	if l.wallets.Failed(r) {
		l.Log.Warn("owner or agent of the teams' limits does not answer", "shard", r.Shard, "vm", vm, "agent", r.Supply, "error", err)
	}
	l.Scope.Counter("exchange_failures").Inc(1)
}

// addressOf returns the address of a VM for hops, or "" for this VM.
func (l *teamLimits) addressOf(vm string) string {
	for _, m := range l.Members() {
		if m.VM == vm {
			return m.Hops
		}
	}
	return ""
}

// send sends a request to a VM and returns its response.
func (l *teamLimits) send(ctx context.Context, vm, address string, r *quota.Request) (*quota.Response, error) {
	if vm == l.Self.VM {
		l.update()
		return l.answer(r), nil
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	e, err := l.Pool.Do(ctx, &upstream.Call{
		Address: address, Method: http.MethodPost, Target: pathQuota, Host: address, Body: membudget.Segments{body}, MaxIdle: quotaMaxIdle,
	})
	if err != nil {
		return nil, err
	}
	defer e.Release()
	data, err := io.ReadAll(io.LimitReader(e, maxQuotaBytes))
	if err != nil {
		return nil, err
	}
	switch e.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return nil, errQuotaUnsupported.New("status %d of %s", e.StatusCode, vm)
	default:
		return nil, errQuotaRefused.New("status %d of %s", e.StatusCode, vm)
	}
	response := &quota.Response{}
	if err := json.Unmarshal(data, response); err != nil {
		return nil, err
	}
	if response.Owner == "" {
		return nil, errQuotaRefused.New("answer of %s without an owner", vm)
	}
	return response, nil
}

// answer answers a request as the owner of the shard or as the agent of the region.
func (l *teamLimits) answer(r *quota.Request) *quota.Response {
	if r.Supply {
		return l.wallets.Supply(r, l.Now())
	}
	return l.ledger.Exchange(r, l.Now())
}

// read reads the message of another VM into memory of the account.
func (l *teamLimits) read(w http.ResponseWriter, hr *http.Request, memory *membudget.Account) ([]byte, error) {
	if hr.ContentLength > maxQuotaBytes {
		return nil, &http.MaxBytesError{Limit: maxQuotaBytes}
	}
	// Every connection of a net/http server supports deadlines, so the errors are ignored.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(quotaReadTimeout))
	message, err := memory.ReadAll(http.MaxBytesReader(w, hr.Body, maxQuotaBytes), hr.ContentLength)
	if err != nil {
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return memory.Join(message)
}

// ServeHTTP answers the requests of other VMs for units.
func (l *teamLimits) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	memory := l.Memory.Evictable(answer.InterruptBody(w))
	defer memory.Close()
	body, err := l.read(w, hr, memory)
	if errors.Is(err, membudget.ErrNoMemory) {
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	r := &quota.Request{}
	if err = errors.Join(err, json.Unmarshal(body, r)); err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	l.update()
	response := l.answer(r)
	if response == nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(w, "malformed response", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
