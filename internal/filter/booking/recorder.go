package bookingfilter

import (
	"maps"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// recorder buffers the answer of a run until it is complete, so that the caller
// gets nothing that the record lacks: an answer that breaks off is recorded as a
// refusal. An answer larger than wire.MaxAnswerBytes is streamed to the caller
// instead and isn't recorded.
type recorder struct {
	caller      pipeline.Response
	head        pipeline.Head
	body        []byte
	started     bool
	passThrough bool
}

var _ pipeline.Response = (*recorder)(nil)

func newRecorder(caller pipeline.Response) *recorder { return &recorder{caller: caller} }

// Start implements pipeline.Response.
func (r *recorder) Start(head pipeline.Head) {
	r.started = true
	r.head = pipeline.Head{Status: head.Status, Header: cloneHeader(head.Header)}
}

// Write implements pipeline.Response.
func (r *recorder) Write(p []byte) (int, error) {
	if r.passThrough {
		// Ignore errors: the run continues after its caller disconnects.
		_, _ = r.caller.Write(p)
		return len(p), nil
	}
	r.body = append(r.body, p...)
	if len(r.body) > wire.MaxAnswerBytes {
		r.startPassThrough()
	}
	return len(p), nil
}

// Flush implements pipeline.Response.
func (r *recorder) Flush() {
	if r.passThrough {
		r.caller.Flush()
	}
}

// Started implements pipeline.Response.
func (r *recorder) Started() bool { return r.started }

// startPassThrough writes the buffered bytes to the caller and switches to
// streaming.
func (r *recorder) startPassThrough() {
	r.passThrough = true
	r.caller.Start(r.head)
	_, _ = r.caller.Write(r.body)
	r.body = nil
}

// deliver writes a buffered answer to the caller.
func (r *recorder) deliver() {
	if !r.passThrough {
		writeAnswer(r.answer(), r.caller)
	}
}

// answer returns the complete answer, or nil if it was too large to buffer.
func (r *recorder) answer() *booking.Answer {
	if r.passThrough {
		return nil
	}
	return &booking.Answer{Status: r.head.Status, Header: r.head.Header, Body: r.body}
}

// writeAnswer writes a complete answer to w.
func writeAnswer(answer *booking.Answer, w pipeline.Response) {
	w.Start(pipeline.Head{Status: answer.Status, Header: cloneHeader(answer.Header)})
	// Ignore the error: a caller that disconnected can retry with its key.
	_, _ = w.Write(answer.Body)
	w.Flush()
}

func cloneHeader(h http.Header) http.Header {
	if h == nil {
		return http.Header{}
	}
	return maps.Clone(h)
}
