package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// Bounds on the evidence records of one VM. Older crashes and survivals are left out, as
// the other VMs have them from earlier records.
const (
	maxSentCrashes   = 16
	maxSentSurvivals = 64
	maxEvidenceBytes = 4 << 10
	// survivalsPerPart is the number of survivals in a part of the evidence.
	survivalsPerPart = 16
)

// crashPart and survivalPart return the parts of the evidence that hold a VM's nth crash and
// its nth survivalsPerPart survivals. Parts are used again.
func crashPart(n int) string    { return "c" + strconv.Itoa(n%maxSentCrashes) }
func survivalPart(n int) string { return "s" + strconv.Itoa(n%(maxSentSurvivals/survivalsPerPart)) }

// evidenceRecord is the value of a KindEvidence record: a part of what the VM of its name
// saw; earlier builds write a single record. It is encoded as an array, whose fields may not change (gossip.Encode).
type evidenceRecord struct {
	// Crashes are ordered by time, the newest last.
	Crashes   []crashRecord
	Survivals []survivalRecord
}

// crashRecord is the crash of a server. Ages are in milliseconds, as the clocks of
// VMs differ.
type crashRecord struct {
	Server  string
	Started int64
	Address string
	AgeMs   int64
	Prompts []prompt
	// Requests holds the fingerprints of the lost requests.
	Requests []uint64
	Service  string
}

// survivalRecord is the last request with a trait that survived.
type survivalRecord struct {
	Trait uint64
	AgeMs int64
	// Request means that the trait is a fingerprint.
	Request bool
}

// quarantineRecord is the value of a KindQuarantine record. Its name is the trait in
// hexadecimal.
type quarantineRecord struct {
	// RemainingMs is the remaining time in milliseconds; zero means released.
	RemainingMs int64
	// FirstCrashAgeMs is the time in milliseconds since the first crash on which the
	// quarantine is based. Times is the number of quarantines in a row.
	FirstCrashAgeMs int64
	Times           int
	// Request means that the trait is a fingerprint.
	Request bool
}

// ownCrash is a crash by which this VM lost requests.
type ownCrash struct {
	server           roster.ServerKey
	service, address string
	at               clock.Instant
	lost             loss
	// part is the part of the evidence that holds the crash, and unpublished means that it has
	// changed since it was published.
	part        string
	unpublished bool
}

// ownSurvival is the survival of a request that this VM sent.
type ownSurvival struct {
	trait     uint64
	isRequest bool
	beganAt   clock.Instant
}

// encodeEvidence returns the value of a record of what this VM saw. It leaves out
// the oldest crashes if the value would be too large.
func encodeEvidence(crashes []*ownCrash, survivals []ownSurvival, now clock.Instant) ([]byte, error) {
	var r evidenceRecord
	for _, s := range survivals {
		r.Survivals = append(r.Survivals, survivalRecord{Trait: s.trait, AgeMs: now.Sub(s.beganAt).Milliseconds(), Request: s.isRequest})
	}
	for _, c := range crashes {
		r.Crashes = append(r.Crashes, crashRecord{
			Server: c.server.ID, Started: c.server.Started, Address: c.address, AgeMs: now.Sub(c.at).Milliseconds(), Prompts: c.lost.prompts,
			Requests: c.lost.requests, Service: c.service,
		})
	}
	for {
		value, err := gossip.Encode(r)
		if err != nil || len(value) <= maxEvidenceBytes || len(r.Crashes) <= 1 {
			return value, err
		}
		r.Crashes = r.Crashes[1:]
	}
}

// boundedLoss returns what was lost by a record, within the limits that this VM keeps
// to itself.
func boundedLoss(c crashRecord) loss {
	list := c.Prompts[:min(len(c.Prompts), maxPrompts)]
	for i, p := range list {
		list[i] = prompt{Blocks: p.Blocks[:min(len(p.Blocks), maxBlocks)], Requests: min(max(1, p.Requests), maxPromptRequests)}
	}
	return loss{prompts: list, requests: c.Requests[:min(len(c.Requests), maxRequests)]}
}

// maxPromptRequests bounds the requests with one prompt that a VM lost to a crash.
const maxPromptRequests = 10_000

// maxAgeMs bounds the ages that are taken from records.
const maxAgeMs = int64(24 * time.Hour / time.Millisecond)

// atAge returns the instant that was ageMs milliseconds ago. A negative age, which
// no VM sends, counts as zero.
func atAge(now clock.Instant, ageMs int64) clock.Instant {
	return now.Add(-time.Duration(min(max(0, ageMs), maxAgeMs)) * time.Millisecond)
}

// appendBounded appends v and removes the first elements above the limit.
func appendBounded[T any](list []T, v T, limit int) []T {
	list = append(list, v)
	return slices.Delete(list, 0, max(0, len(list)-limit))
}

func traitName(trait uint64) string { return strconv.FormatUint(trait, 16) }

// parseTraitName returns the trait of a KindQuarantine record. The error is
// gossip.ErrMalformed.
func parseTraitName(name string) (uint64, error) {
	trait, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return 0, gossip.ErrMalformed.New("trait %q", name)
	}
	return trait, nil
}
