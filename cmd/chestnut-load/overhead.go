package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/overhead"
)

type overheadCommand struct {
	Bin      string        `help:"Directory of the programs." default:"bin"`
	Rate     int           `help:"Requests a second, half direct and half over the gateway." default:"2000"`
	Duration time.Duration `help:"Time for each point." default:"10s"`
	Tokens   []int         `help:"Lengths of streams." default:"1,50,100,200"`
}

// Run implements the command.
func (c *overheadCommand) Run(ctx context.Context) error {
	result, err := overhead.Run(ctx, overhead.Config{
		GatewayBinary: filepath.Join(c.Bin, "chestnut-gateway"),
		Rate:          c.Rate, Duration: c.Duration, Tokens: c.Tokens,
	})
	if err != nil {
		return err
	}
	fmt.Printf("idle     %.2f %% of a core, %.1f MB resident\n", 100*result.IdleCPU, float64(result.IdleBytes)/1e6)
	print := func(name string, l overhead.Latency) {
		fmt.Printf("%-8s %d requests, p50 %.3f ms, p99 %.3f ms, max %.3f ms\n", name, l.Count, l.P50, l.P99, l.Max)
	}
	print("direct", result.Direct)
	print("gateway", result.Gateway)
	fmt.Printf("added    p50 %.3f ms, p99 %.3f ms\n", result.Gateway.P50-result.Direct.P50, result.Gateway.P99-result.Direct.P99)
	fmt.Printf("processor time for a plain request %v, %.0f requests a second and core\n", result.CPUPerRequest, result.RequestsPerCore)
	for _, p := range result.Streams {
		fmt.Printf("processor time for a stream of %d tokens %v\n", p.Tokens, p.CPU)
	}
	fmt.Printf("fit: %v a stream and %v a token, error %v\n", result.CPUPerStream, result.CPUPerToken, result.Error)
	return nil
}
