// Package answer writes responses and refusals over HTTP.
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

// NewWriter returns a Writer for the response to req.
func NewWriter(w http.ResponseWriter, req *pipeline.Request) *Writer {
	return &Writer{http: w, control: http.NewResponseController(w), req: req}
}

// Start implements pipeline.Response. It adds the headers common to all
// responses. The verdict, region and revision stay as they are if another
// gateway served the request and set them.
func (w *Writer) Start(head pipeline.Head) {
	w.started = true
	w.stream = strings.HasPrefix(head.Header.Get("Content-Type"), "text/event-stream")
	header := w.http.Header()
	maps.Copy(header, head.Header)
	if header.Get(wire.HeaderVerdict) == "" {
		header.Set(wire.HeaderVerdict, verdict.Ran.String())
	}
	setCommonHeaders(header, w.req)
	w.http.WriteHeader(head.Status)
}

// setCommonHeaders sets the request id, the serving region, the configuration
// revision and the path of VMs. This VM is put in front of the path.
func setCommonHeaders(header http.Header, req *pipeline.Request) {
	self := req.Snapshot.Self
	header.Set(wire.HeaderRequestID, responseID(req))
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

// responseID returns the request id for the response: the caller's own, if it
// sent one.
func responseID(req *pipeline.Request) string {
	if req.CallerID != "" {
		return req.CallerID
	}
	return req.ID
}

// Write implements pipeline.Response.
func (w *Writer) Write(p []byte) (int, error) { return w.http.Write(p) }

// Flush implements pipeline.Response.
func (w *Writer) Flush() {
	// If the flush fails, the next write returns the error.
	_ = w.control.Flush()
}

// Started implements pipeline.Response.
func (w *Writer) Started() bool { return w.started }

// IsStream reports whether the response is a stream of server-sent events. It is
// false before Start.
func (w *Writer) IsStream() bool { return w.stream }

// Problem is the body of a refusal: problem details after RFC 9457.
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

// problemTypePrefix comes before the code in a problem's type URI.
const problemTypePrefix = "urn:chestnutspring:problem:"

// ParseProblem decodes the body of a refusal. Fields that can't be decoded are
// left empty.
func ParseProblem(body []byte) Problem {
	var p Problem
	// An error leaves p with the fields decoded so far.
	_ = json.Unmarshal(body, &p)
	return p
}

func newProblem(r *verdict.Refusal, requestID string) Problem {
	return Problem{
		Type: problemTypePrefix + string(r.Code), Title: http.StatusText(r.Status), Status: r.Status,
		Detail: r.Detail, Code: r.Code, Verdict: r.Verdict.String(), Final: r.Final,
		RequestID: requestID, Entries: r.Entries,
	}
}

// Refuse sends a refusal to the caller. If the response has started, Refuse
// ends an event stream with an error event and aborts any other response, so
// that the caller can't mistake it for a complete one.
func Refuse(w *Writer, r *verdict.Refusal) {
	body, err := json.Marshal(newProblem(r, responseID(w.req)))
	if err != nil {
		// Every field of a Problem can be encoded.
		panic("answer: " + err.Error())
	}
	if w.started {
		refuseAfterStart(w, body)
		return
	}
	header := w.http.Header()
	setCommonHeaders(header, w.req)
	header.Set(wire.HeaderVerdict, r.Verdict.String())
	header.Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		header.Set("Retry-After", RetryAfterSeconds(r.RetryAfter))
	}
	w.http.WriteHeader(r.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.http.Write(body)
}

// refuseAfterStart ends a response that has started.
func refuseAfterStart(w *Writer, body []byte) {
	if !w.stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.http.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
	w.Flush()
}

// RetryAfterSeconds returns the value of a Retry-After header: d rounded up to
// whole seconds.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
