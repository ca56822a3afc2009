package booking

import "sync"

// answerCache bounds the total size of the cached answers. It evicts answers
// in the order in which they were added. The record of an evicted answer stays.
type answerCache struct {
	maxBytes int

	mu    sync.Mutex
	bytes int
	queue []cachedAnswer
}

type cachedAnswer struct {
	record *Record
	bytes  int
}

// add accounts for the answer cached in the record and evicts the oldest
// answers while the total exceeds maxBytes.
func (s *answerCache) add(record *Record, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, cachedAnswer{record: record, bytes: bytes})
	s.bytes += bytes
	for s.bytes > s.maxBytes {
		oldest := s.queue[0]
		s.queue[0] = cachedAnswer{}
		s.queue = s.queue[1:]
		s.bytes -= oldest.bytes
		oldest.record.answer.Store(nil)
	}
}

func (s *answerCache) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
