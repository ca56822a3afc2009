package experiment

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

func TestExperimentFilesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../experiments/*.yaml")
	is.NoErr(err)
	is.True(len(files) >= 17)
	for _, file := range files {
		spec, err := ReadSpec(file)
		is.NoErr(err)
		set, err := objects.Load(filepath.Join("../..", spec.Deployment))
		is.NoErr(err)
		is.True(len(Schedule(spec, set)) > 0)
		for _, l := range spec.Load {
			is.True(set.RouteOf(l.Target) != nil) // the target of each class has a route
			for _, team := range l.Teams {
				is.True(set.Teams[team] != nil)
			}
		}
	}
}
