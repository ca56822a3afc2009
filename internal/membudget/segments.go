package membudget

import (
	"errors"
	"fmt"
	"io"
)

const (
	// firstSegmentBytes is the size of the first segment of a message whose length is known,
	// and maxSegmentBytes the largest one.
	firstSegmentBytes = FreeBytes / 2
	maxSegmentBytes   = 64 << 10
)

// ErrNoMemory means that the budget has no memory for more of a message, and ErrEvicted, which
// wraps it, that another message needed the memory of this one, which had stalled.
var (
	ErrNoMemory = errors.New("the requests in flight hold all the memory for bodies")
	ErrEvicted  = fmt.Errorf("the body stalled: %w", ErrNoMemory)
)

// Segments are the bytes of a message in buffers that never move: unlike one buffer that grows
// by doubling, they leave no garbage while the message arrives.
type Segments [][]byte

// Len returns the number of bytes.
func (s Segments) Len() int {
	n := 0
	for _, segment := range s {
		n += len(segment)
	}
	return n
}

// WriteTo implements io.WriterTo. It may be called repeatedly.
func (s Segments) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, segment := range s {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// AppendTo appends the bytes to p.
func (s Segments) AppendTo(p []byte) []byte {
	for _, segment := range s {
		p = append(p, segment...)
	}
	return p
}

// ReadAll reads to the end of r into memory of the account. It expects the given number of
// bytes, or any if that is negative. The error is ErrNoMemory, at once if the budget could
// never hold what is expected, ErrEvicted, or that of r.
func (a *Account) ReadAll(r io.Reader, expected int64) (Segments, error) {
	if expected >= 0 && !a.couldHold(expected) {
		return nil, ErrNoMemory
	}
	size := minBufferBytes
	if expected >= 0 {
		size = firstSegmentBytes
	}
	var s Segments
	for total := int64(0); ; size = min(2*size, maxSegmentBytes) {
		// One byte more than expected lets the last read see the end.
		if rest := expected + 1 - total; rest > 0 {
			size = int(min(rest, int64(size)))
		}
		if !a.TakeOrEvict(size) {
			return nil, ErrNoMemory
		}
		segment := make([]byte, 0, size)
		s = append(s, segment)
		for len(segment) < cap(segment) {
			n, err := r.Read(segment[len(segment):cap(segment)])
			segment = segment[:len(segment)+n]
			s[len(s)-1] = segment
			total += int64(n)
			a.progressed(n)
			if errors.Is(err, io.EOF) {
				if !a.arrive() {
					return nil, ErrEvicted // the connection can't be read any more
				}
				return s, nil
			}
			if err != nil {
				return nil, a.describe(err)
			}
		}
	}
}

// Join returns the bytes of s, which the account holds, in one buffer that it holds instead.
// The error is ErrNoMemory.
func (a *Account) Join(s Segments) ([]byte, error) {
	if len(s) == 1 {
		return s[0], nil
	}
	n := s.Len()
	if !a.TakeOrEvict(n) {
		return nil, ErrNoMemory
	}
	joined := s.AppendTo(make([]byte, 0, n))
	for _, segment := range s {
		a.give(cap(segment))
	}
	return joined, nil
}
