// Package revision orders the changes of a registry that may be restored from an
// older copy.
//
// Within an era the registry's revisions only increase. A restore begins a new era,
// in which revisions are given out again. A Revision contains both, and the later
// era is the higher one.
package revision

import (
	"strconv"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("revision").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrRange reports an era or a number that is too large.
	ErrRange = Errors.NewType("range")
)

// numberBits is the size of the number in a Revision; the era has the bits above.
const numberBits = 44

// Limits on the parts of a Revision.
const (
	MaxEra    = 1<<(64-numberBits) - 1
	MaxNumber = 1<<numberBits - 1
)

// Revision is a revision of a registry together with its era. Revisions are
// ordered by era, then by number; zero is below all others. The revision of a
// registry without eras is its number.
type Revision uint64

// New returns the revision with the number in an era. The error is ErrRange.
func New(era, number uint64) (Revision, error) {
	if era > MaxEra || number > MaxNumber {
		return 0, ErrRange.New("era %d or revision %d exceeds the limits %d and %d", era, number, uint64(MaxEra), uint64(MaxNumber))
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era of the revision.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the revision in its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the era and the number, separated by a slash.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "/" + strconv.FormatUint(r.Number(), 10)
}
