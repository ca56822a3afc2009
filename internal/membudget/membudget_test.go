package membudget

import (
	"bytes"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAccountsShareTheBudget(t *testing.T) {
	is := is.New(t)
	b := New(3 * FreeBytes)
	large, other := b.Account(), b.Account()
	is.True(large.Take(3 * FreeBytes))
	is.True(!large.Take(1))
	is.True(other.Take(FreeBytes)) // always
	is.True(!other.Take(1))
	large.Close()
	is.True(other.Take(2 * FreeBytes))
	other.Close()
	other.Close()
	is.Equal(b.Held(), int64(0))
}

func TestNoBudgetBoundsNothing(t *testing.T) {
	is := is.New(t)
	a := New(0).Account()
	is.True(a.Take(1 << 40))
	a.Close()
	var none *Account
	is.True(none.Take(1 << 40))
	none.Close()
	is.Equal(New(0).Held(), int64(0))
}

// The bytes appended are the bytes that were given, and what is held is never above the
// budget and what each account may hold regardless of it.
func TestAppendKeepsBytesWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 4*FreeBytes).Draw(t, "limit")
		b := New(limit)
		accounts, buffers, want := []*Account{b.Account(), b.Account(), b.Account()}, make([][]byte, 3), make([][]byte, 3)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "account")
			piece := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "piece")
			grown, ok := accounts[n].Append(buffers[n], piece)
			if ok {
				buffers[n], want[n] = grown, append(want[n], piece...)
			} else {
				buffers[n], want[n] = nil, nil
				accounts[n].Close()
			}
			if !bytes.Equal(buffers[n], want[n]) {
				t.Fatal("other bytes")
			}
			if b.Held() > limit+int64(len(accounts))*FreeBytes {
				t.Fatalf("%d bytes of %d are held", b.Held(), limit)
			}
		}
		for n, a := range accounts {
			if b.Held() < int64(cap(buffers[n])) {
				t.Fatal("a buffer is not counted")
			}
			a.Close()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes stay held", b.Held())
		}
	})
}

func TestReserveStopsAtTheLimit(t *testing.T) {
	is := is.New(t)
	b := New(1 << 20)
	a := b.Account()
	p, ok := a.Reserve(nil, 100)
	is.True(ok)
	is.Equal(cap(p), 100)
	is.Equal(b.Held(), int64(100))
}

func TestConcurrentAccounts(t *testing.T) {
	b := New(FreeBytes)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 1000 {
				a := b.Account()
				a.Take(100)
				a.Take(2 * FreeBytes)
				a.Close()
			}
		})
	}
	all.Wait()
	if b.Held() != 0 {
		t.Errorf("%d bytes stay held", b.Held())
	}
}
