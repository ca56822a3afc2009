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
	// exchangeInterval is the time between two messages to a neighbour, unless
	// a change is urgent.
	exchangeInterval = time.Second
	// pingInterval is the time between two checks that a peer still answers. A
	// connection whose packets are lost is replaced, since TCP would wait
	// longer and longer.
	pingInterval = 5 * time.Second
	// redialMin and redialMax bound the wait after a failed connection.
	redialMin = 250 * time.Millisecond
	redialMax = 5 * time.Second
	// failureLogInterval is the least time between two events of the log that
	// say that the same peer can't be connected to.
	failureLogInterval = time.Minute
	// avoidAfterFailure is how long another peer is preferred to one that
	// couldn't be connected to.
	avoidAfterFailure = 10 * time.Second
)

// link sends changes to one peer and redials when the connection ends.
type link struct {
	fleet   *Fleet
	address string
	// vm is empty for a seed until it has said hello.
	vm     string
	cancel context.CancelFunc
	kick   chan struct{}
	// session is guarded by the fleet's mutex; nil while not connected.
	session *gossip.Session
	client  *peer.Client
	failed  clock.Instant
	// sending orders the messages.
	sending sync.Mutex
}

func (f *Fleet) startLink(ctx context.Context, group *errgroup.Group, vm, address string) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{fleet: f, address: address, vm: vm, cancel: cancel, kick: make(chan struct{}, 1)}
	group.Go(func() error {
		defer cancel()
		l.run(ctx)
		return nil
	})
	return l
}

func (l *link) run(ctx context.Context) {
	wait := redialMin
	for ctx.Err() == nil {
		client, err := l.fleet.dialer.Open(ctx, l.address, l.fleet.hello())
		if err != nil {
			l.noteFailure(err)
			background.Pause(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, redialMax)
			continue
		}
		wait = redialMin
		l.connected(client)
		l.exchange(ctx, client)
		l.disconnected(client)
	}
}

func (l *link) noteFailure(err error) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	if at, ok := f.reported[l.address]; !ok || now.Sub(at) > failureLogInterval {
		f.reported[l.address] = now
		f.cfg.Log.Info("peer unreachable", "vm", l.vm, "address", l.address, "error", err)
	}
	l.failed = now
}

func (l *link) connected(client *peer.Client) {
	f := l.fleet
	f.mu.Lock()
	l.client, l.failed = client, 0
	l.vm = client.Remote.VM
	l.session = gossip.NewSession(f.store, f.wants(client.Remote.Region))
	f.table.RecordMessage(client.Remote.VM, client.Remote.Incarnation, client.Remote.Revision, f.cfg.Now())
	f.mu.Unlock()
	f.tellSource(client.Remote.VM, client.Remote.Revision)
}

func (l *link) disconnected(client *peer.Client) {
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
		case <-l.kick:
		case <-ticker.C:
		}
	}
}

// pingLoop ends the connection when the peer doesn't answer.
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
				l.noteFailure(err)
			}
			return
		}
		l.fleet.tellSource(client.Remote.VM, revision)
	}
}

// flush sends all changes that the peer doesn't have.
func (l *link) flush(ctx context.Context) {
	l.sending.Lock()
	defer l.sending.Unlock()
	for more := true; more && ctx.Err() == nil; {
		var delta gossip.Delta
		var client *peer.Client
		var complete bool
		delta, client, more, complete = l.next()
		if client == nil || len(delta.Records) == 0 {
			return
		}
		if err := client.Gossip(ctx, l.fleet.revision(), delta, complete); err != nil {
			client.Close()
			return
		}
	}
}

// next returns the next changes and the connection for them; whether there are
// more; and whether the peer then knows all that a member of the region should.
func (l *link) next() (delta gossip.Delta, client *peer.Client, more, complete bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.session == nil {
		return gossip.Delta{}, nil, false, false
	}
	delta, more = l.session.Next()
	return delta, l.client, more, !more && l.fleet.synced
}

// wants returns which records a peer of the region gets: a peer of this region
// all, one of another region what this region says of itself.
func (f *Fleet) wants(region string) func(gossip.Record) bool {
	own := f.cfg.Self.Region
	if region == own {
		return func(r gossip.Record) bool {
			from, _ := splitRegionName(r.Name)
			return r.Kind != gossip.KindRegion || from != own
		}
	}
	return func(r gossip.Record) bool {
		switch r.Kind {
		case gossip.KindMember:
			return f.table.Region(r.Name) == own
		case gossip.KindSummary, gossip.KindRegion:
			from, _ := splitRegionName(r.Name)
			return from == own
		case gossip.KindDemand:
			from, _ := splitRegionName(r.Name)
			return from == own && len(f.cfg.Publisher.Load().Members) <= maxDemandMembers
		default:
			return false
		}
	}
}

// connected returns the links with a connection.
func (f *Fleet) connected() []*link {
	var links []*link
	for _, l := range f.links {
		if l.session != nil {
			links = append(links, l)
		}
	}
	return links
}

func (f *Fleet) linksTo(vm string) []*link {
	var links []*link
	for _, l := range f.links {
		if l.session != nil && l.vm == vm {
			links = append(links, l)
		}
	}
	return links
}

// kickLinks makes all links send at once.
func (f *Fleet) kickLinks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}
