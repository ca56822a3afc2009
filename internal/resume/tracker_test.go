package resume

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// fleet is a simulated fleet of trackers that exchange records at once, except those
// that are cut off.
type fleet struct {
	now   clock.Instant
	vms   map[string]*member
	store map[gossip.Key]gossip.Record
	// pending holds the records that were published but not received yet.
	pending []sentRecord
	sent    int
}

type sentRecord struct {
	from *member
	gossip.Record
}

type member struct {
	*Tracker
	name   string
	roster *roster.Roster
	cut    bool
	blind  bool
	// outOfTouch means that the VM has not heard from another one just now, and unseen are
	// the versions that the registry would tell it of; nil means that it can't be asked.
	outOfTouch bool
	unseen     []string
	asked      int
}

func newFleet() *fleet {
	return &fleet{now: clock.Instant(time.Hour), vms: map[string]*member{}, store: map[gossip.Key]gossip.Record{}}
}

// start adds a VM, or starts it again, that lists servers of the versions.
func (f *fleet) start(name string, firstStart bool, versions ...string) *member {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	m := &member{name: name, roster: roster.New(log)}
	m.list(f, versions...)
	m.Tracker = New(Config{
		Now: func() clock.Instant { return f.now }, Log: log, Scope: tally.NoopScope, FirstStart: firstStart, View: m.roster.View,
		RegistryRead: func() bool { return !m.blind },
		Reachable:    func(vm string) bool { return f.vms[vm] != nil && !f.vms[vm].cut && !m.cut },
		AnyReachable: func() bool { return false }, // so that nothing waits
		InTouch:      func() bool { return !m.outOfTouch },
		UnseenVersions: func(context.Context) ([]Origin, error) {
			m.asked++
			if m.unseen == nil {
				return nil, errors.New("the registry can't be reached")
			}
			var origins []Origin
			for _, version := range m.unseen {
				origins = append(origins, Origin{"writer", version})
			}
			return origins, nil
		},
		PublishOwn: func(kind gossip.Kind, part string, value []byte) {
			f.sent++
			if !m.cut {
				f.pending = append(f.pending, sentRecord{m, gossip.Record{Key: gossip.Key{Kind: kind, Name: name + "/" + part}, Value: value}})
			}
		},
	})
	f.vms[name] = m
	for _, r := range f.store {
		m.receive(r)
	}
	return m
}

// deliver stores the pending records and hands them to all VMs but their own.
func (f *fleet) deliver() {
	for _, r := range f.pending {
		f.store[r.Key] = r.Record
		for _, m := range f.vms {
			if m != r.from && !m.cut {
				m.receive(r.Record)
			}
		}
	}
	f.pending = nil
}

// receive applies a record as the mesh does.
func (m *member) receive(r gossip.Record) {
	if r.Kind == gossip.KindSoftwareVersions {
		r.Name = r.Name[:len(r.Name)-1]
	}
	m.ApplyRecord(r)
}

// list makes the registry list one server of each version.
func (m *member) list(f *fleet, versions ...string) {
	ids := map[string]bool{}
	for i, version := range versions {
		id := "writer-" + version
		ids[id] = true
		m.roster.Put(roster.Entry{ID: id, Service: "writer", SoftwareVersion: version, Region: "r", Started: 1}, revision.Revision(uint64(f.now)+uint64(i)), roster.Event, f.now)
	}
	m.roster.ApplyServerList(ids, revision.Revision(uint64(f.now)+100), f.now)
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(500 * time.Millisecond) {
		for _, m := range f.vms {
			m.Tick(f.now)
		}
		f.deliver()
	}
}

// found returns the version at which a VM has the stream go on, or "".
func (m *member) found(id string) string {
	origin, _ := m.Find(context.Background(), id, "writer")
	return origin.SoftwareVersion
}

func TestOnlyVersionIsUsedForUnknownStreams(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a, b := f.start("a", true, "v1"), f.start("b", true, "v1")
	f.run(10 * time.Second)
	is.Equal(a.found("unknown"), "v1")
	a.Begin("x", Origin{"writer", "v1"})
	f.run(time.Second)
	is.Equal(len(b.streams), 0) // the others need no records
	a.list(f, "v1", "v2")
	b.list(f, "v1", "v2")
	f.run(time.Second)
	is.Equal(a.found("unknown"), "")
	is.Equal(b.found("x"), "v1") // sent when the second version appeared
}

// A version that left stays in memory as long as its streams may be taken up, and VMs
// don't remind one another of it for longer.
func TestVersionThatLeftIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	var vms []*member
	for n := range 4 {
		vms = append(vms, f.start(fmt.Sprint("vm-", n), true, "v1", "v2"))
	}
	f.run(10 * time.Second)
	for _, m := range vms {
		m.list(f, "v2")
		f.run(500 * time.Millisecond) // they learn of it at different times
	}
	f.run(20 * time.Second)
	is.Equal(vms[0].found("unknown"), "")
	f.run(20 * time.Second)
	for _, m := range vms {
		is.Equal(m.found("unknown"), "v2")
	}
}

