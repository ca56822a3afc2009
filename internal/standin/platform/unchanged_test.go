package platform

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	wire "github.com/chestnutspring/chestnutspring/internal/published"
)

// TestUnchangedResponseHasNewestRevision watches a stale replica, which reports
// its own newest revision although the reader already has a newer one.
func TestUnchangedResponseHasNewestRevision(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Publish(wire.ValueManifest, []byte("one"))
	p.Publish(wire.ValueManifest, []byte("two"))
	p.SetStale(wire.ValueManifest, 1)
	server := httptest.NewServer(p.Handler("jeju"))
	defer server.Close()
	value, err := wire.NewClient(server.URL).Watch(t.Context(), wire.ValueManifest, 2, 10*time.Millisecond)
	is.True(errorx.IsOfType(err, wire.ErrUnchanged))
	is.Equal(value.Revision, uint64(1)) // older than the revision of the reader
}
