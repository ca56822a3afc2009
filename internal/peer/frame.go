// Package peer implements the control protocol between gateways: JSON-RPC 2.0
// over TCP, with mutual TLS if keys are configured.
//
// A connection starts with the call "hello", which identifies the process that
// opened it. Every message has the sender's configuration revision. Message
// bodies are msgpack inside the JSON-RPC message. Each frame is prefixed with
// its length, which is at most MaxFrameBytes.
package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"
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

// frameCodec encodes each JSON-RPC object as its length, an unsigned varint,
// followed by its JSON.
type frameCodec struct{}

var _ jsonrpc2.ObjectCodec = frameCodec{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return ErrFrame.Wrap(err, "encode")
	}
	if len(data) > MaxFrameBytes {
		return ErrFrame.New("frame of %d bytes exceeds the limit of %d", len(data), MaxFrameBytes)
	}
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. It allocates memory for the bytes
// received, not for the length that the peer claims.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	if _, err := r.Peek(1); err != nil {
		return err // The connection ended between two frames.
	}
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return ErrFrame.New("frame length: %v", err)
	}
	if size == 0 || size > MaxFrameBytes {
		return ErrFrame.New("frame length %d is not between 1 and %d", size, MaxFrameBytes)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return ErrFrame.New("frame truncated after %d of %d bytes: %v", len(data), size, err)
	}
	if uint64(len(data)) < size {
		return ErrFrame.New("frame truncated after %d of %d bytes", len(data), size)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return ErrFrame.New("frame of %d bytes: %v", size, err)
	}
	return nil
}
