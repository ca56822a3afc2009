package revision

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRevisionsAreOrderedByEraThenNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, number := rapid.Uint64Range(0, MaxEra), rapid.Uint64Range(0, MaxNumber)
		e1, n1, e2, n2 := era.Draw(t, "e1"), number.Draw(t, "n1"), era.Draw(t, "e2"), number.Draw(t, "n2")
		a, err := New(e1, n1)
		if err != nil {
			t.Fatal(err)
		}
		b, err := New(e2, n2)
		if err != nil {
			t.Fatal(err)
		}
		if (a < b) != (e1 < e2 || e1 == e2 && n1 < n2) {
			t.Fatalf("%v < %v is %v", a, b, a < b)
		}
		if a.Era() != e1 || a.Number() != n1 {
			t.Fatalf("%d/%d became %v", e1, n1, a)
		}
	})
}

func TestRevisionBeyondLimitsIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := New(MaxEra+1, 1)
	is.True(errorx.IsOfType(err, ErrRange))
	_, err = New(1, MaxNumber+1)
	is.True(errorx.IsOfType(err, ErrRange))
	r, err := New(0, 7)
	is.NoErr(err)
	is.Equal(r, Revision(7)) // a registry without eras
	is.Equal(r.String(), "0/7")
}
