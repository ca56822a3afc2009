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
	// shardCount divides the records so that requests seldom meet.
	shardCount = 64
	// DefaultMaxRecords bounds the records of a table.
	DefaultMaxRecords = 30_000
	// DefaultMaxCachedBytes bounds the answers that are held for repeats.
	DefaultMaxCachedBytes = 8 << 20
	// teamShareDivisor is the part of the records, one in so many, that one
	// team may hold by default.
	teamShareDivisor = 4
	// answerOverheadBytes is counted for each held answer beside its body.
	answerOverheadBytes = 512
)

// Decision says what an attempt may do.
type Decision int

// The decisions.
const (
	// Run means that this attempt, and no other, lets the request run. The
	// attempt must call Finish.
	Run Decision = iota
	// Wait means that the outcome is in the record once its Done is closed.
	Wait
	// Mismatch means that the key belongs to a request with other content.
	Mismatch
	// Expired means that the key's window has passed; it is closed for good.
	Expired
	// Evicted means that the key's window has passed and that the table no
	// longer knows whether the request ran.
	Evicted
	// Full means that the table takes no new keys of this epoch, or none of
	// this team; the key is closed for good.
	Full
)

// TableConfig holds the bounds of a table. Zero values mean the defaults.
type TableConfig struct {
	Issuer     *Issuer
	Now        clock.Clock
	MaxRecords int
	// MaxTeamRecords bounds the records of one team; zero means a quarter of
	// MaxRecords.
	MaxTeamRecords int
	MaxCachedBytes int
}

// Table holds the records of the keys that this incarnation owns.
type Table struct {
	issuer         *Issuer
	now            clock.Clock
	maxRecords     int64
	maxTeamRecords int64
	// all and teams count the records, of all teams and by team.
	all   quota
	teams sync.Map // team -> *quota
	// retention is the longest key window seen plus the longest deadline.
	retention atomic.Int64
	// forgotten is one above the newest epoch whose records were dropped.
	forgotten atomic.Uint64
	answers   answerStore
	shards    [shardCount]shard
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
	t.answers.max = config.MaxCachedBytes
	t.retention.Store(int64(wire.MaxTimeout))
	for i := range t.shards {
		t.shards[i].epochs = map[uint64]map[string]*Record{}
	}
	return t
}

// Begin registers an attempt with a key that the table's issuer issued. The
// window is the validity of the key. The record is nil for Mismatch, Expired,
// Forgotten and Full.
func (t *Table) Begin(key Key, team string, fingerprint Fingerprint, window time.Duration) (*Record, Decision) {
	t.raiseRetention(window)
	t.sweep()
	text := key.String()
	s := t.shardOf(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.epochs[key.Epoch][text]; record != nil {
		return record.meet(team, fingerprint)
	}
	if key.Epoch < t.forgotten.Load() {
		return nil, Evicted
	}
	if t.isClosed(key, team) || t.isFull(team) {
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

// Close closes the key, unless an attempt was registered before. It returns
// the key's record and Wait; nil and Full if the key is closed without a
// record; nil and Forgotten if the table can't tell.
func (t *Table) Close(key Key, team string) (*Record, Decision) {
	text := key.String()
	s := t.shardOf(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.epochs[key.Epoch][text]; record != nil {
		return record, Wait
	}
	if key.Epoch < t.forgotten.Load() {
		return nil, Evicted
	}
	if t.isClosed(key, team) || t.isFull(team) {
		return nil, Full
	}
	record := newRecord(team, Fingerprint{})
	record.unbound = true
	t.insert(s, key, text, record)
	t.Finish(record, Outcome{Refusal: ClosedRefusal()})
	return record, Wait
}

// Find returns the record of a key and Wait; nil and Run if no attempt has been
// registered; nil and Full if the key is closed without a record; nil and
// Forgotten if the table can't tell.
func (t *Table) Find(key Key) (*Record, Decision) {
	text := key.String()
	s := t.shardOf(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.epochs[key.Epoch][text]; record != nil {
		return record, Wait
	}
	switch {
	case key.Epoch < t.forgotten.Load():
		return nil, Evicted
	case key.Epoch < t.all.closed.Load():
		return nil, Full
	default:
		return nil, Run
	}
}

// Expires returns the end of the key's validity for a window.
func (t *Table) Expires(key Key, window time.Duration) clock.Instant {
	return t.issuer.Expires(key, window)
}

// Size returns the number of records and the bytes of held answers.
func (t *Table) Size() (records int, heldBytes int) {
	return int(t.all.count.Load()), t.answers.size()
}

// Finish records the outcome of the run. It must be called once, by the
// attempt that was told to run.
func (t *Table) Finish(record *Record, outcome Outcome) {
	if outcome.Refusal == nil && outcome.Answer != nil {
		record.answer.Store(outcome.Answer)
		t.answers.add(record, len(outcome.Answer.Body)+answerOverheadBytes)
	}
	record.refusal = outcome.Refusal
	close(record.done)
}

// meet decides for an attempt whose key is known.
func (r *Record) meet(team string, fingerprint Fingerprint) (*Record, Decision) {
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

// sweep drops the records of epochs that are older than the retention. An
// epoch is marked as forgotten before its records are dropped, so that no
// attempt takes a dropped key for a new one.
func (t *Table) sweep() {
	age := t.now().Sub(t.issuer.start) - time.Duration(t.retention.Load())
	if age < EpochLength {
		return
	}
	before := uint64(age / EpochLength)
	if !raise(&t.forgotten, before) {
		return
	}
	for i := range t.shards {
		t.dropEpochs(&t.shards[i], before)
	}
}

func (t *Table) dropEpochs(s *shard, before uint64) {
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
	want := int64(window + wire.MaxTimeout)
	for {
		old := t.retention.Load()
		if old >= want || t.retention.CompareAndSwap(old, want) {
			return
		}
	}
}

func (t *Table) shardOf(text string) *shard {
	return &t.shards[xxhash.Sum64String(text)%shardCount]
}

// ClosedRefusal is the outcome of a key that was closed before it ran.
func ClosedRefusal() *verdict.Refusal {
	refusal := verdict.Refuse(http.StatusConflict, verdict.CodeKeyClosed, "the idempotency key was closed before the request ran; use a new key")
	refusal.Final = true
	refusal.KeyClosed = true
	return refusal
}
