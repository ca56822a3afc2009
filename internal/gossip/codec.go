package gossip

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
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

// maxDepth is the maximum depth of arrays and maps in a large value.
const maxDepth = 32

// skipNested skips a value with arrays and maps up to the given depth.
func skipNested(dec *msgpack.Decoder, depth int) error {
	if depth == 0 {
		return ErrMalformed.New("arrays or maps deeper than %d", maxDepth)
	}
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	n := 0
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		n, err = dec.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err = dec.DecodeMapLen()
		n *= 2
	default:
		return dec.Skip()
	}
	for ; n > 0 && err == nil; n-- {
		err = skipNested(dec, depth-1)
	}
	return err
}

// Decode decodes data written by Encode into v. The error is ErrMalformed.
func Decode(data []byte, v any) error {
	// The decoder allocates arrays by their stated length. Skipping the value first
	// finds those that state more elements than there are bytes.
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(data))
	skip := dec.Skip
	if len(data) > MaxValueBytes {
		// Skip calls itself for each level: a megabyte of them takes over 100 MB of stack.
		skip = func() error { return skipNested(dec, maxDepth) }
	}
	if err := skip(); err != nil {
		return ErrMalformed.New("%T: %v", v, err)
	}
	if err := msgpack.Unmarshal(data, v); err != nil {
		return ErrMalformed.New("%T: %v", v, err)
	}
	return nil
}
