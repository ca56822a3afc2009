package booking

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const (
	// shardCount is the number of shards, which reduce lock contention.
	shardCount = 64
	// DefaultMaxRecords is the default maximum number of records in a table.
	DefaultMaxRecords = 30_000
	// DefaultMaxCachedBytes is the default maximum total size of the answers
	// cached for repeated attempts.
	DefaultMaxCachedBytes = 8 << 20
	// teamShareDivisor sets the default limit of one team to
	// 1/teamShareDivisor of the records.
	teamShareDivisor = 4
	// answerOverheadBytes is added to the body size of each cached answer, for
	// its headers and bookkeeping.
	answerOverheadBytes = 512
)

// Decision is the action that an attempt must take.
type Decision int

// Decisions.
const (
	// Run means that this attempt, and no other, may run the request. The
	// attempt must call Finish.
	Run Decision = iota
	// Wait means that the outcome is in the record once its Done is closed.
	Wait
	// Mismatch means that the key belongs to a request with different content
	// or of another team.
	Mismatch
	// Expired means that the key's window has passed. The key is closed
	// permanently.
	Expired
	// Evicted means that the key's window has passed and any record of it has
	// been evicted, so that it's unknown whether the request ran.
	Evicted
	// Full means that the key's epoch is closed to new keys, for all teams or
	// for this team, because the table reached a limit. The key is closed
	// permanently.
	Full
)

// TableConfig configures a Table. Zero limits mean the defaults.
type TableConfig struct {
	Issuer     *Issuer
	Now        clock.Clock
	MaxRecords int
	// MaxTeamRecords limits the records of one team; zero means a quarter of
	// MaxRecords.
	MaxTeamRecords int
	// MaxCachedBytes limits the total size of the cached answers.
	MaxCachedBytes int
}

// Table holds the records of the keys that this incarnation owns.
type Table struct {
	issuer         *Issuer
	now            clock.Clock
	maxRecords     int64
	maxTeamRecords int64
	// all and teams count the records in total and by team.
	all   quota
	teams sync.Map // team -> *quota
	// retention is the longest key window seen plus wire.MaxTimeout, in
	// nanoseconds.
	retention atomic.Int64
	// evictedBefore is the oldest epoch whose records haven't been evicted.
	evictedBefore atomic.Uint64
	answers       answerCache
	shards        [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	epochs map[uint64]map[string]*Record
}

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	if config.MaxRecords == 0 {
		config.MaxRecords = DefaultMaxRecords
	}
	if config.MaxTeamRecords == 0 {
		config.MaxTeamRecords = max(1, config.MaxRecords/teamShareDivisor)
	}
	if config.MaxCachedBytes == 0 {
		config.MaxCachedBytes = DefaultMaxCachedBytes
	}
	t := &Table{
		issuer: config.Issuer, now: config.Now,
		maxRecords: int64(config.MaxRecords), maxTeamRecords: int64(config.MaxTeamRecords),
	}
	t.answers.maxBytes = config.MaxCachedBytes
	t.retention.Store(int64(wire.MaxTimeout))
	for i := range t.shards {
		t.shards[i].epochs = map[uint64]map[string]*Record{}
	}
	return t
}

