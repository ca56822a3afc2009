// Package peer implements the control protocol between gateways: JSON-RPC 2.0
// over TCP, with mutual TLS if keys are configured.
//
// A connection starts with the call "hello", which identifies the process that
// opened it. Every message has the sender's configuration revision. Message
// bodies are msgpack inside the JSON-RPC message; records may have frames without
// JSON. Each frame is prefixed with its length, which is at most MaxFrameBytes.
package peer

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("peer").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrFrame reports a frame that is too large, truncated or not JSON.
	ErrFrame = Errors.NewType("frame")
	// ErrMessage reports a message that is malformed or unexpected.
	ErrMessage = Errors.NewType("message")
	// ErrVersion reports a peer with another version of the protocol.
	ErrVersion = Errors.NewType("version")
	// ErrUnreachable reports a connection that could not be opened or has failed.
	ErrUnreachable = Errors.NewType("unreachable", errorx.Temporary())
)

// MaxFrameBytes is the maximum size of a frame. It fits the largest value of the
// configuration service, 1 MiB, in base64 and 16 KiB for the rest of the message.
const MaxFrameBytes = 1<<20*4/3 + 16<<10

// stream carries JSON-RPC objects in frames: each is its length, an unsigned varint,
// followed by its JSON, or by rawGossip and the body of a notification with records. In a large fleet almost all messages are notifications with
// records, so these are encoded and decoded without encoding/json, which would scan the
// base64 text several times.
type stream struct {
	conn   io.Closer
	reader *bufio.Reader
	// onGossip receives the body of each notification with records, in the order of the
	// frames. An error ends the connection. Nil means that the connection takes none.
	onGossip func(body []byte) error
	frame    []byte // buffer of ReadObject
	body     []byte
	// memory bounds what large frames hold, and account is what the last one does.
	memory  *membudget.Budget
	account *membudget.Account

	mu     sync.Mutex // guards writer
	writer *bufio.Writer
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn io.ReadWriteCloser, onGossip func(body []byte) error) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), onGossip: onGossip}
}

// gossipStart and gossipEnd enclose the base64 text in the JSON of a notification with
// records, as package jsonrpc2 encodes it.
const (
	gossipStart = `{"jsonrpc":"2.0","method":"` + methodGossip + `","params":["`
	gossipEnd   = `"]}`
)

// rawGossip is the first byte of a frame with records whose body isn't in base64. No JSON
// begins with it.
const rawGossip = 0

// maxKeptBuffer is the maximum size in bytes of a buffer that is kept for the next frame: the
// first frames of a connection hold the whole state, later ones only what has changed.
const maxKeptBuffer = 16 << 10

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return ErrFrame.Wrap(err, "encode")
	}
	return s.writeFrame(data)
}

// writeGossip writes a notification with records. A raw one takes a quarter fewer bytes, but
// earlier builds don't read it.
func (s *stream) writeGossip(body []byte, raw bool) error {
	if raw {
		return s.writeFrame(append([]byte{rawGossip}, body...))
	}
	data := make([]byte, 0, len(gossipStart)+base64.StdEncoding.EncodedLen(len(body))+len(gossipEnd))
	data = append(data, gossipStart...)
	data = base64.StdEncoding.AppendEncode(data, body)
	return s.writeFrame(append(data, gossipEnd...))
}

func (s *stream) writeFrame(data []byte) error {
	if len(data) > MaxFrameBytes {
		return ErrFrame.New("frame of %d bytes exceeds the limit of %d", len(data), MaxFrameBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.writer.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	if _, err := s.writer.Write(data); err != nil {
		return err
	}
	return s.writer.Flush()
}

// ReadObject implements jsonrpc2.ObjectStream. Notifications with records that come
// before the object go to onGossip.
func (s *stream) ReadObject(v any) error {
	defer s.releaseBuffers()
	for {
		data, err := s.readFrame()
		if err != nil {
			return err
		}
		if data[0] == rawGossip && s.onGossip != nil {
			if err := s.onGossip(data[1:]); err != nil {
				return err
			}
			s.releaseBuffers()
			continue
		}
		text, found := gossipText(data)
		if !found || s.onGossip == nil {
			if err := json.Unmarshal(data, v); err != nil {
				return ErrFrame.New("frame of %d bytes: %v", len(data), err)
			}
			return nil
		}
		if len(data) > maxKeptBuffer && !s.account.TakeOrEvict(base64.StdEncoding.DecodedLen(len(text))) {
			return ErrFrame.Wrap(membudget.ErrNoMemory, "frame of %d bytes", len(data))
		}
		if s.body, err = base64.StdEncoding.AppendDecode(s.body[:0], text); err != nil {
			return ErrFrame.New("frame of %d bytes: %v", len(data), err)
		}
		if err := s.onGossip(s.body); err != nil {
			return err
		}
		s.releaseBuffers()
	}
}

// releaseBuffers drops buffers that are larger than most frames need, before the next frame,
// which may be long in coming.
func (s *stream) releaseBuffers() {
	s.account.Close()
	s.account = nil
	if cap(s.frame) > maxKeptBuffer {
		s.frame = nil
	}
	if cap(s.body) > maxKeptBuffer {
		s.body = nil
	}
}

// gossipText returns the base64 text of a notification with records, and whether the frame
// is one. One in another form, such as with white space, is left to package jsonrpc2.
func gossipText(frame []byte) ([]byte, bool) {
	text, found := bytes.CutPrefix(frame, []byte(gossipStart))
	if !found {
		return nil, false
	}
	return bytes.CutSuffix(text, []byte(gossipEnd))
}

// readFrame returns the next frame, which is valid until the next call. It allocates
// memory for the bytes received, not for the length that the peer claims.
func (s *stream) readFrame() ([]byte, error) {
	if _, err := s.reader.Peek(1); err != nil {
		return nil, err // The connection ended between two frames.
	}
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, ErrFrame.New("frame length: %v", err)
	}
	if size == 0 || size > MaxFrameBytes {
		return nil, ErrFrame.New("frame length %d is not between 1 and %d", size, MaxFrameBytes)
	}
	s.releaseBuffers()
	if size > maxKeptBuffer {
		return s.readLargeFrame(int64(size))
	}
	buffer := bytes.NewBuffer(s.frame[:0])
	n, err := buffer.ReadFrom(io.LimitReader(s.reader, int64(size)))
	s.frame = buffer.Bytes()
	if err != nil {
		return nil, ErrFrame.New("frame truncated after %d of %d bytes: %v", n, size, err)
	}
	if uint64(n) < size {
		return nil, ErrFrame.New("frame truncated after %d of %d bytes", n, size)
	}
	return s.frame, nil
}

// readLargeFrame returns a frame of the given size, which the budget holds until the next one.
func (s *stream) readLargeFrame(size int64) ([]byte, error) {
	s.account = s.memory.Evictable(func() { _ = s.conn.Close() })
	s.account.Wait = memoryTimeout
	segments, err := s.account.ReadAll(io.LimitReader(s.reader, size), size)
	if err != nil {
		return nil, ErrFrame.Wrap(err, "frame of %d bytes not read", size)
	}
	if n := segments.Len(); int64(n) < size {
		return nil, ErrFrame.New("frame truncated after %d of %d bytes", n, size)
	}
	if s.frame, err = s.account.Join(segments); err != nil {
		return nil, ErrFrame.Wrap(err, "frame of %d bytes", size)
	}
	return s.frame, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
