package membudget

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// What is read are the bytes that were sent, in memory that is held and leaves little unused.
func TestReadAllKeepsBytesWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 300_000).Draw(t, "sent")
		expected := int64(-1)
		if rapid.Bool().Draw(t, "known") {
			expected = int64(len(sent))
		}
		var r io.Reader = bytes.NewReader(sent)
		if rapid.Bool().Draw(t, "short reads") {
			r = iotest.HalfReader(r)
		}
		b := New(1 << 20)
		a := b.Account()
		s, err := a.ReadAll(r, expected)
		if err != nil || s.Len() != len(sent) || !bytes.Equal(s.AppendTo(nil), sent) {
			t.Fatalf("%d of %d bytes, %v", s.Len(), len(sent), err)
		}
		if unused := b.Held() - int64(len(sent)); unused < 0 || unused > max(minBufferBytes, int64(len(sent))+1) || unused > maxSegmentBytes+1 {
			t.Fatalf("%d bytes are held for %d", b.Held(), len(sent))
		}
		joined, err := a.Join(s)
		if err != nil || !bytes.Equal(joined, sent) {
			t.Fatal("other bytes after Join", err)
		}
		a.Close()
		if b.Held() != 0 {
			t.Fatalf("%d bytes stay held", b.Held())
		}
	})
}

func TestMessageThatCanNeverFitIsRefusedBeforeItIsRead(t *testing.T) {
	is := is.New(t)
	_, err := New(1<<20).Account().ReadAll(iotest.ErrReader(errors.New("was read")), 2<<20)
	is.True(errors.Is(err, ErrNoMemory))
}

// stall is a message of which the given bytes arrive, and no more until it is evicted.
func stall(b *Budget, arrived int) (read chan error) {
	near, far := net.Pipe()
	a := b.Evictable(func() { _ = near.SetReadDeadline(time.Unix(1, 0)) })
	read = make(chan error, 1)
	go func() {
		_, err := a.ReadAll(near, -1)
		a.Close()
		read <- err
	}()
	go func() { _, _ = far.Write(make([]byte, arrived)) }()
	return read
}

// Guards against messages that are held short of their end and keep all the memory from others.
func TestStalledMessageIsEvictedForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(256 << 10)
		first := stall(b, 100<<10)
		time.Sleep(time.Millisecond)
		second := stall(b, 100<<10)
		time.Sleep(time.Millisecond)
		other := b.Account()
		is.True(!other.TakeOrEvict(200 << 10)) // neither has stalled yet
		time.Sleep(stallTime)
		is.True(other.TakeOrEvict(100 << 10))
		is.True(errors.Is(<-first, ErrEvicted))
		is.Equal(b.TakeEvictions(), int64(1))
		is.Equal(len(second), 0)
		other.Close()
		is.True(b.evictStalled(nil))
		is.True(!errors.Is(<-second, os.ErrDeadlineExceeded))
		is.Equal(b.Held(), int64(0))
	})
}

func TestMessageThatMakesProgressIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(64 << 10)
		a := b.Evictable(func() { t.Error("evicted") })
		is.True(a.Take(64 << 10))
		for range 10 {
			time.Sleep(stallTime * 3 / 4)
			a.progressed(progressBytes)
			is.True(!b.Account().TakeOrEvict(FreeBytes + 1))
		}
		is.True(a.arrive())
		time.Sleep(2 * stallTime)
		is.True(!b.Account().TakeOrEvict(FreeBytes + 1)) // it is whole
		a.Close()
	})
}

// Guards against requests that run although their connection was made unreadable, which looks
// as if their callers had left.
func TestMessageThatArrivesWhileItIsEvictedIsRefused(t *testing.T) {
	is := is.New(t)
	b := New(64 << 10)
	a := b.Evictable(func() {})
	end := readerFunc(func([]byte) (int, error) {
		a.evicted.Store(true)
		return 0, io.EOF
	})
	_, err := a.ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 100)), end), -1)
	is.True(errors.Is(err, ErrEvicted))
}

// readerFunc is a reader made of a function.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func TestSpareMemoryHasNoFreeBytes(t *testing.T) {
	is := is.New(t)
	b := New(1000)
	a := b.Account()
	is.True(a.TakeSpare(1000))
	is.True(!a.TakeSpare(1))
	a.give(100)
	is.Equal(b.Held(), int64(900))
	a.Close()
	is.Equal(b.Held(), int64(0))
}
