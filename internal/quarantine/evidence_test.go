package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// at returns an instant that is the given number of seconds after a fixed one.
func at(seconds float64) clock.Instant {
	return clock.Instant(time.Hour).Add(time.Duration(seconds * float64(time.Second)))
}

// fewest returns the threshold with the least number of episodes.
func fewest(*suspect) []threshold {
	return []threshold{{crashes: minEpisodes, episodes: minEpisodes, addresses: minAddresses}}
}

// crashesAt adds a crash of one server after the other, one at each time, with the
// prompts.
func (e *evidence) crashesAt(times []float64, prompts ...[]uint64) {
	for _, seconds := range times {
		n := len(e.crashes)
		var list []prompt
		for _, blocks := range prompts {
			list = addPrompt(list, blocks)
		}
		e.setCrash(roster.ServerKey{ID: fmt.Sprint("s", n)}, "", fmt.Sprint("address-", n%5), at(seconds), "vm", loss{prompts: list})
	}
}

// quarantinedAt returns the blocks that the evidence would quarantine at the time.
func (e *evidence) quarantinedAt(seconds float64) []uint64 {
	var blocks []uint64
	for {
		deadly := e.deadly(e.suspects(), false, at(seconds), fewest)
		if len(deadly) == 0 {
			return blocks
		}
		for _, s := range deadly {
			blocks = append(blocks, s.trait)
			e.removeExplained(s.trait)
		}
	}
}

func TestBlockCommonToCrashesIsQuarantined(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(9)
	// Block 1 is in all prompts, 2 is in some without the deadly block 3.
	e.crashesAt([]float64{1, 2, 3}, []uint64{1, 2, 3}, []uint64{1, 2}, []uint64{1, 4})
	is.Equal(e.quarantinedAt(9), nil) // three episodes
	e.crashesAt([]float64{4}, []uint64{1, 2, 3}, []uint64{1, 2}, []uint64{1, 5})
	is.Equal(e.quarantinedAt(4.4), nil) // not settled
	is.Equal(e.quarantinedAt(4.6), []uint64{3})
}

func TestMoreEpisodesAreNeededIfMoreServersCrash(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.crashesAt([]float64{1, 6}, []uint64{7})
	is.Equal(e.neededEpisodes(12, at(9)), minEpisodes)
	e.crashesAt([]float64{7, 7.5, 8, 8.5}, []uint64{7})
	is.Equal(e.neededEpisodes(200, at(9)), minEpisodes)
	is.Equal(e.neededEpisodes(8, at(9)), 5)
	is.Equal(e.neededEpisodes(1, at(9)), maxEpisodes)
}

func TestSurvivalClearsOnlyEarlierCrashes(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(9)
	e.crashesAt([]float64{1, 2, 3, 4}, []uint64{7})
	e.addSurvival(7, at(0.5)) // began before the block was deadly
	is.Equal(len(e.suspects()[7].times), 4)
	e.addSurvival(7, at(2.5))
	is.Equal(len(e.suspects()[7].times), 2)
	is.Equal(e.quarantinedAt(9), nil)
}

func TestSimultaneousCrashesAreOneEpisode(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(9)
	e.crashesAt([]float64{1, 1.1, 1.2, 1.3, 1.4, 1.45}, []uint64{7}) // a region is lost
	is.Equal(e.quarantinedAt(9), nil)
}

// Guards against SHORT of issue 45: of two mass crashes of a large fleet, whose records take
// up to two seconds from VM to VM, each seemed to be several episodes, and sound blocks that
// were lost by coincidence were refused for two minutes.
func TestMassCrashesQuarantineNoSoundBlock(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(19)
	for _, from := range []float64{1, 8} {
		for n := range 40 {
			e.crashesAt([]float64{from + float64(n)*0.05}, []uint64{uint64(100 + n%8)}, []uint64{uint64(1000 + n%13)})
		}
	}
	is.Equal(e.quarantinedAt(19), nil)
}

// Guards against a deadly block that crashes so many servers that it is taken for a mass
// crash of another cause.
func TestBlockThatCausesAMassCrashIsQuarantined(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(9)
	for n := range 24 {
		e.crashesAt([]float64{1 + float64(n)*0.1}, []uint64{7}, []uint64{uint64(100 + n%5)})
	}
	is.Equal(e.quarantinedAt(9), []uint64{7})
}

