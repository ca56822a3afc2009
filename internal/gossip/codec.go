package gossip

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode writes a typed message or value in its compact form: structs as
// arrays, integers as short as they fit. Fields may only be added at the end.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	if err := enc.Encode(v); err != nil {
		return nil, ErrMalformed.Wrap(err, "encode %T", v)
	}
	return buf.Bytes(), nil
}

// Decode reads what Encode wrote. The error is ErrMalformed.
func Decode(data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return ErrMalformed.New("%T: %v", v, err)
	}
	return nil
}
