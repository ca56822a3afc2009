package booking

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Fingerprint identifies the content of a request. A key is bound to one
// fingerprint.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of the body and the fields. Each field
// is hashed with its length, so that different fields never yield the same
// input.
func FingerprintOf(body []byte, fields ...string) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(f)))
		h.Write(size[:])
		h.Write([]byte(f))
	}
	h.Write(body)
	var out Fingerprint
	h.Sum(out[:0])
	return out
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome is the result of the only run of a key, or of closing it.
type Outcome struct {
	// Refusal is nil if the request ran and its answer was complete.
	Refusal *verdict.Refusal
	// Answer is nil if there is none or if it has been evicted.
	Answer *Answer
}

// Record is the owner's record of one key.
type Record struct {
	team        string
	fingerprint Fingerprint
	// unbound means that the key was closed without a fingerprint, so that
	// attempts with any content match.
	unbound bool

	done    chan struct{}
	refusal *verdict.Refusal // written before done is closed
	answer  atomic.Pointer[Answer]
}

func newRecord(team string, fingerprint Fingerprint) *Record {
	return &Record{team: team, fingerprint: fingerprint, done: make(chan struct{})}
}

// Done returns a channel that is closed when the outcome is available.
func (r *Record) Done() <-chan struct{} { return r.done }

// Team returns the team of the request.
func (r *Record) Team() string { return r.team }

// Outcome returns the outcome. It must be called after Done is closed.
func (r *Record) Outcome() Outcome {
	return Outcome{Refusal: r.refusal, Answer: r.answer.Load()}
}

// NeverRan reports whether the key has been closed without a run. It is false
// while the request is running.
func (r *Record) NeverRan() bool {
	select {
	case <-r.done:
		return r.refusal != nil && r.refusal.Verdict == verdict.NotRun
	default:
		return false
	}
}