func TestVMThatStartsLearnsHowFarTheOthersKnow(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.start("a", true, "v1")
	f.run(20 * time.Second)
	b := f.start("b", false, "v1")
	is.Equal(b.found("unknown"), "") // a's record may be old
	f.run(vouchDelay + versionsInterval + time.Second)
	is.Equal(b.found("unknown"), "v1")
}

// After the loss of all VMs nothing is known of the streams before.
func TestVMsThatAllStartedAgainKnowNothingOfStreamsBefore(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a, b := f.start("a", false, "v2"), f.start("b", false, "v2")
	f.run(15 * time.Second)
	is.Equal(a.found("before"), "")
	a.Begin("x", Origin{"writer", "v2"})
	f.run(time.Second)
	is.Equal(b.found("x"), "v2") // also with one version only
	f.run(streamMemory)
	is.Equal(a.found("unknown"), "v2")
}

// A VM that could not know of new versions does not rely on what it knew.
func TestBlindVMDoesNotAssumeItsVersion(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a, b := f.start("a", true, "v1"), f.start("b", true, "v1")
	f.run(10 * time.Second)
	b.cut, b.blind = true, true
	a.list(f, "v1", "v2")
	f.run(5 * time.Second)
	is.Equal(b.found("unknown"), "")
	a.list(f, "v1") // v2 came and went
	f.run(time.Second)
	b.cut, b.blind = false, false
	f.run(500 * time.Millisecond)
	is.Equal(b.found("unknown"), "")
	f.run(blindMemory + versionsInterval)
	is.Equal(a.found("unknown"), "")
	is.Equal(b.found("unknown"), "") // a has told it of v2
}

// The streams of a VM are known to the others when it has started again, and to itself.
func TestStreamsOutliveTheirVM(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a, b := f.start("a", true, "v1", "v2"), f.start("b", true, "v1", "v2")
	f.run(5 * time.Second)
	a.Begin("x", Origin{"writer", "v2"})
	f.run(time.Second)
	a = f.start("a", false, "v1", "v2")
	is.Equal(a.found("x"), "v2")
	is.Equal(b.found("x"), "v2")
	f.run(2 * streamMemory)
	is.Equal(len(a.streams)+len(b.streams), 0)
}

// A stream that broke off is told to the others also if there is just one version.
func TestBrokenStreamIsTold(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a, b := f.start("a", true, "v1"), f.start("b", true, "v1")
	f.run(10 * time.Second)
	a.Begin("x", Origin{"writer", "v1"})
	a.Begin("y", Origin{"writer", "v1"})
	a.BrokeOff("x")
	f.run(time.Second)
	b.blind = true
	is.Equal(b.found("x"), "v1")
	is.Equal(b.found("y"), "")
}

// Nothing is sent again and again.
func TestUnchangedStreamsAreSentOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a := f.start("a", true, "v1", "v2")
	f.start("b", true, "v1", "v2")
	f.run(5 * time.Second)
	for n := range 100 {
		a.Begin(fmt.Sprint("x", n), Origin{"writer", "v1"})
	}
	f.sent = 0
	f.run(10 * time.Second)
	is.True(f.sent <= 1+2*3) // the streams, and the versions of both VMs
}

func FuzzRecord(f *testing.F) {
	batch := streamsRecord{}
	batch.add(7, Origin{"writer", "v1"})
	data, _ := gossip.Encode(batch)
	versions, _ := gossip.Encode(versionsRecord{KnownForMs: 5, Services: []serviceVersions{{"writer", []string{"v1", "v2"}, []int64{0, 9}}}})
	f.Add(uint8(gossip.KindStreams), data)
	f.Add(uint8(gossip.KindSoftwareVersions), versions)
	f.Add(uint8(gossip.KindStreams), []byte{0x93, 0x90, 0xc4, 0x01, 0x00, 0xc4, 0x02, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind uint8, value []byte) {
		m := newFleet().start("a", true, "v1")
		m.ApplyRecord(gossip.Record{Key: gossip.Key{Kind: gossip.Kind(kind), Name: "b/1"}, Value: value})
		m.Tick(m.Now().Add(streamMemory + time.Second))
		m.Find(context.Background(), "x", "writer")
	})
}

// Guards against the first report of issue 38 (ORDER): a VM was cut off from the others, or
// stood still, while servers of a new version joined, and went on with streams from there
// at the only version that it knew.
func TestVMOutOfTouchAsksTheRegistryBeforeItReliesOnItsOnlyVersion(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a, b := f.start("a", true, "v1"), f.start("b", true, "v1")
	f.run(40 * time.Second)
	is.Equal(b.found("lost"), "v1")
	is.Equal(b.asked, 0) // in touch
	b.cut, b.outOfTouch = true, true
	a.list(f, "v1", "v2")
	a.Begin("s", Origin{"writer", "v2"})
	a.BrokeOff("s")
	f.run(time.Second)
	is.Equal(b.found("s"), "") // cut off from the registry too
	b.unseen = []string{}
	is.Equal(b.found("lost"), "v1") // nothing has changed
	b.unseen = []string{"v1"}
	is.Equal(b.found("lost"), "v1") // a new server of that version
	b.unseen = []string{"v2"}
	is.Equal(b.found("s"), "")
	asked := b.asked
	is.Equal(b.found("s"), "") // from now on the version is known
	is.Equal(b.asked, asked)
}