func TestServerThatCrashesRepeatedlyQuarantinesNothing(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(9)
	for n := range 6 {
		// Each incarnation has another ID at the same address.
		e.setCrash(roster.ServerKey{ID: fmt.Sprint("s", n)}, "", "address", at(float64(n)), "vm", loss{prompts: addPrompt(nil, []uint64{7})})
	}
	is.Equal(e.quarantinedAt(9), nil)
}

func TestNothingIsQuarantinedIfNothingSurvives(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(0.5)
	e.crashesAt([]float64{1, 2, 3, 4, 5}, []uint64{7, 8}, []uint64{7, 9})
	is.Equal(e.quarantinedAt(9), nil)
}

func TestSeveralVMsAndRepeatedRecordsCountOneCrash(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	key := roster.ServerKey{ID: "s"}
	for _, vm := range []string{"vm-1", "vm-2", "vm-1", "vm-2"} {
		e.setCrash(key, "", "address", at(1), vm, loss{prompts: addPrompt(nil, []uint64{7})})
	}
	is.Equal(len(e.suspects()[7].times), 1)
	is.Equal(e.suspects()[7].requests, 2) // one of each VM
}

func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	var list []prompt
	for n := range 10 * maxPrompts {
		list = addPrompt(list, make([]uint64, n%100))
	}
	is.True(len(list) <= maxPrompts)
	for n := range 2 * maxCrashes {
		e.crashesAt([]float64{float64(n)}, []uint64{uint64(n)})
		e.addSurvival(uint64(n), at(float64(n)))
	}
	is.Equal(len(e.crashes), maxCrashes)
	e.expire(at(1e6))
	is.Equal(len(e.crashes)+len(e.survivedAt), 0)
}

func TestEvidenceRecordIsBounded(t *testing.T) {
	is := is.New(t)
	var crashes []*ownCrash
	for n := range maxSentCrashes {
		c := &ownCrash{server: roster.ServerKey{ID: fmt.Sprint("server-", n)}, at: at(float64(n))}
		for k := range maxPrompts {
			c.lost.prompts = addPrompt(c.lost.prompts, []uint64{1 << 60, uint64(n)<<50 + uint64(k), 1 << 61})
		}
		crashes = append(crashes, c)
	}
	value, err := encodeEvidence(crashes, nil, at(100))
	is.NoErr(err)
	is.True(len(value) <= maxEvidenceBytes)
}

// Guards against a deadly block that isn't found because it crashes servers right after a
// mass crash of another cause, of which its crashes seem to be the smaller part.
func TestDeadlyBlockRightAfterAMassCrashIsQuarantined(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(9)
	for n := range 40 {
		e.crashesAt([]float64{1 + float64(n)*0.005}, []uint64{uint64(1000 + n)})
	}
	for n := range 20 {
		e.crashesAt([]float64{1.3 + float64(n)*0.25}, []uint64{7}, []uint64{uint64(100 + n)})
	}
	is.Equal(e.quarantinedAt(9), []uint64{7})
}

// Guards against deadly blocks that aren't found because the crashes of three of them
// together seem to be a mass crash of another cause.
func TestThreeDeadlyBlocksTogetherAreQuarantined(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(15)
	for n := range 60 {
		e.crashesAt([]float64{1 + float64(n)*0.2}, []uint64{uint64(7 + n%3)}, []uint64{uint64(100 + n)})
	}
	is.Equal(len(e.quarantinedAt(15)), 3)
}

// Guards against the same as TestMassCrashesQuarantineNoSoundBlock, with records that arrive
// from three regions, in bunches 0.5 s apart.
func TestMassCrashThatArrivesInBunchesQuarantinesNoSoundBlock(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.anySurvivedAt = at(19)
	for _, from := range []float64{1, 8} {
		for n := range 40 {
			e.crashesAt([]float64{from + float64(n/14)*0.5 + float64(n%14)*0.01}, []uint64{uint64(100 + n%8)}, []uint64{uint64(1000 + n%13)})
		}
	}
	is.Equal(e.quarantinedAt(19), nil)
}
