package relay

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/joomcode/errorx"
)

// headerFrames is set in the response to a hop whose body consists of frames. They show
// whether a part is missing, also one of whole events: a body in chunks doesn't, if what was
// lost with a connection's buffers is followed by what was written later.
const headerFrames = "Chestnut-Frames"

// frameHeaderBytes is the size of a frame's header: the offset of its first byte in the body,
// modulo 2^32, and its length, both as 32-bit big-endian numbers. A frame without bytes ends
// the body.
const frameHeaderBytes = 8

// frameHeader returns the header of a frame.
func frameHeader(offset, length uint32) [frameHeaderBytes]byte {
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:4], offset)
	binary.BigEndian.PutUint32(header[4:], length)
	return header
}

// frameReader reads a body that consists of frames.
type frameReader struct {
	io.ReadCloser
	header [frameHeaderBytes]byte
	// headerLen is the number of bytes of the next frame's header that were read.
	headerLen int
	// offset is the number of bytes of the body that were read, and left the number of those
	// that belong to the current frame.
	offset, left uint32
	ended        bool
}

// Read implements io.Reader. The error is io.EOF only if the body is complete, and reports a
// part that is missing as soon as the next frame arrives.
func (f *frameReader) Read(p []byte) (int, error) {
	for {
		n, err := f.ReadCloser.Read(p)
		n, gap := f.unframe(p[:n])
		switch {
		case gap != nil:
			return n, gap
		case errors.Is(err, io.EOF) && !f.ended:
			return n, io.ErrUnexpectedEOF
		case n > 0 || err != nil || len(p) == 0:
			return n, err
		}
	}
}

// unframe moves the contents of the frames to the start of p and returns their length. If the
// next frame doesn't follow the bytes before, it returns an error.
func (f *frameReader) unframe(p []byte) (int, error) {
	out := p[:0]
	for len(p) > 0 {
		if f.left > 0 {
			n := min(len(p), int(f.left))
			out = append(out, p[:n]...)
			p = p[n:]
			f.left -= uint32(n)
			f.offset += uint32(n)
			continue
		}
		if f.ended {
			return len(out), errorx.IllegalFormat.New("%d bytes after the last frame", len(p))
		}
		n := copy(f.header[f.headerLen:], p)
		f.headerLen += n
		p = p[n:]
		if f.headerLen < frameHeaderBytes {
			break
		}
		f.headerLen = 0
		if at := binary.BigEndian.Uint32(f.header[:4]); at != f.offset {
			return len(out), errorx.IllegalFormat.New("a frame at byte %d follows byte %d", at, f.offset)
		}
		f.left = binary.BigEndian.Uint32(f.header[4:])
		f.ended = f.left == 0
	}
	return len(out), nil
}
