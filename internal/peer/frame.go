// Package peer is the control protocol between gateways: jsonrpc2 over TCP,
// with mutual TLS where keys are set.
//
// A connection starts with the call "hello", which names the caller's process.
// Every message bears the sender's configuration revision. Bodies are msgpack
// inside the JSON-RPC message; frames have a length in front and are bounded.
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
	// ErrFrame says that a frame is too large, truncated or not JSON.
	ErrFrame = Errors.NewType("frame")
	// ErrMessage says that a message's body is malformed or unexpected.
	ErrMessage = Errors.NewType("message")
	// ErrVersion says that the peer speaks another version of the protocol.
	ErrVersion = Errors.NewType("version")
	// ErrUnreachable says that no connection to the peer could be made or kept.
	ErrUnreachable = Errors.NewType("unreachable", errorx.Temporary())
)

// MaxFrameBytes bounds a frame: a value of the configuration service, which
// has at most a megabyte, in base64 and with its envelope.
const MaxFrameBytes = 1<<20*4/3 + 16<<10

// frameCodec writes each JSON-RPC object after its length as a varint.
type frameCodec struct{}

var _ jsonrpc2.ObjectCodec = frameCodec{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return ErrFrame.Wrap(err, "encode")
	}
	if len(data) > MaxFrameBytes {
		return ErrFrame.New("frame of %d bytes is over %d", len(data), MaxFrameBytes)
	}
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. Memory grows with the bytes that
// arrive, not with the length that the peer claims.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	if _, err := r.Peek(1); err != nil {
		return err // the connection ended between two frames
	}
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return ErrFrame.New("length of a frame: %v", err)
	}
	if size == 0 || size > MaxFrameBytes {
		return ErrFrame.New("frame of %d bytes is not within 1 and %d", size, MaxFrameBytes)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return ErrFrame.New("frame cut after %d of %d bytes: %v", len(data), size, err)
	}
	if uint64(len(data)) < size {
		return ErrFrame.New("frame cut after %d of %d bytes", len(data), size)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return ErrFrame.New("frame of %d bytes: %v", size, err)
	}
	return nil
}
