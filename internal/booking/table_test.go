package booking_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// TestMain sets the default seed of the property tests; a flag overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

const (
	testRecords     = 12
	testCachedBytes = 3 << 10
)

// tableMachine drives a table with a few keys and records the guarantees given
// for each.
type tableMachine struct {
	now    clock.Instant
	issuer *booking.Issuer
	table  *booking.Table
	window time.Duration
	// longest is the longest window of any attempt so far.
	longest time.Duration
	// horizon is the time before which keys may be evicted.
	horizon clock.Instant

	prefixes []string
	running  map[string]*booking.Record
	ran      map[string]bool   // keys whose decision was Run
	closed   map[string]bool   // keys reported as not run
	content  map[string]string // the content of the attempt that ran
	answers  map[string]string
}

func newTableMachine() *tableMachine {
	m := &tableMachine{
		now: clock.Instant(time.Hour), window: time.Minute,
		running: map[string]*booking.Record{}, ran: map[string]bool{}, closed: map[string]bool{},
		content: map[string]string{}, answers: map[string]string{},
	}
	now := func() clock.Instant { return m.now }
	m.issuer = booking.NewIssuer(self, now)
	m.table = booking.NewTable(booking.TableConfig{
		Issuer: m.issuer, Now: now, MaxRecords: testRecords, MaxTeamRecords: testRecords, MaxCachedBytes: testCachedBytes,
	})
	m.prefixes = []string{m.issuer.Prefix()}
	return m
}

func (m *tableMachine) drawKey(t *rapid.T) booking.Key {
	prefix := rapid.SampledFrom(m.prefixes).Draw(t, "prefix")
	unique := rapid.IntRange(0, 4).Draw(t, "unique")
	key, err := booking.ParseKey(prefix + "~" + strconv.Itoa(unique))
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (m *tableMachine) begin(t *rapid.T) {
	key, content := m.drawKey(t), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content")
	text := key.String()
	m.longest = max(m.longest, m.window)
	m.horizon = max(m.horizon, m.now.Add(-m.longest-wire.MaxTimeout))
	record, decision := m.table.Begin(key, "team", booking.FingerprintOf([]byte(content)), m.window)
	switch decision {
	case booking.Run:
		if m.now > m.table.Expires(key, m.window) {
			t.Fatalf("%s runs after its window", text)
		}
		if m.ran[text] || m.closed[text] {
			t.Fatalf("%s runs, but it ran before (%v) or was closed (%v)", text, m.ran[text], m.closed[text])
		}
		m.ran[text], m.running[text], m.content[text] = true, record, content
	case booking.Wait:
		if m.ran[text] && m.content[text] != content {
			t.Fatalf("%s with different content gets the same outcome", text)
		}
		m.checkOutcome(t, text, record)
	case booking.Mismatch:
		if m.content[text] == content {
			t.Fatalf("%s with the same content was rejected as a mismatch", text)
		}
	case booking.Expired, booking.Full:
		m.recordNotRun(t, text)
	case booking.Evicted:
		if m.table.Expires(key, 0) > m.horizon {
			t.Fatalf("%s was evicted too early", text)
		}
	}
}

// checkOutcome compares the outcome of a finished record with the model.
func (m *tableMachine) checkOutcome(t *rapid.T, text string, record *booking.Record) {
	if m.running[text] != nil {
		return
	}
	outcome := record.Outcome()
	if outcome.Refusal != nil && outcome.Refusal.Verdict == verdict.NotRun {
		if !m.closed[text] {
			t.Fatalf("%s is closed, but it may have run", text)
		}
		return
	}
	if outcome.Answer != nil && string(outcome.Answer.Body) != m.answers[text] {
		t.Fatalf("%s got a different answer", text)
	}
}

func (m *tableMachine) recordNotRun(t *rapid.T, text string) {
	if m.ran[text] && !m.closed[text] {
		t.Fatalf("%s ran but was reported as not run", text)
	}
	m.closed[text] = true
}

func (m *tableMachine) close(t *rapid.T) {
	key := m.drawKey(t)
	record, decision := m.table.Close(key, "team")
	if decision == booking.Full || decision == booking.Wait && record.NeverRan() {
		m.recordNotRun(t, key.String())
	}
}

func (m *tableMachine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no running request to finish; rapid draws another action")
	}
	text := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "key")
	record := m.running[text]
	delete(m.running, text)
	switch rapid.IntRange(0, 2).Draw(t, "outcome") {
	case 0:
		m.answers[text] = fmt.Sprintf("%s%0*d", text, rapid.IntRange(1, 1000).Draw(t, "size"), 1)
		m.table.Finish(record, booking.Outcome{Answer: &booking.Answer{Body: []byte(m.answers[text])}})
	case 1:
		m.closed[text] = true
		m.table.Finish(record, booking.Outcome{Refusal: booking.ClosedRefusal()})
	default:
		m.table.Finish(record, booking.Outcome{Refusal: verdict.Ambiguous(verdict.CodeBackendFailed, "", 0)})
	}
}

func (m *tableMachine) advance(t *rapid.T) {
	steps := []time.Duration{time.Second, booking.EpochLength, time.Minute, 12 * time.Minute}
	m.now = m.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
	m.prefixes = append(m.prefixes, m.issuer.Prefix())
	if len(m.prefixes) > 6 {
		m.prefixes = m.prefixes[1:]
	}
}

// publishWindow changes the key window to a longer or shorter one.
func (m *tableMachine) publishWindow(t *rapid.T) {
	windows := []time.Duration{10 * time.Second, time.Minute, time.Hour}
	m.window = rapid.SampledFrom(windows).Draw(t, "window")
}

