// Package balance decides where a request goes: which backend server of the
// own region, which other region, or nowhere now.
//
// It opens no sockets and reads no clock. The counters that change with each
// request are atomics; all else that it reads is immutable.
package balance

import (
	"time"
)

// Part is a leading part of a prompt. Requests that share a part share its ID.
type Part struct {
	ID     uint64
	Tokens int
}

// Demand is what a request asks of a model engine. It is zero for requests to
// plain services.
type Demand struct {
	// Prompt and Output are numbers of tokens; Output is the most that the
	// caller accepts.
	Prompt, Output int
	// Expected is the caller's estimate of the output; zero means none.
	Expected int
	// Parts are the prompt's parts in order.
	Parts []Part
}

// output returns the expected number of tokens of the answer.
func (d *Demand) output() float64 {
	if d.Expected > 0 && (d.Output == 0 || d.Expected < d.Output) {
		return float64(d.Expected)
	}
	return float64(d.Output)
}

// memory returns the tokens of memory that the request takes at its end.
func (d *Demand) memory() float64 { return float64(d.Prompt) + d.output() }

// shared returns the parts that other requests may share: all but the last,
// which belongs to the request or its session.
func (d *Demand) shared() []Part {
	if len(d.Parts) == 0 {
		return nil
	}
	return d.Parts[:len(d.Parts)-1]
}

// sharedTokens returns the size of the parts that other requests may share.
func (d *Demand) sharedTokens() int {
	tokens := 0
	for _, p := range d.shared() {
		tokens += p.Tokens
	}
	return tokens
}

// Document returns the ID of the last shared part if it is large enough to be
// worth a way to the server that holds it, else zero.
func (d *Demand) Document() uint64 {
	part, _ := d.document()
	return part.ID
}

// document returns the last shared part, if it is large enough to be worth a
// way to the server that holds it.
func (d *Demand) document() (Part, bool) {
	shared := d.shared()
	if len(shared) == 0 || shared[len(shared)-1].Tokens < leastHeld {
		return Part{}, false
	}
	return shared[len(shared)-1], true
}

// Estimate is what a request is expected to meet.
type Estimate struct {
	// First is the time until the answer begins.
	First time.Duration
	// Score orders choices, in milliseconds; the least is best.
	Score float64
	// Turn means that the prompt takes its turn to be read. Hold is the longest
	// wait for it, and Rest the pause after it.
	Turn       bool
	Hold, Rest time.Duration
	// Missing is the number of prompt tokens that must be read, and Reading
	// the time that this takes. Heavy means that it holds up the other streams
	// of the engine for longer than their objective allows.
	Missing int
	Reading time.Duration
	Heavy   bool
	// Active is the number of requests, and Backlog the time until all prompts
	// are read, that the choice assumed at the server. ReportAge is the age of
	// the server's own report, negative if there is none.
	Active    float64
	Backlog   time.Duration
	ReportAge time.Duration
}

func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
