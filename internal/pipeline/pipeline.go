// Package pipeline defines requests, responses, handlers and the filters that wrap
// handlers.
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

// Hop is the way by which a request reached this gateway.
type Hop string

// The hop types. A request takes each at most once, in this order.
const (
	// HopEntry means that the request came directly from its caller.
	HopEntry Hop = "entry"
	// HopOwner means that it was forwarded to this gateway as the owner of its
	// idempotency key.
	HopOwner Hop = "owner"
	// HopRegion means that it was forwarded by a gateway of another region.
	HopRegion Hop = "region"
)

// Priority is the priority class of a request.
type Priority int

// The priorities, highest first.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	PriorityLow
)

// String returns the header value of the priority.
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

// ParsePriority parses the result of Priority.String. Any other value is normal.
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

// Request is one request as it passes through the filters. A filter sets only the
// fields that it owns.
type Request struct {
	// ID identifies the request in the whole system. The entry generates it, so
	// that requests of different callers can't have the same one.
	ID string
	// CallerID is the request ID chosen by the caller, or "". It is used only in
	// the response to the caller.
	CallerID string
	Snapshot *snapshot.Snapshot
	Hop      Hop
	// VisitedVMs are the names of the VMs that handled the request before this one.
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
	// Path is the path sent to the backend server, including the query.
	Path   string
	Header http.Header
	// RawBody is the unread body; the body filter reads it into Body.
	RawBody io.Reader
	// BodyBytes is the length of RawBody that the sender states, or -1.
	BodyBytes int64
	// InterruptBody, if set, makes a read of RawBody fail.
	InterruptBody func()
	Body          []byte

	// Chat is set for model requests.
	Chat Chat

	Priority Priority
	// Deadline is an instant of this machine's boot-time clock.
	Deadline clock.Instant
	// Idempotent reports whether the request may be sent more than once.
	Idempotent bool
	// Key is the idempotency key of a request that isn't idempotent.
	Key string
	// BeforeSend, if not nil, is called right before the first byte is sent to a
	// backend server or to another region. If it returns a refusal, nothing may
	// be sent.
	BeforeSend func() *verdict.Refusal
	// KeyChecked means that the request has reached the booking filter, which is
	// then responsible for the verdict of refusals.
	KeyChecked bool
}

// CheckBeforeSend calls BeforeSend, if set, and returns its refusal.
func (r *Request) CheckBeforeSend() *verdict.Refusal {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// Chat holds the properties of a chat completion used for routing and limits.
type Chat struct {
	Stream bool
	// MaxTokens is the maximum number of output tokens.
	MaxTokens int
	// PromptTokens is an estimate from the size of the prompt.
	PromptTokens int
	// Prefix is a hash of the model and the first message, for cache affinity.
	Prefix uint64
}

// Head is the status and the header of a response.
type Head struct {
	Status int
	Header http.Header
}

// Response receives the response to a request. Start is called at most once and
// before Write. After Start, no other attempt may write a response.
type Response interface {
	Start(head Head)
	Write(p []byte) (int, error)
	Flush()
	// Started reports whether Start was called.
	Started() bool
}

// Handler writes the response to a request or returns a refusal. A refusal after
// Response.Start means that the response was interrupted.
type Handler interface {
	Handle(ctx context.Context, req *Request, w Response) *verdict.Refusal
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, req *Request, w Response) *verdict.Refusal

var _ Handler = HandlerFunc(nil)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, req *Request, w Response) *verdict.Refusal {
	return f(ctx, req, w)
}

// Filter wraps a handler.
type Filter func(next Handler) Handler

// Chain returns a handler that passes a request through the filters in order and
// then to last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// BackendSender sends a request to one backend server and passes the response to
// w. The verdict of its refusal is NotRun only if the request was not executed and
// never will be.
type BackendSender interface {
	SendBackend(ctx context.Context, req *Request, server *objects.BackendServer, w Response) *verdict.Refusal
}

// PeerSender forwards a request to another gateway by the given hop type. A
// non-idempotent request is written to the wire at most once.
type PeerSender interface {
	SendPeer(ctx context.Context, req *Request, hop Hop, to *snapshot.Member, w Response) *verdict.Refusal
}
