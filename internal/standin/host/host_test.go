package host

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	wire "github.com/chestnutspring/chestnutspring/internal/published"
)

const spec = `
platforms:
  - name: p
    listen: 127.0.0.1:0
    objects: ../../../examples/kite-consortium
    vms:
      - {name: v, region: jeju, role: entry, state: live}
engines: [{name: e, listen: "127.0.0.1:0", tokensPerSecond: 50, loadLag: 100ms}]
services: [{name: s, listen: "127.0.0.1:0", duration: 1ms}]
links: [{name: l, listen: "127.0.0.1:0", target: "127.0.0.1:1", delay: 3ms}]
directories: [{name: d, listen: "127.0.0.1:0", entries: {jeju: ["127.0.0.1:1"]}}]
weights: [{name: w, listen: "127.0.0.1:0", megabytesPerSecond: 10}]
`

func TestAllKindsStartFromFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "standins.yaml")
	is.NoErr(os.WriteFile(file, []byte(spec), 0o600))
	parsed, err := Load(file)
	is.NoErr(err)
	h, err := Start(parsed)
	is.NoErr(err)
	t.Cleanup(h.Close)
	is.Equal(len(h.Instances()), 6)
	v, err := wire.NewClient("http://"+h.Instances()[0].Address).Read(context.Background(), wire.ValueManifest)
	is.NoErr(err)
	is.Equal(v.Revision, uint64(1))
	is.NoErr(os.WriteFile(file, []byte("engine: []"), 0o600))
	_, err = Load(file)
	is.True(err != nil) // unknown field
}
