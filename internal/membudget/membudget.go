// Package membudget bounds the memory that the requests in flight hold together, in the
// buffers whose size peers decide.
package membudget

import "sync/atomic"

// FreeBytes is what each Account may hold regardless of the others, so that ordinary
// requests are served while large ones hold all of the budget.
const FreeBytes = 8 << 10

// minBufferBytes is the smallest size of a buffer.
const minBufferBytes = 512

// Budget is a number of bytes that is shared. It is safe for concurrent use, and nil means
// that there is no bound.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget of the given number of bytes, or nil if that isn't above zero.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
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

// Account is what one buffer or a few hold of a Budget. It isn't safe for concurrent use.
// Nil means that there is no bound.
type Account struct {
	budget *Budget
	held   int64
}

// Take takes n bytes and reports whether the budget has them.
func (a *Account) Take(n int) bool {
	if a == nil || a.budget == nil {
		return true
	}
	total := a.budget.held.Add(int64(n))
	if total > a.budget.limit && a.held+int64(n) > FreeBytes {
		a.budget.held.Add(-int64(n))
		return false
	}
	a.held += int64(n)
	return true
}

// Close returns all that the account holds.
func (a *Account) Close() {
	if a == nil || a.budget == nil {
		return
	}
	a.budget.held.Add(-a.held)
	a.held = 0
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
