package route

import (
	"bytes"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// eventEnd terminates each server-sent event.
var eventEnd = []byte("\n\n")

// streamCheckEvents is the number of events between two checks whether a stream
// is slow.
const streamCheckEvents = 4

// responseMeter passes a response on and records the time of its first byte and
// the number of its events.
type responseMeter struct {
	pipeline.Response
	now         clock.Clock
	onFirstByte func(now clock.Instant)
	firstSeen   bool
	firstByteAt clock.Instant
	events      int
	// onEvents, unless nil, is called with the number of events so far, after
	// at least streamCheckEvents more.
	onEvents       func(events int)
	reportedEvents int
	// writeFailed means that a write to the underlying response failed.
	writeFailed bool
}

var _ pipeline.Response = (*responseMeter)(nil)

// Write implements pipeline.Response.
func (m *responseMeter) Write(p []byte) (int, error) {
	m.recordFirstByte()
	m.events += bytes.Count(p, eventEnd)
	if m.onEvents != nil && m.events >= m.reportedEvents+streamCheckEvents {
		m.reportedEvents = m.events
		m.onEvents(m.events)
	}
	n, err := m.Response.Write(p)
	m.writeFailed = m.writeFailed || err != nil
	return n, err
}

// finish records the end of the response as the time of its first byte if it
// had none.
func (m *responseMeter) finish() { m.recordFirstByte() }

func (m *responseMeter) recordFirstByte() {
	if !m.firstSeen {
		m.firstSeen, m.firstByteAt = true, m.now()
		m.onFirstByte(m.firstByteAt)
	}
}
