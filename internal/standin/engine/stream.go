package engine

import (
	"context"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// stream is one answer in the making. The engine's lock guards its fields
// below the mark.
type stream struct {
	id           string
	prompt       string
	prefix       uint64
	promptTokens int
	prefixTokens int
	totalTokens       int
	priority     int

	// Guarded by the engine's lock.
	prefillLeft   float64 // prompt tokens that are left to read
	tokenFraction    float64 // part of the next token that is done
	produced  int
	notifiedTokens int
	finished  bool
	cancelled bool
	readers   int
	lastDetached      time.Time // when the last reader left
	changed   chan struct{}
}

// notify wakes the readers. The engine's lock is held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// token returns token i of the answer.
func (s *stream) token(i int) string { return standin.Token(s.prompt, i) }

// progress is how far a stream has come.
type progress struct {
	produced  int
	finished  bool
	cancelled bool
}

// waitProgress waits until the stream has more than after tokens or has ended.
func (e *Engine) waitProgress(ctx context.Context, s *stream, after int) (progress, error) {
	for {
		e.mu.Lock()
		p := progress{s.produced, s.finished, s.cancelled}
		changed := s.changed
		e.mu.Unlock()
		if p.produced > after || p.cancelled || p.produced == s.totalTokens {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// attach counts a reader in.
func (e *Engine) attach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
}

// detach counts a reader out. The stream lives on for a while.
func (e *Engine) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.lastDetached = time.Now()
}

// streamByID returns the stream of a request, or nil.
func (e *Engine) streamByID(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// cancelByID cancels and forgets the stream of a request.
func (e *Engine) cancelByID(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return false
	}
	e.cancel(s)
	delete(e.streams, id)
	return true
}
