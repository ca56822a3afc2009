package booking

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Fingerprint identifies the content of a request: a key belongs to one.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of the fields. Fields are told apart
// by their lengths.
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

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome is how the one run of a key ended.
type Outcome struct {
	// Refusal is nil if the request ran and its answer was whole.
	Refusal *verdict.Refusal
	// Answer is nil if there is none or if it is no longer held.
	Answer *Answer
}

// Record is what the owner knows of one key.
type Record struct {
	team        string
	fingerprint Fingerprint
	// unbound means that the key was closed before its content was known.
	unbound bool

	done    chan struct{}
	refusal *verdict.Refusal // written before done is closed
	answer  atomic.Pointer[Answer]
}

func newRecord(team string, fingerprint Fingerprint) *Record {
	return &Record{team: team, fingerprint: fingerprint, done: make(chan struct{})}
}

// Done is closed when the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Team returns the team whose request the record belongs to.
func (r *Record) Team() string { return r.team }

// Outcome returns the outcome. It must be called after Done is closed.
func (r *Record) Outcome() Outcome {
	return Outcome{Refusal: r.refusal, Answer: r.answer.Load()}
}

// NeverRan reports whether the key is known to be closed without a run.
func (r *Record) NeverRan() bool {
	select {
	case <-r.done:
		return r.refusal != nil && r.refusal.Verdict == verdict.NotRun
	default:
		return false
	}
}
