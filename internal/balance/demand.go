// Package balance decides where a request goes: which backend server of the
// own region, which other region, or nowhere now.
//
// It opens no sockets and reads no clock. The counters that change with each
// request are atomics; all else that it reads is immutable.
package balance

import (
	"time"
)

// PrefixBlock is a leading part of a prompt. Requests that share a part share its ID.
type PrefixBlock struct {
	ID     uint64
	Tokens int
}

// Demand is what a request asks of a model engine. It is zero for requests to
// plain services.
type Demand struct {
	// PromptTokens and MaxOutputTokens are numbers of tokens; MaxOutputTokens is the most that the
	// caller accepts.
	PromptTokens, MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output; zero means none.
	ExpectedOutputTokens int
	// PrefixBlocks are the prompt's parts in order.
	PrefixBlocks []PrefixBlock
}

// output returns the expected number of tokens of the answer.
func (d *Demand) output() float64 {
	if d.ExpectedOutputTokens > 0 && (d.MaxOutputTokens == 0 || d.ExpectedOutputTokens < d.MaxOutputTokens) {
		return float64(d.ExpectedOutputTokens)
	}
	return float64(d.MaxOutputTokens)
}

// memory returns the tokens of memory that the request takes at its end.
func (d *Demand) memory() float64 { return float64(d.PromptTokens) + d.output() }

// shared returns the parts that other requests may share: all but the last,
// which belongs to the request or its session.
func (d *Demand) shared() []PrefixBlock {
	if len(d.PrefixBlocks) == 0 {
		return nil
	}
	return d.PrefixBlocks[:len(d.PrefixBlocks)-1]
}

// sharedTokens returns the size of the parts that other requests may share.
func (d *Demand) sharedTokens() int {
	tokens := 0
	for _, p := range d.shared() {
		tokens += p.Tokens
	}
	return tokens
}

// LongSharedPrefixID returns the ID of the last shared part if it is large enough to be
// worth a way to the server that holds it, else zero.
func (d *Demand) LongSharedPrefixID() uint64 {
	part, _ := d.document()
	return part.ID
}

// document returns the last shared part, if it is large enough to be worth a
// way to the server that holds it.
func (d *Demand) document() (PrefixBlock, bool) {
	shared := d.shared()
	if len(shared) == 0 || shared[len(shared)-1].Tokens < leastHeld {
		return PrefixBlock{}, false
	}
	return shared[len(shared)-1], true
}

// Estimate is what a request is expected to meet.
type Estimate struct {
	// TimeToFirstByte is the time until the answer begins.
	TimeToFirstByte time.Duration
	// Score orders choices, in milliseconds; the least is best.
	Score float64
	// NeedsPrefillSlot means that the prompt takes its turn to be read. Hold is the longest
	// wait for it, and Rest the pause after it.
	NeedsPrefillSlot        bool
	MaxSlotWait, PrefillGap time.Duration
	// UncachedTokens is the number of prompt tokens that must be read, and Reading
	// the time that this takes. Heavy means that it holds up the other streams
	// of the engine for longer than their objective allows.
	UncachedTokens  int
	PrefillTime     time.Duration
	StallingPrefill bool
	// ActiveRequests is the number of requests, and Backlog the time until all prompts
	// are read, that the choice assumed at the server. ReportAge is the age of
	// the server's own report, negative if there is none.
	ActiveRequests float64
	PrefillBacklog time.Duration
	ReportAge      time.Duration
}

func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
