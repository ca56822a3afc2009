package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/configwatch"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// confirmedSource is a ConfigSource with a fixed confirmation.
type confirmedSource struct{ confirmation configwatch.Confirmation }

var _ ConfirmationSource = confirmedSource{}

func (confirmedSource) Manifest() (published.Value, bool)        { return published.Value{}, false }
func (confirmedSource) Part(string) ([]byte, bool)               { return nil, false }
func (confirmedSource) RecordPeerRevision(string, uint64)        {}
func (s confirmedSource) Confirmation() configwatch.Confirmation { return s.confirmation }

func TestConfirmationFetchedFromPeer(t *testing.T) {
	is := is.New(t)
	b := startTestCluster(t, nil, 1, 0)
	asker, other := b.nodes[vmName("jeju", 0)], vmName("busan", 0)
	got, err := asker.Confirmation(t.Context(), other)
	is.NoErr(err)
	is.Equal(got, configwatch.Confirmation{}) // no ConfigSource is set yet
	want := configwatch.Confirmation{Revision: 9, Confirmed: true, Age: 1500 * time.Millisecond}
	b.nodes[other].SetConfigSource(confirmedSource{want})
	got, err = asker.Confirmation(t.Context(), other)
	is.NoErr(err)
	is.Equal(got, want)
	_, err = asker.Confirmation(t.Context(), "nobody")
	is.True(err != nil)
}
