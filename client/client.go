// Package client sends requests to chestnutspring's entry VMs.
//
// It discovers the entry VMs, creates idempotency keys, retries only requests
// that are safe to retry, and honors verdicts and Retry-After.
package client

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"
)

const (
	// DefaultMaxAttempts is the default of Config.MaxAttempts.
	DefaultMaxAttempts = 3
	// DefaultTimeout bounds a request whose context has no deadline.
	DefaultTimeout = 30 * time.Second
	// minRetryDelay is the delay before a retry if the failure has no
	// Retry-After or a shorter one.
	minRetryDelay = 200 * time.Millisecond
)

// Config holds the settings of a Client. At least one of Directory and Entries
// is required.
type Config struct {
	// Directory is the URL of the platform's directory of entry addresses.
	Directory string
	// Region is the caller's region. Its entry VMs are tried first when entries
	// are looked up in the directory.
	Region string
	// Entries are the initial addresses of entry VMs, as host:port.
	Entries []string
	// Team is the caller's team.
	Team string
	// HTTP is used for all calls; nil means http.DefaultClient. Its transport
	// must not retry requests by itself.
	HTTP *http.Client
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// MaxAttempts is the maximum number of attempts of an idempotent request;
	// zero means DefaultMaxAttempts.
	MaxAttempts int
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	config Config

	mu      sync.Mutex // not held across I/O
	entries []Entry
	expires time.Time
}

// New returns a Client.
func New(config Config) *Client {
	if config.HTTP == nil {
		config.HTTP = http.DefaultClient
	}
	if config.Scheme == "" {
		config.Scheme = "http"
	}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = DefaultMaxAttempts
	}
	return &Client{config: config}
}

// newID returns a random request ID or the unique suffix of an idempotency key.
func newID() string { return rand.Text() }
