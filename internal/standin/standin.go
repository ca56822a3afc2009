// Package standin has the common parts of the stand-ins, which simulate the
// systems around the gateways: an HTTP server, the tokens of verifiable answers
// and a log of received requests.
//
// Stand-ins are for tests, demonstrations and experiments only.
package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i, counted from 1, of an engine's answer to the prompt. It
// depends only on the arguments, so that a caller can compute the expected answer.
func Token(prompt string, i int) string {
	sum := xxhash.Sum64String(strconv.Itoa(i) + "/" + prompt)
	return "t" + strconv.FormatUint(sum%0xfffff, 36) + " "
}

// Answer returns the first n tokens of the answer to the prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// Digest returns the SHA-256 digest of a body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// RequestRecord describes one request that a stand-in received.
type RequestRecord struct {
	At        time.Time `json:"at"`
	Team      string    `json:"team"`
	RequestID string    `json:"requestId"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	// Key is the idempotency key, or "".
	Key string `json:"key,omitempty"`
	// Digest is the SHA-256 digest of the body in hexadecimal.
	Digest string `json:"digest"`
}

// RequestLog records every request that a stand-in received. Its methods are
// safe for concurrent use.
type RequestLog struct {
	mu      sync.Mutex
	records []RequestRecord
}

// Add records a request.
func (a *RequestLog) Add(s RequestRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records = append(a.records, s)
}

// All returns a copy of the records in order of arrival.
func (a *RequestLog) All() []RequestRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]RequestRecord(nil), a.records...)
}