// Begin records an attempt with a key issued by the table's issuer. The window
// is the validity of the key. The record is nil for Mismatch, Expired, Evicted
// and Full.
func (t *Table) Begin(key Key, team string, fingerprint Fingerprint, window time.Duration) (*Record, Decision) {
	t.raiseRetention(window)
	t.evictExpired()
	text := key.String()
	s := t.shardOf(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.epochs[key.Epoch][text]; record != nil {
		return record.decideRepeat(team, fingerprint)
	}
	if key.Epoch < t.evictedBefore.Load() {
		return nil, Evicted
	}
	if t.isClosed(key, team) || t.closeIfNoRoom(team) {
		return nil, Full
	}
	record := newRecord(team, fingerprint)
	t.insert(s, key, text, record)
	if t.now().Sub(t.issuer.Expires(key, window)) > 0 {
		t.Finish(record, Outcome{Refusal: ClosedRefusal()})
		return nil, Expired
	}
	return record, Run
}

// Close closes the key, unless an attempt was recorded before. It returns the
// key's record and Wait; nil and Full if the key is closed without a record; or
// nil and Evicted if the outcome is unknown.
func (t *Table) Close(key Key, team string) (*Record, Decision) {
	text := key.String()
	s := t.shardOf(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.epochs[key.Epoch][text]; record != nil {
		return record, Wait
	}
	if key.Epoch < t.evictedBefore.Load() {
		return nil, Evicted
	}
	if t.isClosed(key, team) || t.closeIfNoRoom(team) {
		return nil, Full
	}
	record := newRecord(team, Fingerprint{})
	record.unbound = true
	t.insert(s, key, text, record)
	t.Finish(record, Outcome{Refusal: ClosedRefusal()})
	return record, Wait
}

// Find returns the record of the team's key and Wait; nil and Run if no attempt
// has been recorded; nil and Full if the key is closed without a record; or nil
// and Evicted if the outcome is unknown.
func (t *Table) Find(key Key, team string) (*Record, Decision) {
	text := key.String()
	s := t.shardOf(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.epochs[key.Epoch][text]; record != nil {
		return record, Wait
	}
	switch {
	case key.Epoch < t.evictedBefore.Load():
		return nil, Evicted
	case t.isClosed(key, team):
		return nil, Full
	default:
		return nil, Run
	}
}

// Expires returns the end of the key's validity for the given window.
func (t *Table) Expires(key Key, window time.Duration) clock.Instant {
	return t.issuer.Expires(key, window)
}

// Size returns the number of records and the size of the cached answers.
func (t *Table) Size() (records int, cachedBytes int) {
	return int(t.all.count.Load()), t.answers.size()
}

// Finish records the outcome of the run and wakes the waiting attempts. It must
// be called once, by the attempt whose decision was Run.
func (t *Table) Finish(record *Record, outcome Outcome) {
	if outcome.Refusal == nil && outcome.Answer != nil {
		record.answer.Store(outcome.Answer)
		t.answers.add(record, len(outcome.Answer.Body)+answerOverheadBytes)
	}
	record.refusal = outcome.Refusal
	close(record.done)
}

// decideRepeat returns the decision for an attempt whose key has a record.
func (r *Record) decideRepeat(team string, fingerprint Fingerprint) (*Record, Decision) {
	if !r.unbound && (r.team != team || r.fingerprint != fingerprint) {
		return nil, Mismatch
	}
	return r, Wait
}

func (t *Table) insert(s *shard, key Key, text string, record *Record) {
	records := s.epochs[key.Epoch]
	if records == nil {
		records = map[string]*Record{}
		s.epochs[key.Epoch] = records
	}
	records[text] = record
	t.all.count.Add(1)
	t.quotaOf(record.team).count.Add(1)
}

// evictExpired removes the records of epochs that are older than the retention.
// It raises evictedBefore first, so that no attempt treats an evicted key as a
// new one.
func (t *Table) evictExpired() {
	age := t.now().Sub(t.issuer.start) - time.Duration(t.retention.Load())
	if age < EpochLength {
		return
	}
	before := uint64(age / EpochLength)
	if !storeMax(&t.evictedBefore, before) {
		return
	}
	for i := range t.shards {
		t.evictEpochs(&t.shards[i], before)
	}
}

func (t *Table) evictEpochs(s *shard, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for epoch, records := range s.epochs {
		if epoch >= before {
			continue
		}
		t.all.count.Add(-int64(len(records)))
		for _, record := range records {
			t.quotaOf(record.team).count.Add(-1)
		}
		delete(s.epochs, epoch)
	}
}

func (t *Table) raiseRetention(window time.Duration) {
	retention := int64(window + wire.MaxTimeout)
	for {
		old := t.retention.Load()
		if old >= retention || t.retention.CompareAndSwap(old, retention) {
			return
		}
	}
}

func (t *Table) shardOf(text string) *shard {
	return &t.shards[xxhash.Sum64String(text)%shardCount]
}

// ClosedRefusal returns the outcome of a key that was closed before its request
// ran.
func ClosedRefusal() *verdict.Refusal {
	refusal := verdict.Refuse(http.StatusConflict, verdict.CodeKeyClosed, "the idempotency key was closed before the request ran; use a new key")
	refusal.Final = true
	refusal.KeyClosed = true
	return refusal
}
