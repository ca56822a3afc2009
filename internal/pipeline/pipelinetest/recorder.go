// Package pipelinetest helps to test handlers of the pipeline.
package pipelinetest

import (
	"bytes"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// Recorder is a pipeline.Response that keeps the answer in memory.
type Recorder struct {
	// Head is what Start was given.
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
