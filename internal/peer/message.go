package peer

import (
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// ProtocolVersion is the version of the messages.
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

// Hello starts a connection; the answer is the other side's Hello.
type Hello struct {
	Version       int
	VM            string
	Incarnation   string
	Region        string
	FailureDomain string
	// Revision is the sender's configuration revision.
	Revision uint64
}

// Ping checks that the other side still answers; the answer is a Ping.
type Ping struct {
	Revision uint64
}

// Confirmation answers the question how fresh the configuration in force is.
type Confirmation struct {
	Revision uint64
	// Confirmed says whether Age is known.
	Confirmed bool
	// Age is the time since the revision was last known to be the newest.
	Age time.Duration
}

// Gossip carries changes of records.
type Gossip struct {
	Revision uint64
	Delta    gossip.Delta
	// Complete says that the receiver now has all that the sender has.
	Complete bool
}

// ValueRequest asks for the manifest or for a part of the configuration.
type ValueRequest struct {
	Revision uint64
	Digest   string
}

// ValueAnswer holds a value of the configuration service.
type ValueAnswer struct {
	Revision uint64
	Found    bool
	// Name and ValueRevision are set for the manifest.
	Name          string
	ValueRevision uint64
	Data          []byte
}

// body is the JSON form of a message: an array with one base64 string, since
// JSON-RPC wants structured parameters.
type body [1][]byte

func encode(message any) (body, error) {
	data, err := gossip.Encode(message)
	if err != nil {
		return body{}, ErrMessage.Wrap(err, "encode %T", message)
	}
	return body{data}, nil
}

func decode(raw *json.RawMessage, message any) error {
	if raw == nil {
		return ErrMessage.New("%T without a body", message)
	}
	var b body
	if err := json.Unmarshal(*raw, &b); err != nil {
		return ErrMessage.New("body of %T: %v", message, err)
	}
	return unpack(b, message)
}

func unpack(b body, message any) error {
	if err := gossip.Decode(b[0], message); err != nil {
		return ErrMessage.New("body: %v", err)
	}
	return nil
}

// The codes of JSON-RPC errors.
func rpcError(code int64, err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: code, Message: err.Error()}
}
