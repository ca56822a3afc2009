package relay

import (
	"encoding/base64"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Guards against hops that VMs of two builds would read differently: the heads that the
// programs of all landings wrote, in testdata/forms by the first landing with the form, are
// read with all their fields.
func TestHopsOfEarlierBuilds(t *testing.T) {
	paths, err := filepath.Glob("testdata/forms/hop-*.json")
	if err != nil || len(paths) == 0 {
		t.Fatal("no forms of hops", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			sent, err := os.ReadFile(path)
			is.NoErr(err)
			var head hopHead
			is.NoErr(json.Unmarshal(sent, &head))
			again, err := json.Marshal(head)
			is.NoErr(err)
			var earlier, present map[string]any
			is.NoErr(json.Unmarshal(sent, &earlier))
			is.NoErr(json.Unmarshal(again, &present))
			for name, value := range earlier {
				is.Equal(present[name], value) // the field has kept its name and type
			}
		})
	}
}

// Guards against what this build would make of fields that an earlier one doesn't send: it
// arrived just now, ends with its connection only, and began nowhere yet.
func TestHopWithoutTheFieldsOfLaterBuilds(t *testing.T) {
	is := is.New(t)
	head, err := os.ReadFile("testdata/forms/hop-1f14427.json")
	is.NoErr(err)
	hr := httptest.NewRequest("POST", PathHop, nil)
	hr.Header.Set(headerHop, base64.StdEncoding.EncodeToString(head))
	x := hopTransaction(2)
	before := clock.Boot()
	req, err := x.readHop(httptest.NewRecorder(), hr, nil)
	is.NoErr(err)
	is.True(req.Arrived >= before && req.Deadline > req.Arrived)
	is.Equal(req.Hop, "")
	is.Equal(req.Origin, nil)
	is.True(!req.Continues && !req.OwnLinksOnly)
	is.Equal(req.Configuration, uint64(0))
	is.Equal(req.AttemptsLeft > 0, true)

	ctx, end := x.accepted.begin(t.Context(), req.Hop)
	is.True(!x.accepted.cancel(""))
	is.NoErr(ctx.Err())
	end()
	is.True(req.Deadline <= clock.Boot().Add(time.Minute))
}
