// Package wire defines the HTTP headers, paths and limits of the protocols
// between callers and gateways and among gateways.
package wire

import "time"

// Headers of callers' requests.
const (
	// HeaderTeam names the caller's team.
	HeaderTeam = "Chestnut-Team"
	// HeaderTimeout is the time until the deadline in milliseconds.
	HeaderTimeout = "Request-Timeout"
	// HeaderIdempotencyKey is the idempotency key of a request that must not be
	// executed twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority is "high", "normal" or "low".
	HeaderPriority = "Chestnut-Priority"
	// HeaderRequestID is the request ID. A gateway generates one if it is absent.
	HeaderRequestID = "X-Request-Id"
)

// Headers of responses.
const (
	HeaderVerdict  = "Verdict"
	HeaderRegion   = "Chestnut-Region"
	HeaderRevision = "Chestnut-Revision"
	// HeaderPath is the comma-separated list of VMs that the response passed
	// through, beginning with the entry VM.
	HeaderPath      = "Chestnut-Path"
	HeaderKeyPrefix = "Chestnut-Key-Prefix"
	HeaderBackend   = "Chestnut-Backend"
)

// Headers between gateways.
const (
	// HeaderHop is the kind of the hop, "owner" or "region".
	HeaderHop = "Chestnut-Hop"
	// HeaderVisitedVMs is the comma-separated list of VMs that the request has
	// already visited.
	HeaderVisitedVMs = "Chestnut-Trail"
	// HeaderRequestTarget is the method and path of the caller's request,
	// separated by a space.
	HeaderRequestTarget = "Chestnut-Target"
	// HeaderIncarnation is the sender's incarnation.
	HeaderIncarnation = "Chestnut-Incarnation"
	// HeaderRefusal is a JSON-encoded refusal.
	HeaderRefusal = "Chestnut-Refusal"
)

// Paths for callers and between gateways.
const (
	PathEntries         = "/v1/entries"
	PathChatCompletions = "/v1/chat/completions"
	PathServices        = "/v1/services/"
	PathBookings        = "/v1/bookings/"
	PathForward         = "/peer/v1/forward"
)

// Size limits.
const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes is the maximum size of the headers of a request.
	MaxHeaderBytes = 32 << 10
	// MaxAnswerBytes is the maximum size of a response that is cached for
	// repeated attempts.
	MaxAnswerBytes = 1 << 20
)

// DefaultTimeout is the timeout of a request without a Request-Timeout header.
const DefaultTimeout = 30 * time.Second

// MaxTimeout is the maximum timeout of a request. Longer ones are capped.
const MaxTimeout = 10 * time.Minute
