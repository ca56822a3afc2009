package engine

import "time"

// Config describes an engine. The zero value of each field gets a default.
type Config struct {
	// Name is the name of the backend server.
	Name string
	// Loaded lists the models, as "model@version", that are loaded at first.
	Loaded []string
	// Role is "serve" or "standby".
	Role string
	// Concurrency is the number of streams in a batch.
	Concurrency int
	// MaxQueue is how many requests may wait for the batch.
	MaxQueue int
	// TokensPerSecond is the rate of a stream that is alone in the batch.
	TokensPerSecond float64
	// BatchSlowdown is the relative time that each further stream of the
	// batch adds to every token.
	BatchSlowdown float64
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64
	// CacheTokens is the memory of the prefix cache, in tokens.
	CacheTokens int
	// LoadLag is the age of the load that /load reports.
	LoadLag time.Duration
	// EventLag is the age at which cache events are published.
	EventLag time.Duration
	// EventGap drops each EventGap-th cache event; zero drops none.
	EventGap uint64
	// Linger is how long a stream lives on after its connection broke.
	Linger time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// Weights is the base URL of the weight store; without one, loads are
	// done at once.
	Weights string
	// Tick is the time between two steps of the batch.
	Tick time.Duration
}

// Defaults of Config.
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

// withDefaults returns the configuration with defaults filled in.
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
