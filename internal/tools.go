//go:build tools

// Package internal keeps the modules that are planned for use in go.mod.
package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/sony/gobreaker/v2"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/tmaxmax/go-sse"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
