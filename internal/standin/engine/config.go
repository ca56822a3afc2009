package engine

import "time"

// Config configures an engine. Zero values of Role, Concurrency, MaxQueue, the
// rates and slowdown, CacheTokens, the lags, Linger and Tick mean a default.
type Config struct {
	// Name is the name of the backend server.
	Name string
	// Loaded lists the models that are loaded initially, as "model@version".
	Loaded []string
	// Role is "serve" or "standby".
	Role string
	// Concurrency is the maximum number of streams in the batch.
	Concurrency int
	// MaxQueue is the maximum number of queued requests.
	MaxQueue int
	// TokensPerSecond is the decoding rate of a stream that is alone in the
	// batch.
	TokensPerSecond float64
	// BatchSlowdown is the relative increase of the time per token for each
	// additional stream in the batch.
	BatchSlowdown float64
	// PrefillTokensPerSecond is the prefill rate of each prompt.
	PrefillTokensPerSecond float64
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// LoadLag is the age of the load that GET /load reports.
	LoadLag time.Duration
	// EventLag is the age at which cache events are published.
	EventLag time.Duration
	// EventGap drops every EventGap-th cache event; 0 drops none.
	EventGap uint64
	// Linger is how long a stream without a connection is kept, so that it
	// can be resumed.
	Linger time.Duration
	// ChecksFencing makes the engine refuse orders with an outdated fencing
	// number.
	ChecksFencing bool
	// Weights is the base URL of the weight store. If it is "", models are
	// loaded without delay.
	Weights string
	// Tick is the time between two simulation steps of the batch.
	Tick time.Duration
}

const (
	defaultConcurrency     = 8
	defaultMaxQueue        = 256
	defaultTokensPerSecond = 60
	defaultBatchSlowdown   = 0.08
	defaultPrefillRate     = 2000
	defaultCacheTokens     = 20_000
	defaultLoadLag         = 300 * time.Millisecond
	defaultEventLag        = 500 * time.Millisecond
	defaultLinger          = 3 * time.Second
	defaultTick            = 10 * time.Millisecond
)

// withDefaults returns a copy of the configuration with defaults filled in.
func (c Config) withDefaults() Config {
	setDefault(&c.Role, "serve")
	setDefault(&c.Concurrency, defaultConcurrency)
	setDefault(&c.MaxQueue, defaultMaxQueue)
	setDefault(&c.TokensPerSecond, defaultTokensPerSecond)
	setDefault(&c.BatchSlowdown, defaultBatchSlowdown)
	setDefault(&c.PrefillTokensPerSecond, defaultPrefillRate)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.LoadLag, defaultLoadLag)
	setDefault(&c.EventLag, defaultEventLag)
	setDefault(&c.Linger, defaultLinger)
	setDefault(&c.Tick, defaultTick)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
