package engine

import (
	"sort"
	"time"
)

// runBatch steps the batch at each tick while there is work, until Close.
func (e *Engine) runBatch() {
	defer close(e.done)
	ticker := time.NewTicker(e.config.Tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		now := time.Now()
		if !e.step(now, now.Sub(last)) {
			select {
			case <-e.wake:
				last = time.Now()
				continue
			case <-e.stop:
				return
			}
		}
		last = now
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}

// step simulates the elapsed time. It reports whether any streams are left.
func (e *Engine) step(now time.Time, elapsed time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.batch)
	share := float64(n) / float64(e.config.Concurrency)
	e.counts.BusySeconds += elapsed.Seconds() * share
	rate := e.streamRate(n)
	prefillRate := e.config.PrefillTokensPerSecond / max(1, e.faults.Slowdown)
	for _, s := range e.batch {
		e.advance(s, elapsed.Seconds(), rate, prefillRate)
	}
	e.removeEnded(now)
	e.fillBatch()
	e.recordLoad(now)
	return len(e.batch)+len(e.queue)+len(e.streams) > 0
}

// advance simulates prefill and decoding of a stream for a time in seconds. The
// rates are in tokens per second. The lock is held.
func (e *Engine) advance(s *stream, seconds, rate, prefillRate float64) {
	if s.prefillLeft > 0 {
		used := min(seconds, s.prefillLeft/prefillRate)
		s.prefillLeft -= used * prefillRate
		seconds -= used
		if s.prefillLeft > 1e-9 {
			return
		}
		s.prefillLeft = 0
	}
	s.tokenFraction += seconds * rate
	for s.tokenFraction >= 1 && s.produced < s.totalTokens {
		s.tokenFraction--
		s.produced++
		e.counts.Tokens++
	}
	if s.produced != s.notifiedTokens {
		s.notifiedTokens = s.produced
		s.notify()
	}
}

// removeEnded removes finished and cancelled streams from the batch, and ends
// streams that have had no reader for the time Linger. The lock is held.
func (e *Engine) removeEnded(now time.Time) {
	kept := e.batch[:0]
	for _, s := range e.batch {
		switch {
		case s.cancelled:
		case s.produced == s.totalTokens:
			s.finished = true
			e.counts.Finished++
		default:
			kept = append(kept, s)
		}
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	for id, s := range e.streams {
		if s.readers > 0 || now.Sub(s.lastDetached) < e.config.Linger {
			continue
		}
		e.cancel(s)
		delete(e.streams, id)
	}
}

// cancel cancels a stream that has not finished. The lock is held.
func (e *Engine) cancel(s *stream) {
	if s.finished || s.cancelled {
		return
	}
	s.cancelled = true
	e.counts.Cancelled++
	for i, q := range e.queue {
		if q == s {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	s.notify()
}

// fillBatch moves queued streams to the batch. The lock is held.
func (e *Engine) fillBatch() {
	for len(e.queue) > 0 && len(e.batch) < e.config.Concurrency {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.batch = append(e.batch, s)
		e.counts.Started++
		e.executions[s.id]++
		s.prefillLeft = float64(s.promptTokens)
		if e.cache.lookupOrStore(s.prefix, s.prefixTokens, &e.events) {
			s.prefillLeft -= float64(s.prefixTokens)
			e.counts.CacheHits++
		} else {
			e.counts.CacheMisses++
		}
	}
}

// enqueue adds a stream to the queue. It returns false if the engine refuses the
// request: the queue is full, the engine is on standby or a fault is set.
func (e *Engine) enqueue(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= e.config.MaxQueue || e.faults.Refuse || e.role != "serve" {
		e.counts.Refused++
		return false
	}
	if old := e.streams[s.id]; old != nil {
		e.cancel(old)
	}
	e.streams[s.id] = s
	at := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].priority > s.priority })
	e.queue = append(e.queue, nil)
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = s
	e.fillBatch()
	e.recordLoad(time.Now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}
