package mesh

import (
	"bytes"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/linkuse"
	"github.com/chestnutspring/chestnutspring/internal/peer"
)

// Guards against links that are full of records (issue 22): a third of their bytes was base64.
// VMs of earlier builds read no others.
func TestRecordsTravelWithoutBase64BetweenVMsOfThisBuild(t *testing.T) {
	for name, c := range map[string]struct {
		readsRaw bool
		// least and most are the bytes sent per byte of the record.
		least, most float64
	}{"this build": {true, 1, 1.2}, "earlier build": {false, 1.3, 1.6}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			meter, arrived := &linkuse.Meter{}, make(chan []byte, 1)
			other := startWith(t, func(c *Config) {
				c.OnRecord = func(r gossip.Record) {
					if r.Kind == gossip.KindQuarantine {
						arrived <- r.Value
					}
				}
			}, "north-2", "north", "")
			m := startWith(t, func(c *Config) { c.Dialer = meter.Dialer(&net.Dialer{}, linkuse.Records) }, "north-1", "north", "", other.Addresses.Control)
			waitFor(t, "discovery", func() bool { return m.lookup("north-2") != nil && other.lookup("north-1") != nil })
			m.mu.Lock()
			is.True(m.members["north-2"].readsRawRecords)
			m.members["north-2"].readsRawRecords = c.readsRaw
			m.mu.Unlock()
			value := bytes.Repeat([]byte{1}, 15<<10)
			before := meter.Total(linkuse.Records).Sent
			m.Publish(gossip.Record{Key: gossip.Key{Kind: gossip.KindQuarantine, Name: "x"}, Version: 1, Value: value})
			is.Equal(<-arrived, value)
			// What is sent before this one is counted.
			m.Publish(gossip.Record{Key: gossip.Key{Kind: gossip.KindQuarantine, Name: "y"}, Version: 1, Value: []byte{1}})
			<-arrived
			sent := float64(meter.Total(linkuse.Records).Sent-before) / float64(len(value))
			if sent < c.least || sent > c.most {
				t.Errorf("%.2f bytes sent per byte of the record", sent)
			}
		})
	}
}

// Guards against records that a VM can't read since it was started again with an earlier build.
func TestOnlyTheProcessThatSaysSoReadsRawRecords(t *testing.T) {
	is := is.New(t)
	vms := []vm{{"a", "north", "north-a", 1}, {"b", "north", "north-a", 1}}
	m := fleetFor(vms, vms[0])
	apply := func(version uint64, a announcement) {
		value, err := gossip.EncodeNamed(a)
		is.NoErr(err)
		m.apply(gossip.Record{Key: gossip.Key{Kind: gossip.KindMember, Name: "b"}, Version: version, Value: value})
	}
	first, restarted := peer.Hello{VM: "b", Incarnation: "2"}, peer.Hello{VM: "b", Incarnation: "3"}
	is.True(!m.readsRawRecords(peer.Hello{VM: "unknown"}))
	apply(1<<40, announcement{Incarnation: "2", Region: "north", FailureDomain: "north-a", ReadsRawRecords: true})
	is.True(m.readsRawRecords(first))
	is.True(!m.readsRawRecords(restarted))
	apply(2<<40, announcement{Incarnation: "3", Region: "north", FailureDomain: "north-a"})
	is.True(!m.readsRawRecords(first))
	is.True(!m.readsRawRecords(restarted))
}
