package relay

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// cutReason is why a response that had begun did not reach its end.
type cutReason string

// The reasons.
const (
	cutByStop       cutReason = "planned-stop"
	cutByCaller     cutReason = "caller-left"
	cutByWriteLimit cutReason = "write-deadline"
	cutByDeadline   cutReason = "deadline"
	cutWithoutEvent cutReason = "no-event"
	cutByServer     cutReason = "server-broke"
	cutByHop        cutReason = "hop-broke"
	cutByPanic      cutReason = "panic"
)

// cutReason returns why the response was cut, or "" if it is complete or has not begun. At
// the VM that received a hop, the caller is the other VM.
func (x *transaction) cutReason(ctx context.Context, refusal *verdict.Refusal) cutReason {
	switch {
	case refusal == nil || !x.w.Started():
		return ""
	case endedByStop(ctx):
		return cutByStop
	case endedWithoutEvent(ctx):
		return cutWithoutEvent
	case x.writeError() != nil:
		return writeFailure(x.writeError())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cutByDeadline
	case ctx.Err() != nil:
		return cutByCaller
	case x.sentToVM:
		return cutByHop
	default:
		return cutByServer
	}
}

// writeError returns the error of the first write to the caller that failed, or nil.
func (x *transaction) writeError() error {
	if w, ok := x.w.(*Writer); ok {
		return w.err
	}
	return nil
}

// writeFailure returns why a write to the caller failed.
func writeFailure(err error) cutReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return cutByWriteLimit
	}
	return cutByCaller
}

// countCut counts a response that was cut.
func (m *Metrics) countCut(reason cutReason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("cut").Inc(1)
}

// finish sends what is buffered of a whole response or refusal to the peer, and logs if that
// fails.
func (r *Relay) finish(out *Writer, id string) {
	out.End()
	out.Flush()
	if out.err == nil {
		return
	}
	reason := writeFailure(out.err)
	r.Metrics.countCut(reason)
	r.Log.Warn("response not delivered", "request", id, "cut", reason, "error", out.err)
}

// refuseAfterPanic must be deferred by the handlers of requests. It logs a panic, so that one
// request's fault is known, and refuses the request; a response that has begun is cut.
func (r *Relay) refuseAfterPanic(out *Writer, id *string) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v) // a response that has begun is cut, and logged already
	}
	r.Metrics.countCut(cutByPanic)
	r.Log.Error("request ended by a fault in the program", "request", *id, "panic", v, "stack", string(debug.Stack()))
	if out.Started() {
		panic(http.ErrAbortHandler)
	}
	out.beforeHeader = nil
	out.Start(pipeline.Head{Status: http.StatusInternalServerError, Header: http.Header{"Content-Length": {"0"}, "Connection": {"close"}}})
}
