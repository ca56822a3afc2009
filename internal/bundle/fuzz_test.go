package bundle

import (
	"bytes"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// FuzzManifest looks for manifests that end the program or are accepted out of
// form.
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
			t.Fatalf("accepted out of form: %+v", m)
		}
		if _, err := Open(data, partGetter(b.Parts)); err == nil && !bytes.Contains(data, []byte("parts")) {
			t.Fatal("opened without parts")
		}
	})
}

// FuzzPart looks for the content of a part that ends the program, or whose
// objects would not survive another round trip.
func FuzzPart(f *testing.F) {
	b, err := Build(loadExample(f, exampleDirs[0]))
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range b.Parts {
		f.Add(data, 3)
	}
	f.Add([]byte{0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 0xff}, 0)
	f.Fuzz(func(t *testing.T, data []byte, number int) {
		checkPart(t, number, data)
		compressed, err := compress(data) // the content, rather than the gzip form
		if err != nil {
			t.Fatal(err)
		}
		checkPart(t, number, compressed)
	})
}

func checkPart(t *testing.T, number int, data []byte) {
	t.Helper()
	list, err := decodePart(number, data)
	if err != nil {
		return
	}
	set := objects.NewSet()
	for _, o := range list {
		if o.Value == nil || objects.NameOf(o.Value) != o.Name {
			t.Fatalf("half an object: %+v", o)
		}
		set.Add(o.Value)
	}
	if _, err := Build(set); err != nil {
		t.Fatalf("accepted objects can't be written: %v", err)
	}
}
