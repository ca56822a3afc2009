package relay

import (
	"maps"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// Writer passes an answer to an HTTP server.
type Writer struct {
	http    http.ResponseWriter
	started bool
	// before, if set, edits the header right before it is sent.
	before func(http.Header)
}

var _ pipeline.Response = (*Writer)(nil)

// NewWriter returns a Writer to w.
func NewWriter(w http.ResponseWriter) *Writer { return &Writer{http: w} }

// Start implements pipeline.Response.
func (w *Writer) Start(head pipeline.Head) {
	w.started = true
	header := w.http.Header()
	maps.Copy(header, head.Header)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			// The answer goes out without fields that the backend server did
			// not send.
			header[name] = nil
		}
	}
	if w.before != nil {
		w.before(header)
	}
	w.http.WriteHeader(head.Status)
}

// Write implements pipeline.Response.
func (w *Writer) Write(p []byte) (int, error) { return w.http.Write(p) }

// Flush implements pipeline.Response.
func (w *Writer) Flush() {
	// A connection that can't be flushed fails at the next write.
	_ = http.NewResponseController(w.http).Flush()
}

// Started implements pipeline.Response.
func (w *Writer) Started() bool { return w.started }
