package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/overhead"
)

type overheadCommand struct {
	Bin      string        `help:"Directory of the program binaries." default:"bin"`
	Rate     int           `help:"Requests per second, half direct and half through the gateway." default:"2000"`
	Duration time.Duration `help:"Duration of each measurement." default:"10s"`
	Tokens   []int         `help:"Lengths of the measured streams in tokens." default:"1,50,100,200"`
}

// Run executes the command.
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
	fmt.Printf("CPU time per plain request %v, %.0f requests per second per core\n", result.CPUPerRequest, result.RequestsPerCore)
	for _, p := range result.Streams {
		fmt.Printf("CPU time per stream of %d tokens %v\n", p.Tokens, p.CPU)
	}
	fmt.Printf("linear fit: %v per stream and %v per token, RMS error %v\n", result.CPUPerStream, result.CPUPerToken, result.RMSError)
	return nil
}
