package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Headers of an engine's answer that report its load.
const (
	headerRunning         = "Engine-Running"
	headerQueued          = "Engine-Queued"
	headerTokensPerSecond = "Engine-Tokens-Per-Second"
)

// newBody returns a reader of the body that is not http.NoBody and that the
// transport can't rewind.
func newBody(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return io.MultiReader(bytes.NewReader(body))
}

// readLoad takes the load from an engine's answer, if it bears one.
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

// headOf returns the start of the answer for the caller.
func headOf(resp *http.Response, server *objects.BackendServer) pipeline.Head {
	header := http.Header{wire.HeaderBackend: {server.Name}}
	for _, name := range []string{"Content-Type", "Content-Length", "Location", "Cache-Control"} {
		if value := resp.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return pipeline.Head{Status: resp.StatusCode, Header: header}
}

// passWhole passes on an answer that isn't a stream. An answer of up to
// wire.MaxAnswerBytes is read to its end before the first byte is passed on,
// so that a truncated one can still be refused.
func passWhole(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, resp *http.Response, w pipeline.Response) *verdict.Refusal {
	data, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxAnswerBytes))
	if err != nil {
		return contextRefusalOrCut(ctx)
	}
	w.Start(headOf(resp, server))
	if _, err := w.Write(data); err != nil {
		return contextRefusalOrCut(ctx)
	}
	if len(data) < wire.MaxAnswerBytes {
		return nil
	}
	if _, err := io.Copy(w, resp.Body); err != nil {
		return contextRefusalOrCut(ctx)
	}
	return nil
}

// contextRefusalOrCut returns the refusal for an answer that broke off.
func contextRefusalOrCut(ctx context.Context) *verdict.Refusal {
	if refusal := contextRefusal(ctx); refusal != nil {
		return refusal
	}
	return verdict.Ambiguous(verdict.CodeAnswerCut, "the answer broke off", retryAfterFailure)
}
