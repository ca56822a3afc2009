package peer

import (
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// ProtocolVersion is the version of the protocol. Both sides must have the same.
const ProtocolVersion = 1

// The methods of the protocol.
const (
	methodHello    = "hello"
	methodGossip   = "g"
	methodManifest = "manifest"
	methodPart     = "part"
	methodPing     = "p"
	methodConfirm  = "c"
)

// Hello is the first call on a connection. The response is the other side's Hello.
type Hello struct {
	Version       int
	VM            string
	Incarnation   string
	Region        string
	FailureDomain string
	// Revision is the sender's configuration revision.
	Revision uint64
}

// Ping checks that the other side still responds. The response is a Ping, too.
type Ping struct {
	// Revision is the sender's configuration revision.
	Revision uint64
}

// Confirmation reports how recently the configuration in use was confirmed as the
// newest.
type Confirmation struct {
	Revision uint64
	// Confirmed reports whether Age is known.
	Confirmed bool
	// Age is the time since Revision was last confirmed as the newest.
	Age time.Duration
}

// Gossip contains changed records.
type Gossip struct {
	// Revision is the sender's configuration revision.
	Revision uint64
	Delta    gossip.Delta
	// Complete reports that the sender has no further records for the receiver.
	Complete bool
}

// ValueRequest requests the manifest or a part of the configuration.
type ValueRequest struct {
	// Revision is the sender's configuration revision.
	Revision uint64
	// Digest identifies the part. It is empty for the manifest.
	Digest string
}

// ValueAnswer is the response to a ValueRequest.
type ValueAnswer struct {
	// Revision is the sender's configuration revision.
	Revision uint64
	// Found reports whether the sender has the value.
	Found bool
	// Name and ValueRevision are set only for the manifest.
	Name          string
	ValueRevision uint64
	Data          []byte
}

// body is the msgpack encoding of a message. In JSON it is an array with one
// base64 string, because JSON-RPC requires structured parameters.
type body [1][]byte

func encode(message any) (body, error) {
	data, err := gossip.Encode(message)
	if err != nil {
		return body{}, ErrMessage.Wrap(err, "encode %T", message)
	}
	return body{data}, nil
}

func decode(raw *json.RawMessage, message any) error {
	b, err := parseBody(raw)
	if err != nil {
		return ErrMessage.New("%T: %v", message, err)
	}
	return decodeBody(b, message)
}

// parseBody returns the body of a message from its JSON.
func parseBody(raw *json.RawMessage) (b body, err error) {
	if raw == nil {
		return b, ErrMessage.New("message without a body")
	}
	if err := json.Unmarshal(*raw, &b); err != nil {
		return b, ErrMessage.New("body: %v", err)
	}
	return b, nil
}

func decodeBody(b body, message any) error {
	if err := gossip.Decode(b[0], message); err != nil {
		return ErrMessage.New("body: %v", err)
	}
	return nil
}

// rpcError returns the JSON-RPC error response for err.
func rpcError(code int64, err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: code, Message: err.Error()}
}
