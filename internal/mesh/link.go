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
	// dialTimeout bounds the set-up of a connection to a neighbour: several
	// round trips between regions.
	dialTimeout = time.Second
	// pingInterval is the time between two checks of a connection.
	pingInterval = time.Second
	// pingTimeout is when a connection without an answer is given up. A
	// connection can go silent without an error.
	pingTimeout = 1500 * time.Millisecond
	// redialPause is the time between two tries to connect.
	redialPause = 400 * time.Millisecond
	// redialFor is how long a silent member is dialled, and maxRedials how many
	// of them at a time. After that it comes back through a seed or by itself.
	redialFor  = time.Minute
	maxRedials = 4
	// roundTripSmoothing is the weight of a new measurement.
	roundTripSmoothing = 0.2
)

// link sends this VM's records to one neighbour.
type link struct {
	mesh    *Mesh
	key     string // the VM, or the address of a seed
	address string
	region  string
	cancel  context.CancelFunc
	awake   chan struct{}

	mu      sync.Mutex
	session *gossip.Session
	client  atomic.Pointer[peer.Client]
	// roundTrip is in nanoseconds; zero is unknown.
	roundTrip atomic.Int64
}

// connect opens links to the neighbours and closes the others. The caller
// holds the mesh's lock.
func (m *Mesh) connect(ctx context.Context) {
	want := m.neighbours()
	for key, l := range m.links {
		if n, ok := want[key]; !ok || n.address != l.address {
			l.cancel()
			delete(m.links, key)
		}
	}
	for key, n := range want {
		if m.links[key] != nil {
			continue
		}
		l := &link{mesh: m, key: key, address: n.address, region: n.region, awake: make(chan struct{}, 1)}
		var linkCtx context.Context
		linkCtx, l.cancel = context.WithCancel(ctx)
		m.links[key] = l
		go l.run(linkCtx)
	}
}

type neighbour struct{ address, region string }

// neighbours returns whom this VM tells its records: the VMs of its region, or
// some of them where they are many, a few of each other region, and seeds that
// no known member answers for.
func (m *Mesh) neighbours() map[string]neighbour {
	want := map[string]neighbour{}
	byRegion := map[string][]*Member{}
	known := map[string]bool{m.Addresses.Control: true}
	now := m.Now()
	for vm, o := range m.members {
		switch {
		case o.Reachable:
			byRegion[o.Region] = append(byRegion[o.Region], o)
			known[o.Control] = true
		case now.Sub(o.LastHeartbeat) < redialFor && len(want) < maxRedials:
			want[vm] = neighbour{o.Control, o.Region}
		}
	}
	add := func(list []*Member) {
		for _, o := range list {
			want[o.VM] = neighbour{o.Control, o.Region}
		}
	}
	carrier := m.rankAmongReachable("carrier", "") < carriers
	for region, list := range byRegion {
		switch {
		case region == m.Self.Region && len(list) < fullMesh:
			add(list)
		case region == m.Self.Region:
			add(m.regional(list))
		case carrier:
			add(preferred(list, m.Self.VM, abroad))
		}
	}
	for _, seed := range m.seeds {
		// A seed that doesn't answer is tried on only while few are known.
		if !known[seed] && (len(byRegion[m.Self.Region]) < fullMesh || carrier) {
			want[seed] = neighbour{seed, ""}
		}
	}
	return want
}

// regional returns this VM's neighbours among many VMs of its region. Those of
// a failure domain form a ring with chords, in which each has as many that tell
// it as it tells; a few of them have neighbours in the other failure domains,
// as bytes between those are dear.
func (m *Mesh) regional(list []*Member) []*Member {
	byDomain := map[string][]*Member{}
	for _, o := range list {
		byDomain[o.FailureDomain] = append(byDomain[o.FailureDomain], o)
	}
	out := chords(byDomain[m.Self.FailureDomain], m.Self.VM)
	if len(out) > 0 && m.rankAmongReachable("carrier", m.Self.FailureDomain) >= domainCarriers {
		return out
	}
	for domain, far := range byDomain {
		if domain != m.Self.FailureDomain {
			out = append(out, preferred(far, m.Self.VM, 1)...)
		}
	}
	return out
}

// chords returns the members that follow a VM in the order of the names at the
// distances 1, 2, 4 and so on. A record reaches all in as many steps as the
// largest distance has binary digits.
func chords(list []*Member, self string) []*Member {
	slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.VM, b.VM) })
	next, _ := slices.BinarySearchFunc(list, self, func(o *Member, name string) int { return cmp.Compare(o.VM, name) })
	var out []*Member
	for distance := 1; distance <= len(list); distance *= 2 {
		out = append(out, list[(next+distance-1)%len(list)])
	}
	return out
}

