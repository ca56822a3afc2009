// Package answer writes answers and refusals over HTTP.
package answer

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Writer is a pipeline.Response over an http.ResponseWriter.
type Writer struct {
	http    http.ResponseWriter
	control *http.ResponseController
	req     *pipeline.Request
	started bool
	stream  bool
}

var _ pipeline.Response = (*Writer)(nil)

// NewWriter returns a writer of the answer to req.
func NewWriter(w http.ResponseWriter, req *pipeline.Request) *Writer {
	return &Writer{http: w, control: http.NewResponseController(w), req: req}
}

// Start implements pipeline.Response. It adds the headers that each answer
// bears, unless a gateway that served the request has set them.
func (w *Writer) Start(head pipeline.Head) {
	w.started = true
	w.stream = strings.HasPrefix(head.Header.Get("Content-Type"), "text/event-stream")
	header := w.http.Header()
	maps.Copy(header, head.Header)
	if header.Get(wire.HeaderVerdict) == "" {
		header.Set(wire.HeaderVerdict, verdict.Ran.String())
	}
	stamp(header, w.req)
	w.http.WriteHeader(head.Status)
}

// stamp sets the headers that name the request, the serving region, the
// revision and the path of hops.
func stamp(header http.Header, req *pipeline.Request) {
	self := req.Snapshot.Self
	header.Set(wire.HeaderRequestID, visibleID(req))
	if header.Get(wire.HeaderRegion) == "" {
		header.Set(wire.HeaderRegion, self.Region)
	}
	if header.Get(wire.HeaderRevision) == "" {
		header.Set(wire.HeaderRevision, strconv.FormatUint(req.Snapshot.Config.Revision, 10))
	}
	path := self.VM
	if rest := header.Get(wire.HeaderPath); rest != "" {
		path += "," + rest
	}
	header.Set(wire.HeaderPath, path)
}

// visibleID returns the id that the answer bears.
func visibleID(req *pipeline.Request) string {
	if req.CallerID != "" {
		return req.CallerID
	}
	return req.ID
}

// Write implements pipeline.Response.
func (w *Writer) Write(p []byte) (int, error) { return w.http.Write(p) }

// Flush implements pipeline.Response.
func (w *Writer) Flush() {
	// A failed flush shows in the next write.
	_ = w.control.Flush()
}

// Started implements pipeline.Response.
func (w *Writer) Started() bool { return w.started }

// IsStream reports whether the answer that was started is an event stream.
func (w *Writer) IsStream() bool { return w.stream }

// Problem is the body of a refusal, as in RFC 9457.
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail"`
	Code      verdict.Code `json:"code"`
	Verdict   string       `json:"verdict"`
	Final     bool         `json:"final"`
	RequestID string       `json:"requestId"`
	Entries   []string     `json:"entries,omitempty"`
}

// typePrefix is the prefix of the URI that names the kind of a problem.
const typePrefix = "urn:chestnutspring:problem:"

// ParseProblem reads the body of a refusal. Members that can't be read are
// left empty.
func ParseProblem(body []byte) Problem {
	var p Problem
	// A body that is no problem leaves p as far as it was read.
	_ = json.Unmarshal(body, &p)
	return p
}

func problemOf(r *verdict.Refusal, requestID string) Problem {
	return Problem{
		Type: typePrefix + string(r.Code), Title: http.StatusText(r.Status), Status: r.Status,
		Detail: r.Detail, Code: r.Code, Verdict: r.Verdict.String(), Final: r.Final,
		RequestID: requestID, Entries: r.Entries,
	}
}

// Refuse answers a caller with a refusal. It ends a stream that had begun with
// an error event and breaks any other answer that had begun, so that it can't
// be taken for a whole one.
func Refuse(w *Writer, r *verdict.Refusal) {
	body, err := json.Marshal(problemOf(r, visibleID(w.req)))
	if err != nil {
		// Every field of a Problem can be encoded.
		panic("answer: " + err.Error())
	}
	if w.started {
		refuseStarted(w, body)
		return
	}
	header := w.http.Header()
	stamp(header, w.req)
	header.Set(wire.HeaderVerdict, r.Verdict.String())
	header.Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		header.Set("Retry-After", RetryAfterSeconds(r.RetryAfter))
	}
	w.http.WriteHeader(r.Status)
	// The caller may be gone; nothing is left to do then.
	_, _ = w.http.Write(body)
}

func refuseStarted(w *Writer, body []byte) {
	if !w.stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.http.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
	w.Flush()
}

// RetryAfterSeconds rounds up to whole seconds, the unit of Retry-After.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
