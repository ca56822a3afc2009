package upstream

import (
	"bytes"
	"errors"
	"io"
)

const (
	// DefaultMaxHeadBytes bounds the status line and header of a response. Each request in
	// flight may hold as much.
	DefaultMaxHeadBytes = 16 << 10
	// bytesPerHeadLine is the part of the bound of a header, in bytes, for which it may have
	// one line. A parsed field of a few bytes takes over a hundred.
	bytesPerHeadLine = 64
)

// errHeadTooLarge means that a response's header has more bytes or lines than allowed.
var errHeadTooLarge = errors.New("response header above the limit")

// headReader reads from a connection, bounds the bytes and lines of response headers and
// checks whether they are valid.
type headReader struct {
	r     io.Reader
	check headCheck
	// bounded is set while a header is read.
	bounded bool
	// bytes and lines are what may still be read of it.
	bytes, lines int
}

// begin starts the bounds of a header.
func (h *headReader) begin(maxBytes int) {
	h.bounded, h.bytes, h.lines = true, maxBytes, maxBytes/bytesPerHeadLine
}

// beginCheck starts the check of a header, of which the given bytes were read before.
func (h *headReader) beginCheck(read []byte) error {
	h.check = headCheck{}
	return h.check.write(read)
}

// end lifts the bounds.
func (h *headReader) end() { h.bounded = false }

// Read implements io.Reader. The error is errHeadTooLarge or errInvalidHead, or that of the
// connection. What follows a header in the same read counts as well, but
// fails no read: none follows within that header.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.bounded {
		return h.r.Read(p)
	}
	if h.check.invalid != nil {
		return 0, h.check.invalid
	}
	if h.bytes <= 0 || h.lines <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.bytes)])
	h.bytes -= n
	h.lines -= bytes.Count(p[:n], []byte("\n"))
	if invalid := h.check.write(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