// preferred returns up to most members, the ones of the largest preference for
// the key first.
func preferred(list []*Member, key string, most int) []*Member {
	slices.SortFunc(list, func(a, b *Member) int {
		return cmp.Compare(preference(b.VM, b.Capacity, key), preference(a.VM, a.Capacity, key))
	})
	return list[:min(len(list), most)]
}

// roundTrip returns the least round trip measured to a region. The caller
// holds the lock.
func (m *Mesh) roundTrip(region string) time.Duration {
	least := time.Duration(0)
	for _, l := range m.links {
		if d := time.Duration(l.roundTrip.Load()); l.region == region && d > 0 && (least == 0 || d < least) {
			least = d
		}
	}
	if least == 0 {
		return assumedRoundTrip
	}
	return least
}

// assumedRoundTrip stands for a round trip between regions until one is
// measured.
const assumedRoundTrip = 160 * time.Millisecond

func (l *link) wake() {
	select {
	case l.awake <- struct{}{}:
	default:
	}
}

// heard notes that the neighbour has a record.
func (l *link) heard(r gossip.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session.MarkReceived(r)
	}
}

func (l *link) run(ctx context.Context) {
	dialer := &peer.Dialer{Log: l.mesh.Log, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	}}
	lost := false
	for ctx.Err() == nil {
		client, err := dialer.Open(ctx, l.address, server{l.mesh}.Self())
		if err != nil {
			if !lost && ctx.Err() == nil {
				lost = true
				l.mesh.Log.Warn("neighbour lost", "member", l.key, "address", l.address, "error", err)
			}
			background.Pause(ctx, redialPause)
			continue
		}
		lost = false
		l.mesh.Log.Info("neighbour connected", "member", client.Remote.VM, "address", l.address, "region", client.Remote.Region)
		l.serve(ctx, client)
		client.Close()
	}
}

// serve sends records over one connection until it ends.
func (l *link) serve(ctx context.Context, client *peer.Client) {
	l.mu.Lock()
	l.session = gossip.NewSession(l.mesh.store, l.wants(client.Remote.Region))
	l.mu.Unlock()
	l.client.Store(client)
	defer l.client.Store(nil)
	go l.ping(ctx, client)
	for {
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			return
		case <-l.awake:
		}
		if !l.send(ctx, client) {
			return
		}
	}
}

// wants leaves out the loads on backend servers that the neighbour's region
// doesn't use.
func (l *link) wants(region string) func(gossip.Record) bool {
	abroad := region != l.mesh.Self.Region
	return func(r gossip.Record) bool {
		if !abroad {
			return true
		}
		return r.Kind != gossip.KindLoad
	}
}

func (l *link) send(ctx context.Context, client *peer.Client) bool {
	revision, _ := l.mesh.Configuration()
	for more := true; more; {
		var delta gossip.Delta
		l.mesh.mu.Lock()
		l.mu.Lock()
		delta, more = l.session.Next()
		l.mu.Unlock()
		l.mesh.mu.Unlock()
		if len(delta.Records) == 0 {
			return true
		}
		if err := client.Gossip(ctx, revision, delta, !more); err != nil {
			l.mesh.Log.Warn("neighbour lost", "member", l.key, "address", l.address, "error", err)
			return false
		}
	}
	return true
}

// ping measures the round trip and closes a connection that went silent.
func (l *link) ping(ctx context.Context, client *peer.Client) {
	for {
		started := l.mesh.Now()
		revision, _ := l.mesh.Configuration()
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		theirs, err := client.Ping(pingCtx, revision)
		cancel()
		if err != nil {
			return
		}
		took := l.mesh.Now().Sub(started)
		if old := l.roundTrip.Load(); old != 0 {
			took = time.Duration(float64(old) + roundTripSmoothing*float64(int64(took)-old))
		}
		l.roundTrip.Store(int64(took))
		if theirs > revision {
			l.mesh.fetchFrom(client.Remote.VM, theirs)
		}
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			return
		case <-time.After(pingInterval):
		}
	}
}

// fetchFrom offers the configuration of a member that has a newer one.
func (m *Mesh) fetchFrom(vm string, revision uint64) {
	m.OnNewerConfiguration(revision, func(ctx context.Context) (uint64, []byte, error) {
		client := m.connected(vm)
		if client == nil {
			return 0, nil, peer.ErrUnreachable.New("no connection to %s or any other VM", vm)
		}
		own, _ := m.Configuration()
		value, err := client.Manifest(ctx, own)
		return value.Revision, value.Data, err
	})
}

// connected returns the connection to a VM, or one to any other, or nil.
func (m *Mesh) connected(vm string) *peer.Client {
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
