// Package pipelinetest provides helpers for tests of pipeline handlers.
package pipelinetest

import (
	"bytes"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// Recorder is a pipeline.Response that records the response in memory.
type Recorder struct {
	// Head is the argument of Start.
	Head pipeline.Head
	Body bytes.Buffer

	started bool
}

var _ pipeline.Response = (*Recorder)(nil)

// Start implements pipeline.Response.
func (r *Recorder) Start(head pipeline.Head) { r.Head, r.started = head, true }

// Write implements pipeline.Response.
func (r *Recorder) Write(p []byte) (int, error) { return r.Body.Write(p) }

// Flush implements pipeline.Response.
func (r *Recorder) Flush() {}

// Started implements pipeline.Response.
func (r *Recorder) Started() bool { return r.started }
