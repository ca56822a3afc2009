package gossip

import (
	"bytes"
	"encoding"
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// This file decodes structs that have grown since the sender was built, or since this
// program was.

// decodeAll decodes data, which is complete, into v.
func decodeAll(data []byte, v any) error {
	target := reflect.ValueOf(v)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return ErrMalformed.New("%T is no pointer to decode into", v)
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(data))
	target.Elem().SetZero()
	return decodeValue(dec, target.Elem())
}

// decodeValue decodes the next value into v. The caller has checked that the value is
// complete, which bounds the arrays that are allocated.
func decodeValue(dec *msgpack.Decoder, v reflect.Value) error {
	if !holdsStruct(v.Type()) {
		return dec.DecodeValue(v)
	}
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	if code == msgpcode.Nil {
		v.SetZero()
		return dec.DecodeNil()
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return decodeValue(dec, v.Elem())
	case reflect.Slice:
		return decodeSlice(dec, v)
	case reflect.Map:
		return decodeMap(dec, v)
	default:
		if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
			return decodeNamedFields(dec, v)
		}
		return decodeFields(dec, v)
	}
}

func decodeSlice(dec *msgpack.Decoder, v reflect.Value) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	v.Set(reflect.MakeSlice(v.Type(), n, n))
	for i := range n {
		if err := decodeValue(dec, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeMap(dec *msgpack.Decoder, v reflect.Value) error {
	n, err := dec.DecodeMapLen()
	if err != nil {
		return err
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), n))
	for range n {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		if err := decodeValue(dec, key); err != nil {
			return err
		}
		if err := decodeValue(dec, value); err != nil {
			return err
		}
		v.SetMapIndex(key, value)
	}
	return nil
}

// decodeFields decodes an array into the fields of a struct in their order.
func decodeFields(dec *msgpack.Decoder, v reflect.Value) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	fields := fieldsOf(v.Type())
	for i := range n {
		if i >= len(fields) {
			err = dec.Skip()
		} else {
			err = decodeValue(dec, v.Field(fields[i].index))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// decodeNamedFields decodes a map into the fields of a struct by their names.
func decodeNamedFields(dec *msgpack.Decoder, v reflect.Value) error {
	n, err := dec.DecodeMapLen()
	if err != nil {
		return err
	}
	fields := fieldsOf(v.Type())
	for range n {
		name, err := dec.DecodeString()
		if err != nil {
			return err
		}
		if i := indexOf(fields, name); i < 0 {
			err = dec.Skip()
		} else {
			err = decodeValue(dec, v.Field(fields[i].index))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// field is a field of a struct by its name in the encoding.
type field struct {
	name  string
	index int
}

func indexOf(fields []field, name string) int {
	for i := range fields {
		if fields[i].name == name {
			return i
		}
	}
	return -1
}

// fieldsOf returns the encoded fields of a struct type, as the library does. Embedded
// structs aren't supported.
func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("msgpack"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields = append(fields, field{name, i})
	}
	return fields
}

// The types whose values decode themselves.
var selfDecoding = []reflect.Type{
	reflect.TypeFor[msgpack.CustomDecoder](), reflect.TypeFor[msgpack.Unmarshaler](),
	reflect.TypeFor[encoding.BinaryUnmarshaler](), reflect.TypeFor[encoding.TextUnmarshaler](),
}

// holdsStruct reports whether values of the type hold structs that the library decodes
// field by field.
func holdsStruct(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice:
		return holdsStruct(t.Elem())
	case reflect.Map:
		return holdsStruct(t.Key()) || holdsStruct(t.Elem())
	case reflect.Struct:
		for _, i := range selfDecoding {
			if reflect.PointerTo(t).Implements(i) {
				return false
			}
		}
		return true
	}
	return false
}
