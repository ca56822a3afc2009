package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// recordLinkShare is the share of a VM's link that its records may take. What waits longer
	// is sent in its newest version only, so that requests and their ends aren't held up by
	// records whatever these carry.
	recordLinkShare = 0.5
	// maxPaceBurst is the time for which records may be sent at the full rate of the link
	// after they have taken less than their share.
	maxPaceBurst = 200 * time.Millisecond
	// paceCheckInterval is the longest time between two looks whether records may be sent.
	paceCheckInterval = 100 * time.Millisecond
)

// pace bounds the bytes per second that all links of this VM send. A nil pace doesn't.
type pace struct {
	now clock.Clock
	// rate is in bytes per second, and burst in bytes.
	rate, burst float64

	mu sync.Mutex
	// credit is how many bytes may be sent now; it is below zero after a large message.
	credit float64
	at     clock.Instant
}

// newPace returns the pace of a VM's records on a link of the given rate in bytes per second;
// zero means that it is unknown.
func newPace(linkRate float64, now clock.Clock) *pace {
	if linkRate <= 0 {
		return nil
	}
	burst := linkRate * maxPaceBurst.Seconds()
	return &pace{now: now, rate: linkRate * recordLinkShare, burst: burst, credit: burst, at: now()}
}

// delay returns how long to wait until records may be sent; zero means that they may now.
func (p *pace) delay() time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.credit = min(p.burst, p.credit+p.rate*now.Sub(p.at).Seconds())
	p.at = now
	if p.credit > 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration(-p.credit/p.rate*float64(time.Second)))
}

// await waits until records may be sent, and reports whether they may: ctx has not ended.
func (p *pace) await(ctx context.Context) bool {
	for {
		d := p.delay()
		if d == 0 || ctx.Err() != nil {
			return ctx.Err() == nil
		}
		background.Sleep(ctx, min(d, paceCheckInterval))
	}
}

// take counts bytes that were sent.
func (p *pace) take(n int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credit -= float64(n)
}

// pacedConn is a connection whose sent bytes count for the pace.
type pacedConn struct {
	net.Conn
	pace *pace
}

// Write implements net.Conn.
func (c pacedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pace.take(n)
	return n, err
}
