// Package pipeline defines the request, the handler and the filter from which
// the path of a request is built.
package pipeline

import (
	"context"
	"io"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Hop is how a request reached this gateway.
type Hop string

// The kinds of hops. Each kind is used at most once, in this order.
const (
	HopEntry  Hop = "entry"
	HopOwner  Hop = "owner"
	HopRegion Hop = "region"
)

// Priority is the class of a request.
type Priority int

// The priorities, highest first.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	PriorityLow
)

// String returns the form of the priority used in headers.
func (p Priority) String() string {
	switch p {
	case PriorityHigh:
		return "high"
	case PriorityLow:
		return "low"
	default:
		return "normal"
	}
}

// ParsePriority reads the form that String writes. Anything else is normal.
func ParsePriority(s string) Priority {
	switch s {
	case "high":
		return PriorityHigh
	case "low":
		return PriorityLow
	default:
		return PriorityNormal
	}
}

// Request is one request on its way through the filters. Filters fill in the
// fields that they own; nothing else is changed.
type Request struct {
	// ID names the request in the whole system. It is drawn at the entry, so
	// that no two callers share one.
	ID string
	// CallerID is the id that the caller chose, or "". Only the answer to the
	// caller bears it.
	CallerID string
	Snapshot *snapshot.Snapshot
	Hop      Hop
	// VisitedVMs names the VMs that handled the request before this one.
	VisitedVMs []string
	// Sender is the incarnation of the gateway that sent the hop, or "".
	Sender string

	Team string
	// Target is the name of the model or service.
	Target string
	// Model is set for model requests; Service and Call for service requests.
	Model   *objects.Model
	Service *objects.Service
	Call    *objects.Call

	Method string
	// Path is the path that the backend server gets, with the query.
	Path   string
	Header http.Header
	// RawBody is the body before the body filter has read it.
	RawBody io.Reader
	Body    []byte

	// Chat is set for model requests.
	Chat Chat

	Priority Priority
	// Deadline is on this machine's boot-time clock.
	Deadline clock.Instant
	// Idempotent says whether the request may be repeated.
	Idempotent bool
	// Key is the idempotency key of a request that isn't idempotent.
	Key string
	// BeforeSend, if set, is asked right before the first byte goes to a
	// backend server or to another region. After a refusal nothing may be sent.
	BeforeSend func() *verdict.Refusal
	// KeyChecked means that the booking filter has taken the request.
	KeyChecked bool
}

// CheckBeforeSend asks BeforeSend, if it is set.
func (r *Request) CheckBeforeSend() *verdict.Refusal {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// Chat is what the decisions need to know of a chat completion.
type Chat struct {
	Stream bool
	// MaxTokens is the bound on the tokens of the answer.
	MaxTokens int
	// PromptTokens is an estimate from the size of the prompt.
	PromptTokens int
	// Prefix identifies the leading part of the prompt for cache affinity.
	Prefix uint64
}

// Head starts an answer.
type Head struct {
	Status int
	Header http.Header
}

// Response takes an answer. Start is called at most once, before Write. After
// Start no other attempt may answer.
type Response interface {
	Start(head Head)
	Write(p []byte) (int, error)
	Flush()
	// Started reports whether Start was called.
	Started() bool
}

// Handler answers a request, or returns a refusal. A refusal after Start means
// that the answer is cut.
type Handler interface {
	Handle(ctx context.Context, req *Request, w Response) *verdict.Refusal
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, req *Request, w Response) *verdict.Refusal

var _ Handler = HandlerFunc(nil)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, req *Request, w Response) *verdict.Refusal {
	return f(ctx, req, w)
}

// Filter wraps a handler.
type Filter func(next Handler) Handler

// Chain returns the handler that passes a request through the filters in
// order and then to last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// BackendSender sends a request to one backend server and passes the answer
// to w. Its refusal is NotRun only where the request did not run and never
// will.
type BackendSender interface {
	SendBackend(ctx context.Context, req *Request, server *objects.BackendServer, w Response) *verdict.Refusal
}

// PeerSender passes a request to another gateway over a typed hop. A request
// that isn't idempotent is written to the wire at most once.
type PeerSender interface {
	SendPeer(ctx context.Context, req *Request, hop Hop, to *snapshot.Member, w Response) *verdict.Refusal
}
