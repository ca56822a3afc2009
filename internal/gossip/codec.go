package gossip

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Encode returns the compact msgpack encoding of a value. Structs become arrays and
// numbers take their shortest form. The error is ErrMalformed.
//
// VMs of several builds exchange values while a fleet is upgraded. Fields of structs are
// only ever added at the end, and never removed, renamed or moved; zero has to mean what
// an earlier build does without the field. Decode reads structs that have grown, but the
// builds up to c32ccf6 read only arrays of exactly their own fields. A struct that they
// get as an array may not change at all: what is new goes into a kind of record of its
// own, which they pass on unread. One that they get from EncodeNamed may grow. The tests
// of package gossiptest hold the forms of all landings, and fail for a struct that breaks
// this.
func Encode(v any) ([]byte, error) {
	return encode(v, func(enc *msgpack.Encoder) { enc.UseArrayEncodedStructs(true) })
}

// EncodeNamed is Encode for structs that differ between the builds of a fleet. They become
// maps from the names of their fields to the values that aren't zero, which all builds
// read. It takes about twice the bytes. The error is ErrMalformed.
func EncodeNamed(v any) ([]byte, error) {
	return encode(v, func(enc *msgpack.Encoder) { enc.SetOmitEmpty(true) })
}

func encode(v any, configure func(*msgpack.Encoder)) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	configure(enc)
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

// Decode decodes data written by Encode or EncodeNamed into v, which it resets first. A
// struct may have more fields than the data, which are zero then, or fewer. The error is
// ErrMalformed.
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
	// The library is faster, but refuses a struct with another number of fields.
	if msgpack.Unmarshal(data, v) == nil {
		return nil
	}
	if err := decodeAll(data, v); err != nil {
		return ErrMalformed.New("%T: %v", v, err)
	}
	return nil
}
