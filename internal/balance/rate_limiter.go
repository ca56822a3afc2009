package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// limitSlack is the number of requests beyond one second's worth that all VMs
	// together may send at once to a server with a request limit. Servers tolerate
	// several more, which are left for VMs that do not know of one another yet.
	limitSlack = 2
	// minLimitPerSecond is the lowest limit that is applied. Below it, no response
	// would show for a long time that the limit has ended.
	minLimitPerSecond = 0.1
	// maxLimitPerSecond is the highest limit that is applied, beyond what any server
	// can serve.
	maxLimitPerSecond = 1e6
	// minLimitWait is the minimum retry time of a caller who finds all servers at their
	// limits: others wait for the next request too.
	minLimitWait = 100 * time.Millisecond
	// noShareWait is the retry time if only other VMs may use a server.
	noShareWait = time.Second
)

// LimitShare is this VM's share of a server's request limit. It is zero if the VM
// may send no requests.
type LimitShare struct {
	PerSecond float64
	// Burst is the number of requests that may be sent at once.
	Burst int
}

// unlimited is the share of a server that names no limit.
var unlimited = LimitShare{PerSecond: math.Inf(1)}

// ShareOfLimit returns the share of the VM with the given rank, starting at 0, among
// the VMs that may use a server. Each share allows one request at once or more, so a
// low limit is divided among the first few VMs only.
func ShareOfLimit(perSecond float64, vms, rank int) LimitShare {
	atOnce := int(perSecond) + limitSlack
	sharing := min(max(1, vms), atOnce)
	if rank >= sharing {
		return LimitShare{}
	}
	return LimitShare{PerSecond: perSecond / float64(sharing), Burst: atOnce / sharing}
}

// RateLimiter applies this VM's share of a server's request limit. The zero value
// limits nothing.
type RateLimiter struct {
	// limit is in requests per second, as the bits of a float64; zero means none.
	limit atomic.Uint64

	mu     sync.Mutex
	share  LimitShare
	bucket *rate.Limiter
}

// SetLimit sets the server's limit for all VMs, in requests per second; zero means
// none.
func (l *RateLimiter) SetLimit(perSecond float64) {
	if perSecond > 0 {
		perSecond = min(max(perSecond, minLimitPerSecond), maxLimitPerSecond)
	}
	l.limit.Store(math.Float64bits(perSecond))
}

// Limit returns the limit in force, in requests per second, or zero.
func (l *RateLimiter) Limit() float64 { return math.Float64frombits(l.limit.Load()) }

// Take reports whether one more request may be sent, and if so counts it.
func (l *RateLimiter) Take(now clock.Instant, share LimitShare) bool {
	if share == unlimited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.setShare(share, now) && l.bucket.AllowN(now.Time(), 1)
}

// Wait returns the time until Take may succeed; zero means now.
func (l *RateLimiter) Wait(now clock.Instant, share LimitShare) time.Duration {
	if share == unlimited {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.setShare(share, now) {
		return noShareWait
	}
	missing := 1 - l.bucket.TokensAt(now.Time())
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / share.PerSecond * float64(time.Second))
}

// setShare sets the share in use and reports whether it allows any requests. The
// caller holds the lock.
func (l *RateLimiter) setShare(share LimitShare, now clock.Instant) bool {
	if share != l.share {
		l.share = share
		if l.bucket == nil {
			l.bucket = rate.NewLimiter(0, 0)
		}
		l.bucket.SetLimitAt(now.Time(), rate.Limit(share.PerSecond))
		l.bucket.SetBurstAt(now.Time(), share.Burst)
	}
	return share.Burst > 0
}
