package mesh

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/peer"
)

const (
	// dialTimeout bounds the TCP connection attempt to a peer. It covers several
	// round trips between regions.
	dialTimeout = time.Second
	// pingInterval is the pause between two pings on a connection.
	pingInterval = time.Second
	// pingTimeout bounds the wait for the reply to a ping, after which the
	// connection is closed: a connection can fail without an error.
	pingTimeout = 1500 * time.Millisecond
	// confirmInterval replaces pingInterval while this VM needs others to confirm its
	// configuration.
	confirmInterval = 300 * time.Millisecond
	// redialDelay is the pause after a failed connection attempt.
	redialDelay = 400 * time.Millisecond
	// redialPeriod is the time since its last heartbeat during which an
	// unreachable member is redialed, and maxRedials the maximum number of such
	// members at a time. A VM that returns later rejoins through a seed or by
	// connecting to this VM itself.
	redialPeriod = time.Minute
	maxRedials   = 4
	// roundTripSmoothing is the weight of a new sample in the moving average of
	// the round trip.
	roundTripSmoothing = 0.2
)

// link sends records to one peer over a connection that it re-establishes after
// a failure.
type link struct {
	mesh    *Mesh
	key     string // name of the VM, or the address of a seed
	address string
	region  string
	cancel  context.CancelFunc
	wakeup  chan struct{} // signals that there may be records to send

	mu      sync.Mutex
	session *gossip.Session
	client  atomic.Pointer[peer.Client]
	// roundTrip is the average round trip in nanoseconds; zero is unknown.
	roundTrip atomic.Int64
}

// updateLinks opens missing links and closes those that are no longer wanted or
// whose address changed. The caller holds the lock.
func (m *Mesh) updateLinks(ctx context.Context) {
	m.updateRing()
	targets := m.linkTargets()
	for key, l := range m.links {
		if target, ok := targets[key]; !ok || target.address != l.address {
			l.cancel()
			delete(m.links, key)
		}
	}
	for key, target := range targets {
		if m.links[key] != nil {
			continue
		}
		l := &link{mesh: m, key: key, address: target.address, region: target.region, wakeup: make(chan struct{}, 1)}
		var linkCtx context.Context
		linkCtx, l.cancel = context.WithCancel(ctx)
		m.links[key] = l
		go l.run(linkCtx)
	}
}

// linkTarget is a peer that this VM should have a link to. The region of a seed is
// empty.
type linkTarget struct{ address, region string }

// linkTargets returns the peers that this VM should have a link to: the VMs of
// its region or, in a large region, some of them; for a carrier, some of each
// other region; a few members that became unreachable recently; and seeds that
// are not the address of a reachable member.
func (m *Mesh) linkTargets() map[string]linkTarget {
	targets := map[string]linkTarget{}
	byRegion := map[string][]*Member{}
	known := map[string]bool{m.Addresses.Control: true}
	now := m.Now()
	for vm, o := range m.members {
		switch {
		case o.Reachable:
			byRegion[o.Region] = append(byRegion[o.Region], o)
			known[o.Control] = true
		case now.Sub(o.LastHeartbeat) < redialPeriod && len(targets) < maxRedials:
			targets[vm] = linkTarget{o.Control, o.Region}
		}
	}
	add := func(list []*Member) {
		for _, o := range list {
			targets[o.VM] = linkTarget{o.Control, o.Region}
		}
	}
	carrier := m.reachableRank("carrier", "") < regionCarriers
	for region, list := range byRegion {
		switch {
		case region == m.Self.Region && len(list) < fullMeshLimit:
			add(list)
		case region == m.Self.Region:
			add(m.regionalPeers(list))
		case carrier:
			add(mostPreferred(list, m.Self.VM, peersPerRegion))
		}
	}
	for _, seed := range m.seeds {
		// In a large region only carriers keep dialing an unresponsive seed.
		if !known[seed] && (len(byRegion[m.Self.Region]) < fullMeshLimit || carrier) {
			targets[seed] = linkTarget{seed, ""}
		}
	}
	return targets
}

// regionalPeers returns this VM's peers among the VMs of a large region. The VMs of
// a failure domain form a ring with chords, in which each VM has as many incoming
// as outgoing links. Only the carriers of a failure domain have peers in the
// others, because traffic between failure domains is expensive.
func (m *Mesh) regionalPeers(list []*Member) []*Member {
	byDomain := map[string][]*Member{}
	for _, o := range list {
		byDomain[o.FailureDomain] = append(byDomain[o.FailureDomain], o)
	}
	out := ringPeers(byDomain[m.Self.FailureDomain], m.Self.VM)
	if len(out) > 0 && m.reachableRank("carrier", m.Self.FailureDomain) >= domainCarriers {
		return out
	}
	for domain, others := range byDomain {
		if domain != m.Self.FailureDomain {
			out = append(out, mostPreferred(others, m.Self.VM, 1)...)
		}
	}
	return out
}

// ringPeers returns the members at the distances 1, 2, 4 and so on after self in
// the order of their names. A record reaches all members in at most as many steps
// as the largest distance has binary digits.
func ringPeers(list []*Member, self string) []*Member {
	next := ringPosition(list, self)
	var out []*Member
	for distance := 1; distance <= len(list); distance *= 2 {
		out = append(out, list[(next+distance-1)%len(list)])
	}
	return out
}

// mostPreferred returns up to limit members, in descending order of preference for
// the key.
func mostPreferred(list []*Member, key string, limit int) []*Member {
	slices.SortFunc(list, func(a, b *Member) int {
		return cmp.Compare(preference(b.VM, b.Capacity, key), preference(a.VM, a.Capacity, key))
	})
	return list[:min(len(list), limit)]
}

