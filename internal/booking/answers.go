package booking

import "sync"

// answerStore bounds the bytes of the answers that records hold. The answer
// that was finished first is dropped first; its record stays.
type answerStore struct {
	max int

	mu    sync.Mutex
	bytes int
	queue []heldAnswer
}

type heldAnswer struct {
	record *Record
	bytes  int
}

// add counts an answer that the record holds and drops old ones.
func (s *answerStore) add(record *Record, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, heldAnswer{record: record, bytes: bytes})
	s.bytes += bytes
	for s.bytes > s.max {
		oldest := s.queue[0]
		s.queue[0] = heldAnswer{}
		s.queue = s.queue[1:]
		s.bytes -= oldest.bytes
		oldest.record.answer.Store(nil)
	}
}

func (s *answerStore) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
