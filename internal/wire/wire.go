// Package wire names the HTTP headers, paths and limits that gateways share
// with callers and with one another.
package wire

import "time"

// Headers of callers' requests.
const (
	// HeaderTeam names the caller's team.
	HeaderTeam = "Chestnut-Team"
	// HeaderTimeout is the remaining time in milliseconds.
	HeaderTimeout = "Request-Timeout"
	// HeaderIdempotencyKey is the key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority is "high", "normal" or "low".
	HeaderPriority = "Chestnut-Priority"
	// HeaderRequestID names the request. A gateway draws one if it is absent.
	HeaderRequestID = "X-Request-Id"
)

// Headers of answers.
const (
	HeaderVerdict   = "Verdict"
	HeaderRegion    = "Chestnut-Region"
	HeaderRevision  = "Chestnut-Revision"
	HeaderPath      = "Chestnut-Path"
	HeaderKeyPrefix = "Chestnut-Key-Prefix"
	HeaderBackend   = "Chestnut-Backend"
)

// Headers between gateways.
const (
	// HeaderHop is the kind of the hop, "owner" or "region".
	HeaderHop = "Chestnut-Hop"
	// HeaderVisitedVMs lists the VMs that handled the request, comma separated.
	HeaderVisitedVMs = "Chestnut-Trail"
	// HeaderRequestTarget is the path that the caller asked for.
	HeaderRequestTarget = "Chestnut-Target"
	// HeaderIncarnation is the sender's incarnation.
	HeaderIncarnation = "Chestnut-Incarnation"
	// HeaderRefusal carries a JSON encoded refusal between gateways.
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

// Limits on sizes.
const (
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 32 << 10
	// MaxAnswerBytes bounds an answer that is held for repeats.
	MaxAnswerBytes = 1 << 20
)

// DefaultTimeout is the deadline of a request that names none.
const DefaultTimeout = 30 * time.Second

// MaxTimeout bounds the deadline that a caller may ask for.
const MaxTimeout = 10 * time.Minute
