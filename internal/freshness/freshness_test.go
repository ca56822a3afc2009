package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	second = time.Second
	bound  = 5 * second
)

func at(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }

func newTracker(version uint64) *Tracker {
	t := &Tracker{Bound: bound}
	t.SetInForce(version)
	return t
}

// Guards against a VM that serves by the configuration it had before it was cut off or paused.
func TestKnowledgeExpires(t *testing.T) {
	is := is.New(t)
	k := newTracker(7)
	is.True(!k.Permits(at(0))) // nothing has confirmed the version
	k.ConfirmRead(7, at(0))
	is.True(k.Permits(at(4 * second)))
	is.True(!k.Permits(at(4800 * time.Millisecond)))
	is.True(!k.Permits(at(time.Hour)))
}

// Guards against an answer that was long on its way: the age counts from the question.
func TestAgeOfAnotherVMAddsUp(t *testing.T) {
	is := is.New(t)
	k := newTracker(7)
	k.ConfirmByVM(7, at(0), 3*second)
	age, known := k.Age(at(second))
	is.True(known)
	is.Equal(age, 4*second)
	k.ConfirmByVM(7, at(second), 10*second) // older than what is known
	age, _ = k.Age(at(second))
	is.Equal(age, 4*second)
}

// Guards against a VM that is itself behind, and a registry that was restored from a copy
// without the newest version: neither confirms an older one.
func TestLowerVersionConfirmsNothingOnceAHigherOneIsHeardOf(t *testing.T) {
	is := is.New(t)
	k := newTracker(7)
	k.ConfirmRead(7, at(0))
	k.Hear(9)
	k.ConfirmByVM(7, at(4*second), 0)
	k.ConfirmRead(7, at(4*second))
	is.True(!k.Permits(at(4900 * time.Millisecond)))
	k.ConfirmByVM(9, at(5*second), second)
	is.True(!k.Permits(at(5 * second))) // not in force here yet
	k.SetInForce(9)
	age, _ := k.Age(at(5 * second))
	is.Equal(age, second)
}

// Guards against a restored registry that lacks a removal which this VM has not seen yet.
func TestReadsCountAgainSomeTimeAfterARestore(t *testing.T) {
	is := is.New(t)
	k := newTracker(7)
	k.Restored(at(0))
	k.ConfirmRead(7, at(second))
	is.True(!k.Permits(at(second)))
	k.ConfirmRead(7, at(restoreSettle))
	is.True(k.Permits(at(restoreSettle)))
}

// Guards against any interleaving of reads, questions to other VMs, pauses and cuts in which a
// key opens something more than the bound after its removal was confirmed. VM 0 reads the
// registry, the others ask one another; each may be cut off or paused at any time.
func TestRemovedKeyOpensNothingAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		now, version := at(0), uint64(1)
		removedAt := clock.Instant(0)
		trackers := make([]*Tracker, vms)
		for i := range trackers {
			trackers[i] = newTracker(1)
		}
		type answer struct {
			to      int
			version uint64
			askedAt clock.Instant
			age     time.Duration
			read    bool
		}
		var onTheWay []answer
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"key removed": func(*rapid.T) {
				if version == 1 {
					version, removedAt = 2, now
				}
			},
			"read": func(t *rapid.T) {
				vm := rapid.IntRange(0, 1).Draw(t, "vm")
				onTheWay = append(onTheWay, answer{to: vm, version: version, askedAt: now, read: true})
			},
			"ask": func(t *rapid.T) {
				from, to := rapid.IntRange(0, vms-1).Draw(t, "from"), rapid.IntRange(0, vms-1).Draw(t, "to")
				if v, age, known := trackers[from].Confirmation(now); known {
					onTheWay = append(onTheWay, answer{to: to, version: v, askedAt: now, age: age})
				}
			},
			"answer arrives": func(t *rapid.T) {
				if len(onTheWay) == 0 {
					return
				}
				i := rapid.IntRange(0, len(onTheWay)-1).Draw(t, "answer")
				a := onTheWay[i]
				onTheWay = append(onTheWay[:i], onTheWay[i+1:]...)
				if a.read {
					trackers[a.to].SetInForce(a.version)
					trackers[a.to].ConfirmRead(a.version, a.askedAt)
					return
				}
				if rapid.Bool().Draw(t, "fetched") {
					trackers[a.to].SetInForce(a.version)
				}
				trackers[a.to].ConfirmByVM(a.version, a.askedAt, a.age)
			},
			"": func(t *rapid.T) {
				if removedAt == 0 || now.Sub(removedAt) <= bound {
					return
				}
				for i, k := range trackers {
					if version, _, _ := k.Confirmation(now); version == 1 && k.Permits(now) {
						t.Fatalf("VM %d accepts the key %v after its removal", i, now.Sub(removedAt))
					}
				}
			},
		})
	})
}
