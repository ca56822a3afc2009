package booking

import (
	"errors"
	"strconv"
	"strings"
)

// Bounds on the parts of a key, in bytes.
const (
	// MaxKeyLength bounds a whole key.
	MaxKeyLength = 200
	// MaxUniqueLength bounds the caller's own part.
	MaxUniqueLength = 64
	// separator divides the prefix from the caller's own part.
	separator = "~"
	// fieldSeparator divides the fields of the prefix.
	fieldSeparator = "."
)

// ErrMalformed says that a key or prefix doesn't have the form that an issuer
// gives out.
var ErrMalformed = errors.New("the idempotency key is malformed")

// Key is a parsed idempotency key:
//
//	<vm>.<incarnation>.<epoch>.<code>~<unique>
//
// The part before "~" is the prefix that a gateway issued.
type Key struct {
	// VM and Incarnation name the owner.
	VM          string
	Incarnation string
	// Epoch is the number of the period of the owner's clock in which the
	// prefix was issued.
	Epoch uint64
	// MAC authenticates the prefix at its owner.
	MAC string
	// Unique is the caller's own part.
	Unique string
}

// ParseKey reads a key. Its error is ErrMalformed.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyLength {
		return Key{}, ErrMalformed
	}
	prefix, unique, found := strings.Cut(text, separator)
	if !found || len(unique) > MaxUniqueLength || !isWord(unique) {
		return Key{}, ErrMalformed
	}
	fields := strings.Split(prefix, fieldSeparator)
	const fieldCount = 4
	if len(fields) != fieldCount || !isWord(fields[0]) || !isWord(fields[1]) || !isWord(fields[3]) {
		return Key{}, ErrMalformed
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil || strconv.FormatUint(epoch, 10) != fields[2] {
		return Key{}, ErrMalformed
	}
	return Key{VM: fields[0], Incarnation: fields[1], Epoch: epoch, MAC: fields[3], Unique: unique}, nil
}

// String returns the form that ParseKey reads.
func (k Key) String() string { return k.prefix() + separator + k.Unique }

func (k Key) prefix() string {
	return k.signedPart() + fieldSeparator + k.MAC
}

// signedPart is the part of the prefix that the code covers.
func (k Key) signedPart() string {
	return strings.Join([]string{k.VM, k.Incarnation, strconv.FormatUint(k.Epoch, 10)}, fieldSeparator)
}

// isWord reports whether s is a non-empty string of ASCII letters, digits, "-"
// and "_".
func isWord(s string) bool {
	for i := range len(s) {
		c := s[i]
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if !ok {
			return false
		}
	}
	return s != ""
}
