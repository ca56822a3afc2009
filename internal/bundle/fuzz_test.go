package bundle

import (
	"bytes"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// FuzzManifest checks that malformed manifests neither cause a panic nor are
// accepted.
func FuzzManifest(f *testing.F) {
	b, err := Build(loadExample(f, exampleDirs[0]))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b.Manifest)
	f.Add([]byte(`{"format":1,"parts":null}`))
	f.Add([]byte(`{"format":2,"parts":[]}{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest(data)
		if err != nil {
			return
		}
		if len(m.Parts) != PartCount || m.Format != formatVersion {
			t.Fatalf("malformed manifest accepted: %+v", m)
		}
		if _, err := Open(data, partGetter(b.Parts)); err == nil && !bytes.Contains(data, []byte("parts")) {
			t.Fatal("manifest without parts accepted")
		}
	})
}

// FuzzPart checks that decoding a part doesn't panic, and that all decoded
// objects can be encoded again.
func FuzzPart(f *testing.F) {
	b, err := Build(loadExample(f, exampleDirs[0]))
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range b.Parts {
		f.Add(data, 3)
	}
	f.Add([]byte{0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 0xff}, 0)
	f.Fuzz(func(t *testing.T, data []byte, index int) {
		checkPart(t, index, data)
		compressed, err := compress(data) // use data as the decompressed content
		if err != nil {
			t.Fatal(err)
		}
		checkPart(t, index, compressed)
	})
}

func checkPart(t *testing.T, index int, data []byte) {
	t.Helper()
	list, err := decodePart(index, data)
	if err != nil {
		return
	}
	set := objects.NewSet()
	for _, o := range list {
		if o.Value == nil || objects.NameOf(o.Value) != o.Name {
			t.Fatalf("incomplete object: %+v", o)
		}
		set.Add(o.Value)
	}
	if _, err := Build(set); err != nil {
		t.Fatalf("decoded objects can't be encoded: %v", err)
	}
}
