package logging

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestInfoLinesDoNotDisplaceWarnings(t *testing.T) {
	is := is.New(t)
	var out safeBuffer
	log, sink := NewBounded(&out, slog.LevelInfo)
	for range 5000 {
		log.Info("served")
	}
	log.Warn("failed", "request", "r1")
	sink.Close(time.Second)
	is.True(strings.Contains(out.String(), "msg=failed request=r1"))
	is.True(strings.Count(out.String(), "msg=served") <= infoPerSecond*(burstSeconds+1))
	is.True(strings.Contains(out.String(), "log lines dropped"))
}

// blockedWriter blocks each write until the channel is closed.
type blockedWriter struct{ until chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.until
	return len(p), nil
}

func TestBlockedWriterDropsLinesWithoutBlockingCaller(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{make(chan struct{})}
	log, sink := NewBounded(w, slog.LevelInfo)
	started := time.Now()
	for range 20 * maxQueuedLines {
		log.Warn("failed")
	}
	is.True(time.Since(started) < 2*time.Second)
	is.True(sink.Dropped() > 0)
	close(w.until)
	sink.Close(time.Second)
}

func TestAttributesAreKept(t *testing.T) {
	is := is.New(t)
	var out safeBuffer
	log, sink := NewBounded(&out, slog.LevelInfo)
	log.With("vm", "a").Info("x", "error", io.EOF)
	log.Debug("hidden")
	sink.Close(time.Second)
	is.True(strings.Contains(out.String(), "msg=x vm=a error=EOF"))
	is.True(!strings.Contains(out.String(), "hidden"))
}

// Guards against issue 35: a process whose standard output isn't read didn't end, as
// Close waited for a timeout that had already passed.
func TestCloseEndsAlthoughTheWriterIsStuckAndTheQueueFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		log, sink := NewBounded(writerFunc(func(p []byte) (int, error) {
			<-release
			return len(p), nil
		}), slog.LevelInfo)
		for range maxQueuedLines + 2 {
			log.Info("a line")
			log.Warn("a line")
			time.Sleep(time.Second / infoPerSecond)
		}
		is.True(sink.Dropped() > 0) // the queue is full
		closed := make(chan struct{})
		go func() {
			sink.Close(time.Second)
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(time.Minute):
			t.Error("Close did not return")
		}
		close(release)
		synctest.Wait()
	})
}

// writerFunc is a function that writes.
type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
