package experiment

import (
	"context"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// Checks the guarantees while a replica is slow, a link is cut and an entry VM is
// killed. Latencies aren't checked, since they depend on the machine.
func TestQuickExperimentKeepsGuarantees(t *testing.T) {
	is := is.New(t)
	spec, err := ReadSpec("../../experiments/quick.yaml")
	is.NoErr(err)
	spec.Deployment = filepath.Join("../..", spec.Deployment)
	runner := Runner{GatewayBinary: testbed.BuildGateway(t), Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	result, err := runner.Run(ctx, spec)
	is.NoErr(err)
	run := result.Runs[0]
	for _, v := range run.Violations {
		t.Errorf("seed %d: %s: %s", spec.Seed, v.Guarantee, v.Detail)
	}
	f := run.Overall
	is.True(f.Served > 0)
	is.Equal(f.Sent, f.Served+f.Refused+f.Failed+f.Unanswered+f.Wrong)
	file := filepath.Join(t.TempDir(), "quick.json")
	is.NoErr(result.Write(file))
	again, err := ReadResult(file)
	is.NoErr(err)
	is.Equal(again.Runs[0].Overall.Served, f.Served)
}
