package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/peer"
)

const (
	// exchangeInterval is the time between two gossip messages to a peer, unless
	// a change is urgent.
	exchangeInterval = time.Second
	// pingInterval is the time between two pings of a peer. A connection whose
	// packets are lost is replaced, since the retransmission interval of TCP
	// would keep growing.
	pingInterval = 5 * time.Second
	// minRedialDelay and maxRedialDelay bound the backoff after a failed dial,
	// before jitter.
	minRedialDelay = 250 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// failureLogInterval is the minimum time between two log events on failed
	// connections to the same address.
	failureLogInterval = time.Minute
	// avoidAfterFailure is how long other peers are preferred to one to which
	// the connection failed.
	avoidAfterFailure = 10 * time.Second
)

// link sends record changes to one peer and redials when the connection ends.
type link struct {
	fleet   *Fleet
	address string
	// vm is empty for a seed until its hello has been received.
	vm       string
	cancel   context.CancelFunc
	flushNow chan struct{}
	// session is guarded by fleet.mu; nil while not connected.
	session  *gossip.Session
	client   *peer.Client
	failedAt clock.Instant
	// sendMu keeps the messages in order.
	sendMu sync.Mutex
}

func (f *Fleet) startLink(ctx context.Context, group *errgroup.Group, vm, address string) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{fleet: f, address: address, vm: vm, cancel: cancel, flushNow: make(chan struct{}, 1)}
	group.Go(func() error {
		defer cancel()
		l.run(ctx)
		return nil
	})
	return l
}

func (l *link) run(ctx context.Context) {
	wait := minRedialDelay
	for ctx.Err() == nil {
		client, err := l.fleet.dialer.Open(ctx, l.address, l.fleet.hello())
		if err != nil {
			l.recordFailure(err)
			background.Sleep(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxRedialDelay)
			continue
		}
		wait = minRedialDelay
		l.onConnect(client)
		l.exchange(ctx, client)
		l.onDisconnect(client)
	}
}

func (l *link) recordFailure(err error) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	if at, ok := f.failureLoggedAt[l.address]; !ok || now.Sub(at) > failureLogInterval {
		f.failureLoggedAt[l.address] = now
		f.cfg.Log.Info("peer unreachable", "vm", l.vm, "address", l.address, "error", err)
	}
	l.failedAt = now
}

func (l *link) onConnect(client *peer.Client) {
	f := l.fleet
	f.mu.Lock()
	l.client, l.failedAt = client, 0
	l.vm = client.Remote.VM
	l.session = gossip.NewSession(f.store, f.recordFilter(client.Remote.Region))
	f.table.RecordMessage(client.Remote.VM, client.Remote.Incarnation, client.Remote.Revision, f.cfg.Now())
	f.mu.Unlock()
	f.reportRevision(client.Remote.VM, client.Remote.Revision)
}

func (l *link) onDisconnect(client *peer.Client) {
	client.Close()
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.client, l.session = nil, nil
}

// exchange sends changes until the connection or ctx ends.
func (l *link) exchange(ctx context.Context, client *peer.Client) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	var pinging sync.WaitGroup
	pinging.Go(func() { l.pingLoop(ctx, client) })
	defer pinging.Wait()
	defer client.Close()
	for {
		l.flush(ctx)
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			return
		case <-l.flushNow:
		case <-ticker.C:
		}
	}
}

// pingLoop pings the peer until a ping fails, which closes the connection, or
// ctx ends.
func (l *link) pingLoop(ctx context.Context, client *peer.Client) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			return
		case <-ticker.C:
		}
		revision, err := client.Ping(ctx, l.fleet.revision())
		if err != nil {
			if ctx.Err() == nil {
				l.recordFailure(err)
			}
			return
		}
		l.fleet.reportRevision(client.Remote.VM, revision)
	}
}

// flush sends all changes that the peer hasn't received.
func (l *link) flush(ctx context.Context) {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	for more := true; more && ctx.Err() == nil; {
		var delta gossip.Delta
		var client *peer.Client
		var complete bool
		delta, client, more, complete = l.nextDelta()
		if client == nil || len(delta.Records) == 0 {
			return
		}
		if err := client.Gossip(l.fleet.revision(), delta, complete); err != nil {
			client.Close()
			return
		}
	}
}

// nextDelta returns the next changes and the connection to send them on. more
// reports whether further changes follow. complete reports whether the peer then
// has all records it should get, and this member is synchronized itself.
func (l *link) nextDelta() (delta gossip.Delta, client *peer.Client, more, complete bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.session == nil {
		return gossip.Delta{}, nil, false, false
	}
	delta, more = l.session.Next()
	return delta, l.client, more, !more && l.fleet.syncedWithPeer
}

// recordFilter returns a filter that selects the records for a peer of the given
// region. A peer of this region gets all but this region's heartbeats to other
// regions; a peer of another region gets only records about this region.
func (f *Fleet) recordFilter(region string) func(gossip.Record) bool {
	own := f.cfg.Self.Region
	if region == own {
		return func(r gossip.Record) bool {
			from, _ := splitRegionRecordName(r.Name)
			return r.Kind != gossip.KindRegion || from != own
		}
	}
	return func(r gossip.Record) bool {
		switch r.Kind {
		case gossip.KindMember:
			return f.table.Region(r.Name) == own
		case gossip.KindSummary, gossip.KindRegion:
			from, _ := splitRegionRecordName(r.Name)
			return from == own
		case gossip.KindDemand:
			from, _ := splitRegionRecordName(r.Name)
			return from == own && len(f.cfg.Publisher.Load().Members) <= maxDemandMembers
		default:
			return false
		}
	}
}

// connectedLinks returns the links that have a connection.
func (f *Fleet) connectedLinks() []*link {
	var links []*link
	for _, l := range f.links {
		if l.session != nil {
			links = append(links, l)
		}
	}
	return links
}

// linksTo returns the connected links to a VM.
func (f *Fleet) linksTo(vm string) []*link {
	var links []*link
	for _, l := range f.links {
		if l.session != nil && l.vm == vm {
			links = append(links, l)
		}
	}
	return links
}

// flushLinks makes all links send their pending changes at once.
func (f *Fleet) flushLinks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		select {
		case l.flushNow <- struct{}{}:
		default:
		}
	}
}
