package bundle

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

var exampleDirs = []string{"../../examples/kite-consortium", "../../examples/co-operative"}

func loadExample(t testing.TB, dir string) *objects.Set {
	t.Helper()
	set, err := objects.Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func partGetter(parts map[string][]byte) func(string) ([]byte, error) {
	return func(digest string) ([]byte, error) {
		data, ok := parts[digest]
		if !ok {
			return nil, errors.New("absent")
		}
		return data, nil
	}
}

func TestExamplesRoundTrip(t *testing.T) {
	for _, dir := range exampleDirs {
		is := is.New(t)
		set := loadExample(t, dir)
		b, err := Build(set)
		is.NoErr(err)
		again, err := Build(loadExample(t, dir))
		is.NoErr(err)
		is.Equal(b, again) // Build is deterministic
		opened, err := Open(b.Manifest, partGetter(b.Parts))
		is.NoErr(err)
		is.Equal(opened, set)
	}
}

func TestReaderFetchesOnlyChangedParts(t *testing.T) {
	is := is.New(t)
	set := loadExample(t, exampleDirs[0])
	before, err := Build(set)
	is.NoErr(err)
	reader := NewReader()
	first, err := reader.Open(before.Manifest, partGetter(before.Parts))
	is.NoErr(err)

	set.Teams["hamdeok-kite-school"].Spec.Weight = 3
	after, err := Build(set)
	is.NoErr(err)
	var fetched []string
	second, err := reader.Open(after.Manifest, func(digest string) ([]byte, error) {
		fetched = append(fetched, digest)
		return after.Parts[digest], nil
	})
	is.NoErr(err)
	is.Equal(len(fetched), 1)
	is.Equal(second.Teams["hamdeok-kite-school"].Spec.Weight, 3.0)
	is.Equal(first.Teams["hamdeok-kite-school"].Spec.Weight, 2.0)
	is.True(first.Teams["jeju-rescue"] == second.Teams["jeju-rescue"]) // unchanged objects are shared
}

func TestCorruptedBundleIsRejected(t *testing.T) {
	is := is.New(t)
	b, err := Build(loadExample(t, exampleDirs[0]))
	is.NoErr(err)
	for digest := range b.Parts {
		missing := maps.Clone(b.Parts)
		delete(missing, digest)
		_, err := Open(b.Manifest, partGetter(missing))
		is.True(err != nil) // missing part
		flipped := maps.Clone(b.Parts)
		flipped[digest] = slices.Clone(b.Parts[digest])
		flipped[digest][len(flipped[digest])/2] ^= 1
		_, err = Open(b.Manifest, partGetter(flipped))
		is.True(err != nil) // digest mismatch
	}
	for _, manifest := range []string{"", "{}", "null", `{"format":1,"parts":[]}`, string(b.Manifest) + "x"} {
		_, err := Open([]byte(manifest), partGetter(b.Parts))
		is.True(err != nil)
	}
}
