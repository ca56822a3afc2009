package gossip

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the compact msgpack encoding of a value. Structs become arrays and
// numbers take their shortest form, so struct fields may only be added at the end.
// The error is ErrMalformed.
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

// Decode decodes data written by Encode into v, which it resets first. A struct may have
// more fields than the data, which are zero then, or fewer. The error is ErrMalformed.
func Decode(data []byte, v any) error {
	// The decoder allocates arrays by their stated length. Skipping the value first
	// finds those that state more elements than there are bytes.
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(data))
	if err := dec.Skip(); err != nil {
		return ErrMalformed.New("%T: %v", v, err)
	}
	// The library is faster, but refuses a struct with another number of fields.
	if msgpack.Unmarshal(data, v) == nil {
		return nil
	}
	if err := decodeAll(data, v); err != nil {
		return ErrMalformed.New("%T: %v", v, err)
	}
	return nil
}
