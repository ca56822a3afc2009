package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Response headers in which an engine reports its load.
const (
	headerRunning         = "Engine-Running"
	headerQueued          = "Engine-Queued"
	headerTokensPerSecond = "Engine-Tokens-Per-Second"
)

// readLoad copies the load from the response headers to o, if the engine
// reports it.
func readLoad(resp *http.Response, o *health.Observation) {
	running, err := strconv.Atoi(resp.Header.Get(headerRunning))
	if err != nil {
		return
	}
	queued, err := strconv.Atoi(resp.Header.Get(headerQueued))
	if err != nil {
		return
	}
	o.HasLoad, o.Running, o.Queued = true, running, queued
	if rate, err := strconv.ParseFloat(resp.Header.Get(headerTokensPerSecond), 64); err == nil {
		o.TokensPerSecond = rate
	}
}

// responseHead returns the status and the headers that are passed on to the
// caller.
func responseHead(resp *http.Response, server *objects.BackendServer) pipeline.Head {
	header := http.Header{wire.HeaderBackend: {server.Name}}
	for _, name := range []string{"Content-Type", "Content-Length", "Location", "Cache-Control"} {
		if value := resp.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return pipeline.Head{Status: resp.StatusCode, Header: header}
}

// relayBuffered copies the body of a response that isn't a stream to w. It buffers up to
// wire.MaxAnswerBytes before it writes the first byte, so that a response below
// that size that turns out to be truncated can still be refused.
func relayBuffered(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, resp *http.Response, body io.Reader, w pipeline.Response) *verdict.Refusal {
	data, err := io.ReadAll(io.LimitReader(body, wire.MaxAnswerBytes))
	if err != nil || len(data) < wire.MaxAnswerBytes && upstream.IsTruncated(resp, data) {
		return interruptedRefusal(ctx)
	}
	w.Start(responseHead(resp, server))
	if _, err := w.Write(data); err != nil {
		return interruptedRefusal(ctx)
	}
	if len(data) < wire.MaxAnswerBytes {
		return nil
	}
	if _, err := io.Copy(w, body); err != nil {
		return interruptedRefusal(ctx)
	}
	return nil
}

// interruptedRefusal returns the refusal for a response body that ended early.
func interruptedRefusal(ctx context.Context) *verdict.Refusal {
	if refusal := contextRefusal(ctx); refusal != nil {
		return refusal
	}
	return verdict.Ambiguous(verdict.CodeAnswerCut, "the answer broke off", retryAfterFailure)
}
