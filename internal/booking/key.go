package booking

import (
	"errors"
	"strconv"
	"strings"
)

// Format of a key. Lengths are in bytes.
const (
	// MaxKeyLength is the maximum length of a key.
	MaxKeyLength = 200
	// MaxUniqueLength is the maximum length of the caller's suffix.
	MaxUniqueLength = 64
	// separator separates the prefix from the caller's suffix.
	separator = "~"
	// fieldSeparator separates the fields of the prefix.
	fieldSeparator = "."
)

// ErrMalformed is returned for a key that doesn't have the format documented at
// Key.
var ErrMalformed = errors.New("the idempotency key is malformed")

// Key is a parsed idempotency key:
//
//	<vm>.<incarnation>.<epoch>.<mac>~<unique>
//
// A gateway issues the prefix, which ends before "~"; the caller appends the
// rest.
type Key struct {
	// VM and Incarnation name the owner.
	VM          string
	Incarnation string
	// Epoch is the index of the owner's epoch in which the prefix was issued.
	// Epochs last EpochLength and are counted from the start of the issuer.
	Epoch uint64
	// MAC is the hex-encoded, truncated HMAC of the other prefix fields. Only the
	// owner can verify it.
	MAC string
	// Unique is the suffix chosen by the caller.
	Unique string
}

// ParseKey parses a key. The only error it returns is ErrMalformed.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyLength {
		return Key{}, ErrMalformed
	}
	prefix, unique, found := strings.Cut(text, separator)
	if !found || len(unique) > MaxUniqueLength || !isToken(unique) {
		return Key{}, ErrMalformed
	}
	fields := strings.Split(prefix, fieldSeparator)
	const fieldCount = 4
	if len(fields) != fieldCount || !isToken(fields[0]) || !isToken(fields[1]) || !isToken(fields[3]) {
		return Key{}, ErrMalformed
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil || strconv.FormatUint(epoch, 10) != fields[2] {
		return Key{}, ErrMalformed
	}
	return Key{VM: fields[0], Incarnation: fields[1], Epoch: epoch, MAC: fields[3], Unique: unique}, nil
}

// String formats the key. ParseKey parses the result.
func (k Key) String() string { return k.prefix() + separator + k.Unique }

func (k Key) prefix() string {
	return k.signedText() + fieldSeparator + k.MAC
}

// signedText returns the prefix fields that the MAC covers.
func (k Key) signedText() string {
	return strings.Join([]string{k.VM, k.Incarnation, strconv.FormatUint(k.Epoch, 10)}, fieldSeparator)
}

// isToken reports whether s is a non-empty string of ASCII letters, digits, "-"
// and "_".
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if !ok {
			return false
		}
	}
	return s != ""
}
