// Package client sends requests to chestnutspring's entry VMs.
//
// It finds the entry VMs, makes idempotency keys, repeats only what may be
// repeated and obeys verdicts and Retry-After.
package client

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"
)

const (
	// DefaultMaxAttempts bounds the tries of an idempotent request.
	DefaultMaxAttempts = 3
	// DefaultTimeout bounds a request whose context has no deadline.
	DefaultTimeout = 30 * time.Second
	// shortestPause is the time before a try after a failure without
	// Retry-After.
	shortestPause = 200 * time.Millisecond
)

// Config holds the settings of a Client. Directory or Entries is needed.
type Config struct {
	// Directory is the URL of the platform's directory of entry addresses.
	Directory string
	// Region is the caller's region, whose entries are asked first.
	Region string
	// Entries are first addresses of entry VMs, as host:port.
	Entries []string
	// Team is the caller's team.
	Team string
	// HTTP is used for all calls; nil means http.DefaultClient. Its transport
	// must not repeat requests on its own.
	HTTP *http.Client
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// MaxAttempts bounds the tries of an idempotent request; zero means
	// DefaultMaxAttempts.
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

// newID returns a random id for a request or the unique part of a key.
func newID() string { return rand.Text() }
