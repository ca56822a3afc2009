package relay

import (
	"maps"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// Writer writes a response to an http.ResponseWriter.
type Writer struct {
	rw      http.ResponseWriter
	started bool
	// err is the error of the first write that failed.
	err error
	// beforeHeader, if set, modifies the header right before it is sent.
	beforeHeader func(http.Header)
	// acceptsFrames means that the client accepts a body in frames. One without a length is
	// sent so, and framed is set.
	acceptsFrames, framed bool
	// offset is the number of bytes of a body in frames that were written, modulo 2^32.
	offset uint32
}

var _ pipeline.Response = (*Writer)(nil)

// NewWriter returns a Writer that writes to rw.
func NewWriter(rw http.ResponseWriter) *Writer { return &Writer{rw: rw} }

// Start implements pipeline.Response.
func (w *Writer) Start(head pipeline.Head) {
	if w.started {
		// The server aborts the response, so that the caller doesn't get two as one.
		panic("relay: a response follows in one that has started")
	}
	w.started = true
	header := w.rw.Header()
	maps.Copy(header, head.Header)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			// Prevent net/http from adding fields that the backend server did
			// not send.
			header[name] = nil
		}
	}
	if w.beforeHeader != nil {
		w.beforeHeader(header)
	}
	if w.acceptsFrames && header.Get("Content-Length") == "" && mayHaveBody(head.Status) {
		w.framed = true
		header.Set(headerFrames, "1")
	}
	w.rw.WriteHeader(head.Status)
}

// mayHaveBody reports whether responses with the status may have a body.
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// End writes what marks the end of a body that is complete.
func (w *Writer) End() {
	if w.framed {
		w.writeFrameHeader(0)
	}
}

// writeFrameHeader writes the header of the next frame.
func (w *Writer) writeFrameHeader(length int) {
	header := frameHeader(w.offset, uint32(length))
	_, err := w.rw.Write(header[:])
	w.recordError(err)
	w.offset += uint32(length)
}

// Write implements pipeline.Response.
func (w *Writer) Write(p []byte) (int, error) {
	if w.framed && len(p) > 0 {
		w.writeFrameHeader(len(p)) // if that fails, so does the next write
	}
	n, err := w.rw.Write(p)
	w.recordError(err)
	return n, err
}

// Flush implements pipeline.Response.
func (w *Writer) Flush() {
	// If flushing fails, so does the next write.
	w.recordError(http.NewResponseController(w.rw).Flush())
}

func (w *Writer) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// Started implements pipeline.Response.
func (w *Writer) Started() bool { return w.started }
