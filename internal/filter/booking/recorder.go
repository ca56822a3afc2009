package bookingfilter

import (
	"maps"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// recorder takes the answer of a run. It holds the answer back until it is
// whole, so that the caller gets nothing that the record lacks. An answer
// larger than wire.MaxAnswerBytes is passed on as it comes and isn't recorded.
type recorder struct {
	to      pipeline.Response
	head    pipeline.Head
	body    []byte
	started bool
	passing bool
}

var _ pipeline.Response = (*recorder)(nil)

func newRecorder(to pipeline.Response) *recorder { return &recorder{to: to} }

// Start implements pipeline.Response.
func (r *recorder) Start(head pipeline.Head) {
	r.started = true
	r.head = pipeline.Head{Status: head.Status, Header: cloneHeader(head.Header)}
}

// Write implements pipeline.Response.
func (r *recorder) Write(p []byte) (int, error) {
	if r.passing {
		// The run goes on when its caller has gone away.
		_, _ = r.to.Write(p)
		return len(p), nil
	}
	r.body = append(r.body, p...)
	if len(r.body) > wire.MaxAnswerBytes {
		r.pass()
	}
	return len(p), nil
}

// Flush implements pipeline.Response.
func (r *recorder) Flush() {
	if r.passing {
		r.to.Flush()
	}
}

// Started implements pipeline.Response.
func (r *recorder) Started() bool { return r.started }

// pass gives up holding the answer.
func (r *recorder) pass() {
	r.passing = true
	r.to.Start(r.head)
	_, _ = r.to.Write(r.body)
	r.body = nil
}

// deliver passes a whole answer on.
func (r *recorder) deliver() {
	if !r.passing {
		send(r.answer(), r.to)
	}
}

// answer returns the whole answer, or nil if it was too large to be held.
func (r *recorder) answer() *booking.Answer {
	if r.passing {
		return nil
	}
	return &booking.Answer{Status: r.head.Status, Header: r.head.Header, Body: r.body}
}

// send writes an answer.
func send(answer *booking.Answer, w pipeline.Response) {
	w.Start(pipeline.Head{Status: answer.Status, Header: cloneHeader(answer.Header)})
	// A caller that has gone away asks again with its key.
	_, _ = w.Write(answer.Body)
	w.Flush()
}

func cloneHeader(h http.Header) http.Header {
	if h == nil {
		return http.Header{}
	}
	return maps.Clone(h)
}
