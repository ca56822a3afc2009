// Package gossiptest checks that the builds of a fleet read one another's records and
// messages. Tests hold the encodings of earlier landings under testdata/forms, as
// NAME-COMMIT.msgpack with the first landing that sent the form.
package gossiptest

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// Landings are the last commits of the landings, the oldest first.
var Landings = []string{
	"1f14427", "fc854cb", "f680325", "76cb19f", "f158975", "28f6f99", "de4ac90", "caafb87", "7450b58", "0984de7", "c32ccf6",
}

// LastStrict is the last landing that reads only arrays of exactly its own fields, and
// maps of names.
const LastStrict = "c32ccf6"

// dump makes CheckForms write the encoding of the program's own form.
var dump = flag.String("dump-forms", "", "directory for this program's own forms, in place of the checks")

const formsDirectory = "testdata/forms"

// CheckForms checks that the form of T that each landing sent is decoded, and that its
// fields have kept their places.
func CheckForms[T any](t *testing.T, name string) { checkForms[T](t, name, false) }

// CheckPinned is CheckForms for a T that is sent as an array to the builds up to
// LastStrict. It may have no other fields than theirs.
func CheckPinned[T any](t *testing.T, name string) { checkForms[T](t, name, true) }

func checkForms[T any](t *testing.T, name string, pinned bool) {
	t.Helper()
	if *dump != "" {
		dumpForm[T](t, name)
		return
	}
	paths, err := filepath.Glob(filepath.Join(formsDirectory, name+"-*.msgpack"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no form of %s under %s: %v", name, formsDirectory, err)
	}
	age := func(path string) int {
		return slices.Index(Landings, strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), name+"-"), ".msgpack"))
	}
	slices.SortFunc(paths, func(a, b string) int { return age(a) - age(b) })
	for i, path := range paths {
		if age(path) < 0 {
			t.Errorf("%s is named after none of the landings", path)
			continue
		}
		sent, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var value T
		if err := gossip.Decode(sent, &value); err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		again, err := gossip.Encode(value)
		if err != nil {
			t.Fatal(err)
		}
		if fault := compare(generic(t, sent), generic(t, again), "value"); fault != "" {
			t.Errorf("%s is decoded as %+v: %s", path, value, fault)
		}
		if pinned && i == len(paths)-1 && !bytes.Equal(sent, again) {
			t.Errorf("%T has other fields than in %s, and builds up to %s can't read it; see gossip.Encode", value, path, LastStrict)
		}
	}
}

// CheckNames checks that T is sent with the names that the builds up to LastStrict read.
func CheckNames[T any](t *testing.T, name string) {
	t.Helper()
	value := new(T)
	Fill(value)
	if *dump != "" {
		dumpNames(t, name, *value)
		return
	}
	path := filepath.Join(formsDirectory, name+".names")
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data, err := gossip.EncodeNamed(*value)
	if err != nil {
		t.Fatal(err)
	}
	got := names(generic(t, data), "")
	for line := range strings.Lines(string(want)) {
		if line = strings.TrimSpace(line); !slices.Contains(got, line) {
			t.Errorf("%s: the field %q is not sent under this name", path, line)
		}
	}
}

// dumpForm writes this program's own form of T with a value in each field.
func dumpForm[T any](t *testing.T, name string) {
	t.Helper()
	value := new(T)
	Fill(value)
	data, err := gossip.Encode(*value)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(*dump, name+".msgpack"), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// dumpNames writes the names of this program's fields. Programs without EncodeNamed have
// them, too.
func dumpNames(t *testing.T, name string, value any) {
	t.Helper()
	data, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Join(names(generic(t, data), ""), "\n") + "\n"
	if err := os.WriteFile(filepath.Join(*dump, name+".names"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Fill sets all exported fields of the struct that value points to, and of those within,
// to values that depend on their place only: fields that are added at the end leave those
// of the others as they are.
func Fill(value any) { fill(reflect.ValueOf(value).Elem(), "") }

func fill(v reflect.Value, place string) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(place))
	number := int64(1 + hash.Sum32()%100)
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("text" + place)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number))
	case reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), place)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(v.Index(i), fmt.Sprint(place, "/", i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, place+"/key")
		fill(value, place+"/value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), fmt.Sprint(place, "/", i))
			}
		}
	default:
		panic("gossiptest: no value for " + v.Type().String())
	}
}

func generic(t *testing.T, data []byte) any {
	t.Helper()
	var v any
	if err := msgpack.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// compare returns why a value isn't an earlier one with added fields that are zero, or "".
func compare(earlier, value any, place string) string {
	switch earlier := earlier.(type) {
	case []any:
		list, ok := value.([]any)
		if !ok || len(list) < len(earlier) {
			return fmt.Sprintf("%s is %v in place of %v", place, value, earlier)
		}
		for i, v := range list {
			at := fmt.Sprintf("%s[%d]", place, i)
			if i >= len(earlier) {
				if v != nil && !reflect.ValueOf(v).IsZero() {
					return fmt.Sprintf("%s is %v in place of a zero", at, v)
				}
			} else if fault := compare(earlier[i], v, at); fault != "" {
				return fault
			}
		}
	case map[string]any:
		m, ok := value.(map[string]any)
		if !ok || len(m) != len(earlier) {
			return fmt.Sprintf("%s is %v in place of %v", place, value, earlier)
		}
		for key := range earlier {
			if fault := compare(earlier[key], m[key], place+"."+key); fault != "" {
				return fault
			}
		}
	default:
		if !reflect.DeepEqual(earlier, value) {
			return fmt.Sprintf("%s is %v in place of %v", place, value, earlier)
		}
	}
	return ""
}

// names returns the paths of the map keys of a value.
func names(value any, place string) []string {
	var out []string
	switch value := value.(type) {
	case []any:
		for _, v := range value {
			out = append(out, names(v, place)...)
		}
	case map[string]any:
		for key, v := range value {
			out = append(append(out, place+"."+key), names(v, place+"."+key)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
