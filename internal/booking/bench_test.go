package booking_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/booking"
)

// BenchmarkRecord measures parsing, verifying, recording and finishing a key at
// its owner, and the heap size of a record without an answer.
func BenchmarkRecord(b *testing.B) {
	issuer := booking.NewIssuer(self, fixedClock)
	table := booking.NewTable(booking.TableConfig{
		Issuer: issuer, Now: fixedClock, MaxRecords: b.N + 1, MaxTeamRecords: b.N + 1,
	})
	prefix := issuer.Prefix() + "~"
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i := range b.N {
		key, err := booking.ParseKey(prefix + strconv.Itoa(i))
		if err != nil {
			b.Fatal(err)
		}
		if !issuer.Issued(key) {
			b.Fatal("not issued")
		}
		record, _ := table.Begin(key, "team", booking.FingerprintOf(nil, "spot-desk"), time.Minute)
		table.Finish(record, booking.Outcome{Refusal: booking.ClosedRefusal()})
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/record")
	runtime.KeepAlive(table)
}
