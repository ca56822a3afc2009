package booking_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

var self = snapshot.Identity{VM: "jeju-a-1", Incarnation: "00112233aabbccdd"}

func fixedClock() clock.Instant { return clock.Instant(time.Hour) }

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{
		"jeju-a-1.00112233aabbccdd.7.0123456789abcdef~u-1", "a.b.0.c~d", "", "~", "a.b.c.d~e", "a.b.-1.c~d",
		"a.b.00.c~d", "a.b.18446744073709551616.c~d", "a.b.1.c~" + strings.Repeat("x", 65), "a.b.1.c~d~e",
		"a.b.1.c.d~e", "a.b.1.c~\x00", "a.b.1.c~d\r\nX: y", strings.Repeat("a", 201) + ".b.1.c~d",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := booking.ParseKey(text)
		if err != nil {
			return
		}
		// Records are looked up by text, so that a key must have a single form.
		if key.String() != text {
			t.Fatalf("%q was parsed as %q", text, key.String())
		}
		if len(text) > booking.MaxKeyLength || strings.ContainsAny(text, "/?#% \r\n") {
			t.Fatalf("%q was accepted", text)
		}
	})
}

// TestIssuedAcceptsOnlyOwnPrefixes checks that an issuer rejects a forged epoch
// and the prefixes of an earlier process with the same identity.
func TestIssuedAcceptsOnlyOwnPrefixes(t *testing.T) {
	is := is.New(t)
	issuer := booking.NewIssuer(self, fixedClock)
	key, err := booking.ParseKey(issuer.Prefix() + "~u")
	is.NoErr(err)
	is.True(issuer.Issued(key))

	forged := key
	forged.Epoch++ // A later epoch would extend the validity of the key.
	is.True(!issuer.Issued(forged))
	restarted := booking.NewIssuer(self, fixedClock) // Each process has its own secret.
	is.True(!restarted.Issued(key))
}
