package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/revision"
)

// silentRegistry doesn't answer the watches of a follower, as if they were cut off, but
// answers a read of unseen changes after a delay, unless it fails.
type silentRegistry struct {
	changes []Change
	reads   atomic.Int32
	failing atomic.Bool
	after   atomic.Uint64
}

const silentDelay = 100 * time.Millisecond

func (s *silentRegistry) List(context.Context, Topic, time.Duration) ([]Change, revision.Revision, error) {
	return []Change{server("a", 3)}, 7, nil
}

func (s *silentRegistry) Watch(ctx context.Context, _ Topic, after revision.Revision, wait time.Duration) ([]Change, revision.Revision, error) {
	if wait > unseenWait {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	s.reads.Add(1)
	s.after.Store(uint64(after))
	time.Sleep(silentDelay)
	if s.failing.Load() {
		return nil, 0, ErrUnavailable.New("down")
	}
	return s.changes, after + 1, nil
}

func (s *silentRegistry) Decode([]byte) (*ingress.Table, error) {
	return nil, ErrUnavailable.New("none")
}

// Guards against the first report of issue 38 (ORDER), where a VM's watch is cut off: it
// can ask for what it missed, and many requests that ask at once share few reads.
func TestUnseenServersAreReadOnceForManyCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := &silentRegistry{changes: []Change{server("b", 8)}}
		follower := newFollower(&fakeRegistry{})
		follower.Registry = registry
		_, err := follower.UnseenServers(t.Context())
		is.True(err != nil) // nothing has been listed yet
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = follower.Run(ctx, Servers) }()
		synctest.Wait()

		var wg sync.WaitGroup
		for n := range 20 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * silentDelay / 20)
				changes, err := follower.UnseenServers(ctx)
				is.NoErr(err)
				is.Equal(changes[0].Server.ID, "b")
			})
		}
		wg.Wait()
		// Those that come during a read are served by the next one.
		is.Equal(registry.reads.Load(), int32(2))
		is.Equal(registry.after.Load(), uint64(7))

		registry.failing.Store(true)
		_, err = follower.UnseenServers(ctx)
		is.True(err != nil)
		cancel()
		<-done
	})
}
