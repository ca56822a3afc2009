// Package balance decides where a request goes: to a backend server of this
// region, to another region, or nowhere for now.
//
// It scores the candidates with a cost model in milliseconds; the lowest score is
// best. The terms of the model are:
//
//   - A prompt consists of prefix blocks. A server that has the leading blocks
//     cached prefills only the rest. Prompts with a long shared prefix prefer the
//     prefix's home servers and its home region.
//   - Long prompts are prefilled one at a time, each in a prefill slot of the
//     engine. The prefill gap after a slot lets the running streams progress. In
//     a large region, the prefill coordinator of an engine is the VM through which
//     long prompts reach it.
//   - A stalling prompt is one whose prefill alone extends the event gaps of the
//     engine's streams to about their gap objective, or beyond it.
//   - The slowdown of a server is its ratio of measured to expected time.
//   - A cold server has started recently, or the evacuation of its failure domain
//     has just ended. It tolerates only a limited request rate.
//   - A plain service has no model engines.
//
// The package opens no sockets and reads no clock. The counters that change with
// each request are atomics; all other data that it reads is immutable.
package balance

import (
	"time"
)

// PrefixBlock is a leading block of a prompt. Requests that share a block share
// its ID.
type PrefixBlock struct {
	ID     uint64
	Tokens int
}

// Demand describes what a request requires of a model engine. It is zero for
// requests to plain services.
type Demand struct {
	// PromptTokens and MaxOutputTokens are numbers of tokens; MaxOutputTokens is
	// the limit set by the caller.
	PromptTokens, MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output; zero means
	// none.
	ExpectedOutputTokens int
	// PrefixBlocks are the blocks of the prompt in order.
	PrefixBlocks []PrefixBlock
	// StatesTokens means that the caller stated both numbers of tokens.
	StatesTokens bool
}

// StatedTokens returns the sum of the numbers of tokens that the caller stated, or zero if it
// didn't state both.
func (d *Demand) StatedTokens() int64 {
	if !d.StatesTokens {
		return 0
	}
	return int64(d.PromptTokens) + int64(d.MaxOutputTokens)
}

// expectedOutput returns the expected number of output tokens.
func (d *Demand) expectedOutput() float64 {
	if d.ExpectedOutputTokens > 0 && (d.MaxOutputTokens == 0 || d.ExpectedOutputTokens < d.MaxOutputTokens) {
		return float64(d.ExpectedOutputTokens)
	}
	return float64(d.MaxOutputTokens)
}

// finalMemory returns the number of tokens in memory when the response is
// complete.
func (d *Demand) finalMemory() float64 { return float64(d.PromptTokens) + d.expectedOutput() }

// SharedBlocks returns the blocks that other requests may share: all but the
// last, which belongs to the request or its session.
func (d *Demand) SharedBlocks() []PrefixBlock {
	if len(d.PrefixBlocks) == 0 {
		return nil
	}
	return d.PrefixBlocks[:len(d.PrefixBlocks)-1]
}

// SharedBlockIDs returns the IDs of the shared blocks, or nil if there are none.
func (d *Demand) SharedBlockIDs() []uint64 {
	var ids []uint64
	for _, b := range d.SharedBlocks() {
		ids = append(ids, b.ID)
	}
	return ids
}

// sharedTokens returns the total size of the shared blocks.
func (d *Demand) sharedTokens() int {
	tokens := 0
	for _, p := range d.SharedBlocks() {
		tokens += p.Tokens
	}
	return tokens
}

// LongSharedPrefixID returns the ID of the last shared block if it has at least
// minLongPrefixTokens, else zero.
func (d *Demand) LongSharedPrefixID() uint64 {
	block, _ := d.longSharedPrefix()
	return block.ID
}

// longSharedPrefix returns the last shared block if it has at least
// minLongPrefixTokens.
func (d *Demand) longSharedPrefix() (PrefixBlock, bool) {
	shared := d.SharedBlocks()
	if len(shared) == 0 || shared[len(shared)-1].Tokens < minLongPrefixTokens {
		return PrefixBlock{}, false
	}
	return shared[len(shared)-1], true
}

// Estimate is the expected cost of a request at a server or region.
type Estimate struct {
	// TimeToFirstByte is the time until the response begins.
	TimeToFirstByte time.Duration
	// Score orders the choices, in milliseconds; the lowest is best.
	Score float64
	// TokenMs is the time per token of the engine's streams with the request added, in
	// milliseconds; zero for plain services.
	TokenMs float64
	// NeedsPrefillSlot means that the prompt waits for a prefill slot.
	// MaxSlotWait is the longest wait for it, and PrefillGap the pause after it.
	NeedsPrefillSlot        bool
	MaxSlotWait, PrefillGap time.Duration
	// UncachedTokens is the number of prompt tokens to prefill, and PrefillTime
	// the time for it. StallingPrefill means that the prefill extends the event
	// gaps of the engine's other streams beyond stallingShare of their objective.
	UncachedTokens  int
	PrefillTime     time.Duration
	StallingPrefill bool
	// ActiveRequests and PrefillBacklog are the load of the server that the
	// estimate is based on: the number of its requests, and the time until all
	// their prompts are prefilled. ReportAge is the age of the server's own load
	// report, negative if there is none.
	ActiveRequests float64
	PrefillBacklog time.Duration
	ReportAge      time.Duration
	// InTime is the time to the first byte up to which a server in its slow start responds in
	// time; zero means that the response is not judged.
	InTime time.Duration
}

func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
