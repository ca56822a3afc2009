package route

import (
	"bytes"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

// eventEnd ends each server-sent event.
var eventEnd = []byte("\n\n")

// paceEvents is how often, in events, the pace of a stream is looked at.
const paceEvents = 4

// meter passes an answer on and notes its first byte and its events.
type meter struct {
	pipeline.Response
	now     clock.Clock
	onFirst func(now clock.Instant)
	begun   bool
	firstAt clock.Instant
	events  int
	// onEvents, unless nil, is called after each paceEvents events.
	onEvents func(events int)
	reported int
	// failed means that the answer could not be passed on.
	failed bool
}

var _ pipeline.Response = (*meter)(nil)

// Write implements pipeline.Response.
func (m *meter) Write(p []byte) (int, error) {
	m.first()
	m.events += bytes.Count(p, eventEnd)
	if m.onEvents != nil && m.events >= m.reported+paceEvents {
		m.reported = m.events
		m.onEvents(m.events)
	}
	n, err := m.Response.Write(p)
	m.failed = m.failed || err != nil
	return n, err
}

// end notes that the answer has ended, also without a byte.
func (m *meter) end() { m.first() }

func (m *meter) first() {
	if !m.begun {
		m.begun, m.firstAt = true, m.now()
		m.onFirst(m.firstAt)
	}
}
