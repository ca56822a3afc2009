package engine

import (
	"context"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// stream is an answer that is being generated or is complete.
type stream struct {
	id           string
	prompt       string
	prefix       uint64
	promptTokens int
	prefixTokens int
	totalTokens  int
	priority     int

	// Guarded by the engine's lock.
	prefillLeft    float64 // prompt tokens left to prefill
	tokenFraction  float64 // completed fraction of the next token
	produced       int
	notifiedTokens int
	finished       bool
	cancelled      bool
	readers        int
	lastDetached   time.Time // when the last reader detached
	changed        chan struct{}
}

// notify wakes the readers of the stream. The engine's lock is held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// token returns token i of the answer.
func (s *stream) token(i int) string { return standin.Token(s.prompt, i) }

// progress is the state of a stream at one moment.
type progress struct {
	produced  int
	finished  bool
	cancelled bool
}

// waitProgress waits until the stream has more than after tokens, is complete or
// is cancelled.
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

// attach registers a reader of the stream.
func (e *Engine) attach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
}

// detach removes a reader. A stream without readers ends after the time Linger.
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

// cancelByID cancels and removes the stream of a request. It returns false if
// there is none.
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
