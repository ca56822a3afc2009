package experiment

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

func TestCutOfUnknownLinkIsAnError(t *testing.T) {
	is := is.New(t)
	for _, kind := range []string{"cut", "heal"} {
		err := faultActions[kind](context.Background(), &testbed.Bed{}, Fault{Kind: kind, Name: "jeju", Other: "atlantis"})
		is.True(errorx.IsOfType(err, ErrSpec))
	}
}
