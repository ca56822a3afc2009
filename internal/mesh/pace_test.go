package mesh

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/linkuse"
)

// smallLink is the rate of a link of 10 Mbit/s in bytes per second.
const smallLink = 10e6 / 8

func TestRecordsTakeAtMostTheirShareOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := clock.Synthetic()
		p := newPace(smallLink, now)
		const message = 60_000 // bytes
		sent, began := 0, now()
		for now().Sub(began) < 10*time.Second {
			is.True(p.await(t.Context()))
			p.take(message)
			sent += message
		}
		is.True(float64(sent) < 1.1*10*recordLinkShare*smallLink)
		is.True(float64(sent) > 0.9*10*recordLinkShare*smallLink)
		time.Sleep(time.Minute) // an idle time gives no more than the burst
		began, sent = now(), 0
		for p.await(t.Context()) && now() == began {
			p.take(message)
			sent += message
		}
		is.True(float64(sent) <= smallLink*maxPaceBurst.Seconds()+message)
	})
}

func TestWaitForThePaceEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	p := newPace(1000, clock.Boot)
	p.take(1 << 20)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.Equal(p.await(ctx), false)
	is.True((*pace)(nil).await(t.Context())) // without a known rate nothing waits
}

// Guards against issue 51 (GONE): records that changed all the time filled the link of a VM,
// so that requests, and their ends, waited behind them.
func TestRecordsThatChangeAllTheTimeLeaveTheLinkFree(t *testing.T) {
	is := is.New(t)
	const rate = 400_000 // bytes per second
	meter := &linkuse.Meter{}
	var newest atomic.Uint64
	other := startWith(t, func(c *Config) {
		c.OnRecord = func(r gossip.Record) {
			if r.Kind == gossip.KindQuarantine {
				newest.Store(binary.BigEndian.Uint64(r.Value))
			}
		}
	}, "north-2", "north", "")
	flooding := startWith(t, func(c *Config) {
		c.LinkRate, c.Dialer = rate, meter.Dialer(&net.Dialer{}, linkuse.Records)
	}, "north-1", "north", "", other.Addresses.Control)
	waitFor(t, "discovery", func() bool { return flooding.lookup("north-2") != nil && other.lookup("north-1") != nil })
	const span = 3 * time.Second
	before, version := meter.Total(linkuse.Records).Sent, uint64(0)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for part := range 8 {
			version++
			value := append(binary.BigEndian.AppendUint64(nil, version), bytes.Repeat([]byte{1}, 8<<10)...)
			flooding.Publish(gossip.Record{Key: gossip.Key{Kind: gossip.KindQuarantine, Name: string(rune('a' + part))}, Version: version, Value: value})
		}
		is.True(other.lookup("north-1") != nil) // its heartbeats arrive
	}
	sent := float64(meter.Total(linkuse.Records).Sent - before)
	// 128 KB is one message, which is sent before it counts. Headers of packets are the rest.
	is.True(sent < 1.1*(rate*recordLinkShare*span.Seconds()+rate*maxPaceBurst.Seconds()+128<<10))
	is.True(sent > 0.5*rate*recordLinkShare*span.Seconds())
	waitFor(t, "the newest record", func() bool { return newest.Load() == version })
}