func (m *tableMachine) checkBounds(t *rapid.T) {
	records, cachedBytes := m.table.Size()
	if records > testRecords || cachedBytes > testCachedBytes {
		t.Fatalf("%d records and %d cached bytes exceed the limits", records, cachedBytes)
	}
}

// TestTableProperties checks the guarantees of the table with changing windows,
// full tables and times beyond the retention.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableMachine()
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "begin again": m.begin, "close": m.close, "finish": m.finish,
			"advance": m.advance, "publish window": m.publishWindow, "": m.checkBounds,
		})
	})
}

// TestFullTableClosesKeys checks that a key rejected by a full table, which
// keeps no record of it, doesn't run after older records are evicted.
func TestFullTableClosesKeys(t *testing.T) {
	is := is.New(t)
	m := newTableMachine()
	m.window = time.Hour
	begin := func(prefix, unique string) booking.Decision {
		key, err := booking.ParseKey(prefix + "~" + unique)
		is.NoErr(err)
		_, decision := m.table.Begin(key, "team", booking.Fingerprint{}, m.window)
		return decision
	}
	for i := range testRecords {
		is.Equal(begin(m.issuer.Prefix(), strconv.Itoa(i)), booking.Run)
	}
	m.now = m.now.Add(20 * time.Minute)
	refused := m.issuer.Prefix()
	is.Equal(begin(refused, "late"), booking.Full)
	m.now = m.now.Add(55 * time.Minute) // The first records are evicted.
	is.Equal(begin(m.issuer.Prefix(), "new"), booking.Run)
	is.Equal(begin(refused, "late"), booking.Full)
}

// TestTeamLimitLeavesRoomForOtherTeams checks that a team at its record limit
// doesn't block other teams, and is accepted again after its records are
// evicted.
func TestTeamLimitLeavesRoomForOtherTeams(t *testing.T) {
	is := is.New(t)
	m := newTableMachine()
	table := booking.NewTable(booking.TableConfig{Issuer: m.issuer, Now: func() clock.Instant { return m.now }, MaxRecords: 8})
	begin := func(team, unique string) booking.Decision {
		key, err := booking.ParseKey(m.issuer.Prefix() + "~" + unique)
		is.NoErr(err)
		_, decision := table.Begin(key, team, booking.Fingerprint{}, time.Minute)
		return decision
	}
	is.Equal(begin("greedy", "1"), booking.Run)
	is.Equal(begin("greedy", "2"), booking.Run)
	is.Equal(begin("greedy", "3"), booking.Full)
	is.Equal(begin("modest", "4"), booking.Run)
	m.now = m.now.Add(time.Hour)
	is.Equal(begin("greedy", "5"), booking.Run)
}

// TestHopTableDetectsDuplicates checks that a key received again never runs,
// that a closed key is reported as closed, and that a full table closes the
// epochs of rejected keys.
func TestHopTableDetectsDuplicates(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	hops := booking.NewHopTable(func() clock.Instant { return now }, 2)
	key := func(unique string) booking.Key {
		return booking.Key{VM: "a", Incarnation: "b", MAC: "c", Unique: unique}
	}
	is.Equal(hops.Begin(key("1"), time.Minute), booking.HopNew)
	is.Equal(hops.Begin(key("1"), time.Minute), booking.HopSeen)
	is.Equal(hops.Close(key("1"), time.Minute), booking.HopSeen)
	hops.MarkClosed(key("1"))
	is.Equal(hops.Begin(key("1"), time.Minute), booking.HopClosed)
	is.Equal(hops.Close(key("2"), time.Minute), booking.HopClosed)
	is.Equal(hops.Begin(key("3"), time.Minute), booking.HopClosed) // The table is full.
	hops = booking.NewHopTable(func() clock.Instant { return now }, 1)
	early, late := key("4"), key("5")
	late.Epoch = 7
	is.Equal(hops.Begin(early, time.Minute), booking.HopNew)
	now = now.Add(10 * time.Minute)
	is.Equal(hops.Begin(late, time.Minute), booking.HopClosed)
	now = now.Add(12 * time.Minute) // The first key has been evicted, but the rejected one stays closed.
	is.Equal(hops.Begin(key("6"), time.Minute), booking.HopClosed)
	late.Epoch = 8
	is.Equal(hops.Begin(late, time.Minute), booking.HopNew)
	is.Equal(hops.Size(), 1)
}

// TestFindReportsKeyClosedByItsTeamsLimit covers a lookup of a key that can never
// run, because its team's limit closed the epoch, while other teams go on.
func TestFindReportsKeyClosedByItsTeamsLimit(t *testing.T) {
	is := is.New(t)
	now := func() clock.Instant { return clock.Instant(time.Hour) }
	issuer := booking.NewIssuer(self, now)
	table := booking.NewTable(booking.TableConfig{Issuer: issuer, Now: now, MaxRecords: 100, MaxTeamRecords: 2})
	key := func(n int) booking.Key {
		k, err := booking.ParseKey(issuer.Prefix() + "~" + strconv.Itoa(n))
		is.NoErr(err)
		return k
	}
	for n := range 2 {
		_, decision := table.Begin(key(n), "kites", booking.Fingerprint{}, time.Minute)
		is.Equal(decision, booking.Run)
	}
	_, decision := table.Begin(key(2), "kites", booking.Fingerprint{}, time.Minute)
	is.Equal(decision, booking.Full)
	_, decision = table.Find(key(2), "kites")
	is.Equal(decision, booking.Full) // it is known that it never ran
	_, decision = table.Find(key(3), "other")
	is.Equal(decision, booking.Run)
}