// roundTrip returns the minimum round trip over the links to a region, or
// defaultRoundTrip if none is known. The caller holds the lock.
func (m *Mesh) roundTrip(region string) time.Duration {
	shortest := time.Duration(0)
	for _, l := range m.links {
		if d := time.Duration(l.roundTrip.Load()); l.region == region && d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	if shortest == 0 {
		return defaultRoundTrip
	}
	return shortest
}

// defaultRoundTrip is assumed between regions until a ping has been answered.
const defaultRoundTrip = 160 * time.Millisecond

// wake makes the link send new records at once.
func (l *link) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// markReceived records that the peer sent r, so that it is not sent back.
func (l *link) markReceived(r gossip.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session.MarkReceived(r)
	}
}

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dial opens a connection to the control address of another VM.
func (m *Mesh) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer Dialer = &net.Dialer{}
	if m.Dialer != nil {
		dialer = m.Dialer
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return pacedConn{Conn: conn, pace: m.pace}, nil
}

func (l *link) run(ctx context.Context) {
	dialer := &peer.Dialer{Log: l.mesh.Log, Dial: l.mesh.dial}
	warned := false
	for ctx.Err() == nil {
		client, err := dialer.Open(ctx, l.address, handler{l.mesh}.Self())
		if err != nil {
			if !warned && ctx.Err() == nil {
				warned = true
				l.mesh.Log.Warn("connecting to peer failed", "member", l.key, "address", l.address, "error", err)
			}
			background.Sleep(ctx, redialDelay)
			continue
		}
		warned = false
		l.mesh.Log.Info("peer connected", "member", client.Remote.VM, "address", l.address, "region", client.Remote.Region)
		l.serve(ctx, client)
		client.Close()
	}
}

// serve sends records over one connection until it is closed or ctx is done.
func (l *link) serve(ctx context.Context, client *peer.Client) {
	l.mu.Lock()
	l.session = gossip.NewSession(l.mesh.store, l.recordFilter(client.Remote))
	l.mu.Unlock()
	l.client.Store(client)
	defer l.client.Store(nil)
	go l.monitor(ctx, client)
	for {
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			return
		case <-l.wakeup:
		}
		if !l.send(ctx, client) {
			return
		}
	}
}

// recordFilter returns the filter of the records sent to a peer. Other regions don't use the
// loads on backend servers.
func (l *link) recordFilter(remote peer.Hello) func(gossip.Record) bool {
	otherRegion := remote.Region != l.mesh.Self.Region
	return func(r gossip.Record) bool {
		if otherRegion {
			return r.Kind != gossip.KindLoad
		}
		return l.mesh.passesOn(r, remote.VM)
	}
}

// send sends all pending records, at the pace of this VM's records, and reports whether it
// succeeded.
func (l *link) send(ctx context.Context, client *peer.Client) bool {
	version, _ := l.mesh.Configuration()
	for more := true; more; {
		if !l.mesh.pace.await(ctx) {
			return false
		}
		var delta gossip.Delta
		l.mesh.mu.Lock()
		l.mu.Lock()
		delta, more = l.session.Next()
		l.mu.Unlock()
		client.RawRecords = l.mesh.readsRawRecords(client.Remote)
		l.mesh.mu.Unlock()
		if len(delta.Records) == 0 {
			return true
		}
		if err := client.Gossip(version, delta, !more); err != nil {
			l.mesh.Log.Warn("sending records to peer failed", "member", l.key, "address", l.address, "error", err)
			return false
		}
	}
	return true
}

// monitor measures the round trip by pings, compares configuration versions, and
// ends the connection when a ping is not answered in time.
func (l *link) monitor(ctx context.Context, client *peer.Client) {
	for {
		started := l.mesh.Now()
		version, _ := l.mesh.Configuration()
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		peerVersion, err := client.Ping(pingCtx, version)
		cancel()
		if err != nil {
			return
		}
		took := l.mesh.Now().Sub(started)
		if old := l.roundTrip.Load(); old != 0 {
			took = time.Duration(float64(old) + roundTripSmoothing*float64(int64(took)-old))
		}
		l.roundTrip.Store(int64(took))
		if peerVersion > version {
			l.mesh.offerConfiguration(client.Remote.VM, peerVersion)
		}
		interval := pingInterval
		if l.mesh.NeedsConfirmation != nil && l.mesh.NeedsConfirmation() {
			interval = confirmInterval
			if !l.confirm(ctx, client, version) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			return
		case <-time.After(interval):
		}
	}
}

// confirm asks the peer how recent its configuration is, and reports whether it answered.
func (l *link) confirm(ctx context.Context, client *peer.Client, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	askedAt := l.mesh.Now()
	answer, err := client.Confirmation(ctx, version)
	if err != nil {
		return false
	}
	if answer.Confirmed {
		l.mesh.OnConfirmation(answer.Revision, askedAt, answer.Age)
	}
	return true
}

// offerConfiguration reports a member with a newer configuration through
// OnNewerConfiguration.
func (m *Mesh) offerConfiguration(vm string, version uint64) {
	m.OnNewerConfiguration(version, func(ctx context.Context) ([]byte, error) {
		client := m.connectionTo(vm)
		if client == nil {
			return nil, peer.ErrUnreachable.New("no connection to %s or any other VM", vm)
		}
		own, _ := m.Configuration()
		value, err := client.Manifest(ctx, own)
		return value.Data, err
	})
}

// connectionTo returns the connection to a VM, or else one to any other VM, or
// nil.
func (m *Mesh) connectionTo(vm string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	var other *peer.Client
	for key, l := range m.links {
		client := l.client.Load()
		if client != nil && (key == vm || client.Remote.VM == vm) {
			return client
		}
		if client != nil {
			other = client
		}
	}
	return other
}
