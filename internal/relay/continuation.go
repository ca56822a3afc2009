package relay

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

// This file decides what may follow in a response of which the caller has a part, for the
// responses of backend servers and of other VMs alike: only an event stream, and of that
// only what is an event, from the first new one on.

// continues reports whether the caller has a part of the response already.
func (x *transaction) continues() bool { return x.w.Started() || x.req.Continues }

// mayGoOn reports whether another response may follow in the one that has started.
func (x *transaction) mayGoOn() bool { return x.mayResume() && !x.relayedUnnumbered }

// continuationFault returns why a successful response can't go on with the one that has
// started, or "" if it can or if none has started.
func (x *transaction) continuationFault(e *upstream.Exchange) string {
	switch {
	case !x.continues():
		return ""
	case !x.mayGoOn():
		return "the response has started and can't be resumed"
	case e.StatusCode != http.StatusOK:
		return "status " + strconv.Itoa(e.StatusCode) + " can't go on with an event stream"
	case !isEventStream(e.Header):
		return "a body of another type can't go on with an event stream"
	}
	return ""
}

// eventFault returns why a complete block of a stream's body may not be relayed, or "".
func (s *streamSource) eventFault(kind blockKind, hasID bool) string {
	switch {
	case kind == blockOther:
		return "bytes that are no event"
	case kind == blockEvent && !hasID && s.continues && s.newEvents == 0:
		return "an event without an ID can't go on with a stream"
	}
	return ""
}

// blockKind is what a block of an event stream, which ends with an empty line, holds.
type blockKind int

const (
	// blockComment is a block of comments or of nothing.
	blockComment blockKind = iota
	blockEvent
	// blockOther has neither comments nor any field of events.
	blockOther
)

// eventFields are the names of the fields of events.
var eventFields = [][]byte{[]byte("data"), []byte("id"), []byte("event"), []byte("retry")}

// kindOfBlock returns what a block holds. Fields of other names don't count, as an event
// may have more of them.
func kindOfBlock(block []byte) blockKind {
	kind := blockComment
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
		case len(name) == 0: // a comment
			if kind == blockOther {
				kind = blockComment
			}
		case isEventField(name):
			return blockEvent
		case kind == blockComment:
			kind = blockOther
		}
	}
	return kind
}

func isEventField(name []byte) bool {
	for _, field := range eventFields {
		if bytes.Equal(name, field) {
			return true
		}
	}
	return false
}
