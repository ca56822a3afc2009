package discovery

import (
	"context"
	"sync"
	"time"
)

// unseenWait is how long the registry waits for a change if there is none.
const unseenWait = time.Millisecond

// unseenReads coalesces reads of the changes that this VM has not seen. A read serves the
// callers that came before it began.
type unseenReads struct {
	mu sync.Mutex
	// next is the read that has not begun, or nil, and running is true during reads.
	next    *unseenRead
	running bool
}

// unseenRead is one read. Changes and err are set when done is closed.
type unseenRead struct {
	done    chan struct{}
	changes []Change
	err     error
}

// UnseenServers returns the changes of the servers which the registry had when it was
// called and that this VM's own reads have not returned yet. The error is that of
// Registry.Watch, or that of ctx.
func (f *Follower) UnseenServers(ctx context.Context) ([]Change, error) {
	f.unseen.mu.Lock()
	r := f.unseen.next
	if r == nil {
		r = &unseenRead{done: make(chan struct{})}
		f.unseen.next = r
	}
	if !f.unseen.running {
		f.unseen.running = true
		go f.readAllUnseen()
	}
	f.unseen.mu.Unlock()
	select {
	case <-r.done:
		return r.changes, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// readAllUnseen runs one read after the other until none is wanted.
func (f *Follower) readAllUnseen() {
	for {
		f.unseen.mu.Lock()
		r := f.unseen.next
		f.unseen.next, f.unseen.running = nil, r != nil
		f.unseen.mu.Unlock()
		if r == nil {
			return
		}
		f.readUnseen(r)
	}
}

func (f *Follower) readUnseen(r *unseenRead) {
	defer close(r.done)
	at := f.serversAt.Load()
	if at == nil {
		r.err = ErrUnavailable.New("the servers have not been listed yet")
		return
	}
	f.calls.Inc(1)
	r.changes, _, r.err = f.Registry.Watch(context.Background(), Servers, *at, unseenWait)
}
