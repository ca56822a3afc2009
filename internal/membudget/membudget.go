// Package membudget bounds the memory that the requests in flight hold together, in the
// buffers whose size peers decide.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// FreeBytes is what each Account may hold regardless of the others, so that ordinary
// requests are served while large ones hold all of the budget.
const FreeBytes = 8 << 10

// minBufferBytes is the smallest size of a buffer.
const minBufferBytes = 512

const (
	// stallTime is for how long the sender of a message may send less than progressBytes
	// before the message may be evicted for another one.
	stallTime = 500 * time.Millisecond
	// progressBytes is the least number of bytes that count as progress: a client that sends
	// a byte now and then makes none.
	progressBytes = 1 << 10
	// evictionTimeout bounds the wait for the memory of an evicted message, and
	// evictionInterval is the time between two looks for it.
	evictionTimeout  = 100 * time.Millisecond
	evictionInterval = 5 * time.Millisecond
)

// Budget is a number of bytes that is shared. It is safe for concurrent use, and nil means
// that there is no bound.
type Budget struct {
	limit int64
	held  atomic.Int64

	// mu guards evictable, the accounts of the messages that may be evicted.
	mu        sync.Mutex
	evictable map[*Account]struct{}
	evictions atomic.Int64
}

// New returns a budget of the given number of bytes, or nil if that isn't above zero.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit, evictable: map[*Account]struct{}{}}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Account returns an account that holds nothing.
func (b *Budget) Account() *Account { return &Account{budget: b} }

// Evictable returns the account of a message that is being received. If another message needs
// the memory and this one has stalled, evict is called once; it must make the read of the
// message fail. The account must be closed.
func (b *Budget) Evictable(evict func()) *Account {
	a := &Account{budget: b}
	if b == nil {
		return a
	}
	a.evict = evict
	a.recordProgress()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictable[a] = struct{}{}
	return a
}

// evictStalled evicts the message that has stalled for longest, but for that of the account, and
// reports whether there was one.
func (b *Budget) evictStalled(other *Account) bool {
	latest := time.Now().Add(-stallTime)
	b.mu.Lock()
	var stalled *Account
	for a := range b.evictable {
		if at := a.progressAt.Load(); a != other && a.held.Load() > FreeBytes && !at.After(latest) {
			stalled, latest = a, *at
		}
	}
	if stalled != nil {
		stalled.evicted.Store(true)
		delete(b.evictable, stalled)
	}
	b.mu.Unlock()
	if stalled == nil {
		return false
	}
	b.evictions.Add(1)
	stalled.evict()
	return true
}

// TakeEvictions returns the number of messages that were evicted since the last call.
func (b *Budget) TakeEvictions() int64 {
	if b == nil {
		return 0
	}
	return b.evictions.Swap(0)
}

// Account is what one buffer or a few hold of a Budget. It isn't safe for concurrent use.
// Nil means that there is no bound.
type Account struct {
	budget *Budget
	held   atomic.Int64
	// Wait is how long TakeOrEvict waits for memory that others hold.
	Wait time.Duration

	// evict ends the message; nil means that it isn't evictable, or no longer.
	evict func()
	// progressAt is the time of the last progress, and received the number of bytes since.
	progressAt atomic.Pointer[time.Time]
	received   int
	evicted    atomic.Bool
}

// Take takes n bytes and reports whether the budget has them.
func (a *Account) Take(n int) bool {
	if a == nil || a.budget == nil {
		return true
	}
	total := a.budget.held.Add(int64(n))
	if total > a.budget.limit && a.held.Load()+int64(n) > FreeBytes {
		a.budget.held.Add(-int64(n))
		return false
	}
	a.held.Add(int64(n))
	return true
}

// TakeSpare is like Take without free bytes, for memory that the holder can do without.
func (a *Account) TakeSpare(n int) bool {
	if a == nil || a.budget == nil {
		return true
	}
	if a.budget.held.Add(int64(n)) > a.budget.limit {
		a.budget.held.Add(-int64(n))
		return false
	}
	a.held.Add(int64(n))
	return true
}

// TakeOrEvict takes n bytes and reports whether the budget has them. If it doesn't, messages
// that have stalled are evicted for them, and the call waits for what they hold, or for up to
// a.Wait for what others hold.
func (a *Account) TakeOrEvict(n int) bool {
	if a.Take(n) {
		return true
	}
	if int64(n) > a.budget.limit {
		return false
	}
	began, wait := time.Now(), a.Wait
	// evictAfter is when another message may be evicted: the last one has returned its memory.
	for evictAfter := time.Duration(0); ; time.Sleep(evictionInterval) {
		waited := time.Since(began)
		if waited >= evictAfter && a.budget.evictStalled(a) {
			evictAfter = waited + evictionTimeout
		}
		if a.Take(n) {
			return true
		}
		if waited >= max(wait, evictAfter) {
			return false
		}
	}
}

// couldHold reports whether the budget has n bytes if nothing else holds any.
func (a *Account) couldHold(n int64) bool {
	return a == nil || a.budget == nil || n <= max(FreeBytes, a.budget.limit)
}

// progressed records that n bytes of the message have arrived.
func (a *Account) progressed(n int) {
	if a == nil || a.evict == nil {
		return
	}
	if a.received += n; a.received >= progressBytes {
		a.received = 0
		a.recordProgress()
	}
}

func (a *Account) recordProgress() {
	now := time.Now()
	a.progressAt.Store(&now)
}

// arrive records that the message is whole and no longer evictable, and reports whether it was
// not evicted before.
func (a *Account) arrive() bool {
	if a == nil || a.evict == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.evictable, a)
	a.evict = nil
	return !a.evicted.Load()
}

// describe returns ErrEvicted if the read failed because the message was evicted, or else err.
func (a *Account) describe(err error) error {
	if a != nil && a.evicted.Load() {
		return ErrEvicted
	}
	return err
}

// give returns n of the bytes that the account holds.
func (a *Account) give(n int) {
	if a == nil || a.budget == nil {
		return
	}
	a.held.Add(-int64(n))
	a.budget.held.Add(-int64(n))
}

// Close returns all that the account holds.
func (a *Account) Close() {
	if a == nil || a.budget == nil {
		return
	}
	a.arrive()
	a.budget.held.Add(-a.held.Swap(0))
}

// Reserve returns p with room for at least one more byte, and whether the budget had the
// memory. It allocates for what has arrived, up to twice as much, and not above the limit
// unless p has reached it.
func (a *Account) Reserve(p []byte, limit int) ([]byte, bool) {
	if len(p) < cap(p) {
		return p, true
	}
	size := max(minBufferBytes, 2*cap(p))
	if limit > len(p) {
		size = min(size, limit)
	}
	if !a.Take(size - cap(p)) {
		return p, false
	}
	grown := make([]byte, len(p), size)
	copy(grown, p)
	return grown, true
}

// Append appends q to p, and reports whether the budget had the memory.
func (a *Account) Append(p, q []byte) ([]byte, bool) {
	for len(q) > 0 {
		var ok bool
		if p, ok = a.Reserve(p, 0); !ok {
			return p, false
		}
		n := min(cap(p)-len(p), len(q))
		p, q = append(p, q[:n]...), q[n:]
	}
	return p, true
}
