package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

const (
	// streamBufferBytes is the size of one read of a stream.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// streamSource is where a stream comes from: a backend server, or another VM,
// of which load and work are nil.
type streamSource struct {
	*upstream.Exchange
	load     *balance.Load
	work     *balance.InFlight
	estimate *balance.Estimate
}

// passStream passes on whole events as they arrive. A stream that breaks off
// leaves the last event passed on in x.lastEvent.
func (x *run) passStream(ctx context.Context, s *streamSource) outcome {
	if !x.w.Started() {
		x.w.Start(pipeline.Head{Status: s.StatusCode, Header: endToEnd(s.Header, -1)})
		x.w.Flush()
	}
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	lastAt := clock.Instant(0)
	for {
		n, readErr := s.Read(buffer)
		now := x.Now()
		if n > 0 {
			pending = append(pending, buffer[:n]...)
			whole := wholeEvents(pending)
			if whole > 0 {
				x.observe(s, now, &lastAt, countEvents(pending[:whole]))
				if out, ok := x.passEvents(s, pending[:whole]); !ok {
					return out
				}
				pending = append(pending[:0], pending[whole:]...)
			}
		}
		switch {
		case readErr == nil && len(pending) <= maxEventBytes:
		case errors.Is(readErr, io.EOF):
			return x.endStream(s, pending)
		default:
			s.Abort()
			reason := "an event is too large"
			if readErr != nil {
				reason = "stream broke off: " + readErr.Error()
			}
			if s.load != nil && ctx.Err() == nil {
				s.load.RecordFailure(now)
			}
			return outcome{arrived: true, reason: reason}
		}
	}
}

// observe notes the first event and the pace of the others.
func (x *run) observe(s *streamSource, now clock.Instant, lastAt *clock.Instant, events int) {
	if x.firstAt == 0 {
		x.firstAt = now
	}
	if s.work != nil {
		if *lastAt == 0 && x.sends == 1 && x.waited == 0 {
			x.Balancer.RecordPrefillTime(s.load, x.service, s.estimate, now.Sub(s.work.SentAt()), now)
		}
		s.work.RecordFirstByte(now)
	}
	if *lastAt != 0 {
		x.longestGap = max(x.longestGap, now.Sub(*lastAt))
	}
	if s.load != nil && *lastAt != 0 && x.service.Engine != nil {
		x.Balancer.RecordEventGap(s.load, now.Sub(*lastAt), events*x.service.Engine.EventTokens, now)
	}
	*lastAt = now
}

// passEvents writes whole events and remembers the last id. Events that were
// passed on before are dropped.
func (x *run) passEvents(s *streamSource, events []byte) (outcome, bool) {
	fresh := x.unseen(events)
	if len(fresh) == 0 {
		return outcome{}, true
	}
	if _, err := x.w.Write(fresh); err != nil {
		s.Abort()
		return outcome{arrived: true, final: true, reason: "caller left: " + err.Error()}, false
	}
	x.w.Flush()
	return outcome{}, true
}

// unseen returns the events whose ids come after the last one that was passed
// on, and moves that id forward.
func (x *run) unseen(events []byte) []byte {
	last, known := number(x.lastEvent)
	out := events[:0:0]
	for len(events) > 0 {
		n := firstEvent(events)
		event := events[:n]
		events = events[n:]
		id, ok := eventID(event)
		if ok {
			value, isNumber := number(id)
			if isNumber && known && value <= last {
				continue
			}
			x.lastEvent = id
			last, known = value, isNumber
			x.events++
		}
		out = append(out, event...)
	}
	return out
}

// endStream ends a stream whose framing says that it is whole.
func (x *run) endStream(s *streamSource, rest []byte) outcome {
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			s.Abort()
			return outcome{arrived: true, final: true, reason: "caller left: " + err.Error()}
		}
	}
	s.Done()
	if s.load != nil {
		s.load.RecordSuccess()
		x.Balancer.RecordDuration(x.service.Name, x.Now().Sub(s.work.SentAt()))
	}
	return outcome{delivered: true, arrived: true}
}

// wholeEvents returns the length of the events that are complete.
func wholeEvents(p []byte) int {
	end := 0
	for {
		n := firstEvent(p[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// firstEvent returns the length of the first event with the empty line that
// ends it, or zero.
func firstEvent(p []byte) int {
	for i := 0; i < len(p); {
		j := bytes.IndexByte(p[i:], '\n')
		if j < 0 {
			return 0
		}
		line := p[i : i+j]
		i += j + 1
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return i
		}
	}
	return 0
}

func countEvents(p []byte) int {
	n := 0
	for len(p) > 0 {
		k := firstEvent(p)
		if k == 0 {
			break
		}
		p = p[k:]
		n++
	}
	return n
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

func number(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil
}

// firstDelay returns the time to the first byte of the answer.
func (x *run) firstDelay() time.Duration {
	if x.firstAt == 0 {
		return 0
	}
	return x.firstAt.Sub(x.req.Arrived)
}
