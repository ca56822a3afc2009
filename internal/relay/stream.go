package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/quarantine"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

const (
	// streamBufferBytes is the size of the buffer for reading a stream.
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 128 << 10
	// runningCheckTimeout bounds the check whether a server's process still runs.
	runningCheckTimeout = 400 * time.Millisecond
)

// streamSource is the origin of a stream: a backend server, or another VM. For
// another VM, all but the exchange and the version is nil.
type streamSource struct {
	*upstream.Exchange
	server *roster.Server
	// softwareVersion is the version of the software of the server.
	softwareVersion string
	load            *balance.Load
	work            *balance.InFlight
	estimate        *balance.Estimate
	watch           *serverWatch
	// continues means that the stream goes on with a response of which the caller has a
	// part, and newEvents is the number of its events with an ID that were not relayed
	// before.
	continues bool
	newEvents int
}

// relayStream relays complete events as they arrive. If the stream is
// interrupted, x.lastEventID is the ID after which it can be resumed.
func (x *transaction) relayStream(ctx context.Context, s *streamSource) outcome {
	if !x.beginStream(s.softwareVersion) {
		s.Abort()
		return outcome{mayHaveArrived: true, reason: "answer of software version " + strconv.Quote(s.softwareVersion) + " to a stream of " + strconv.Quote(x.origin.SoftwareVersion)}
	}
	s.continues = x.continues()
	if !x.w.Started() {
		if !x.inFlight.beginResponse(x) {
			s.Abort()
			return outcome{mayHaveArrived: true, final: true, reason: errVMStops.Error()}
		}
		x.w.Start(pipeline.Head{Status: s.StatusCode, Header: endToEndHeader(s.Header, -1)})
		x.w.Flush()
	}
	memory := x.Memory.Account()
	defer memory.Close()
	var pending []byte
	events := 0
	buffer := make([]byte, streamBufferBytes)
	lastAt := clock.Instant(0)
	for {
		n, readErr := s.Read(buffer)
		now := x.Now()
		reason := ""
		if n > 0 {
			var ok bool
			if pending, ok = memory.Append(pending, buffer[:n]); !ok {
				reason = "no memory for the rest of an event, after " + strconv.Itoa(len(pending)) + " bytes of it"
			}
			complete := completeEventsLen(pending)
			if complete > 0 {
				n := countEvents(pending[:complete])
				events += n
				x.recordEvents(s, now, &lastAt, n)
				unsent, fault := x.selectEvents(s, pending[:complete])
				if out, ok := x.writeEvents(s, unsent); !ok {
					return out
				}
				reason = cmp.Or(reason, fault)
				pending = append(pending[:0], pending[complete:]...)
			}
		}
		switch {
		case reason != "":
		case readErr == nil && len(pending) <= maxEventBytes:
			continue
		case readErr == nil:
			reason = "an event is too large"
		case errors.Is(readErr, io.EOF):
			x.recordStreamEnd(s, len(pending))
			reason = x.truncation(ctx, s, events, len(pending))
		default:
			reason = "stream broke off: " + readErr.Error()
		}
		if reason == "" {
			return x.finishStream(s)
		}
		s.Abort()
		if s.load != nil && ctx.Err() == nil {
			s.load.RecordFailure(now)
		}
		return outcome{mayHaveArrived: true, broke: true, reason: reason}
	}
}

// isEventStream reports whether a response on a stream route consists of events. A
// response without a content type does.
func isEventStream(h http.Header) bool {
	value := h.Get("Content-Type")
	if value == "" {
		return true
	}
	// A parameter that can't be parsed leaves the media type set.
	mediaType, _, _ := mime.ParseMediaType(value)
	return mediaType == "text/event-stream"
}

// truncation returns why a stream whose body ended regularly is incomplete, or "" if
// nothing shows that it is. A server that crashes may end a body like a complete one.
func (x *transaction) truncation(ctx context.Context, s *streamSource, events, unfinishedBytes int) string {
	switch {
	case unfinishedBytes > 0:
		return "stream ended inside an event, after " + strconv.Itoa(unfinishedBytes) + " bytes of it"
	case s.continues && s.newEvents == 0:
		// The end of the stream is known only from a response with the end in it.
		return "stream that should go on ended before its first new event"
	case events == 0 && upstream.FramingOf(s.Response) == upstream.FramedByClose:
		return "stream without length or chunks ended before its first event"
	case s.server != nil && x.endedWithServer(ctx, s.server, s.Response):
		return "stream without length or chunks ended with its server's process"
	}
	return ""
}

// endedWithServer reports whether a body that is framed by close may have ended because
// the server's process did.
func (x *transaction) endedWithServer(ctx context.Context, s *roster.Server, resp *http.Response) bool {
	if upstream.FramingOf(resp) != upstream.FramedByClose {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, runningCheckTimeout)
	defer cancel()
	return !x.IsRunning(ctx, s)
}

// recordEvents records the arrival of events: the time of the first byte and
// the gaps between events. The prefill time is measured only for the first send
// of a request, and only if it did not wait for a prefill slot.
func (x *transaction) recordEvents(s *streamSource, now clock.Instant, lastAt *clock.Instant, events int) {
	x.recordFirstByte(now)
	x.patience.recordEvent(now)
	if s.work != nil {
		if *lastAt == 0 && x.sends == 1 && x.slotWait == 0 {
			x.Balancer.RecordPrefillTime(s.load, x.service, s.estimate, now.Sub(s.work.SentAt()), now)
		}
		s.work.RecordFirstByte(now)
		if x.answeredAt == 0 {
			x.answeredAt = now
		} else if now.Sub(x.answeredAt) >= quarantine.SurvivalTime {
			x.recordSurvival(x.service.Name, s.work.SentAt(), x.answeredAt)
		}
		s.watch.lastEventAt.Store(int64(now))
	}
	if *lastAt != 0 {
		x.longestGap = max(x.longestGap, now.Sub(*lastAt))
	}
	if s.load != nil && *lastAt != 0 && x.service.Engine != nil {
		x.Balancer.RecordEventGap(s.load, now.Sub(*lastAt), events*x.service.Engine.EventTokens, now)
	}
	*lastAt = now
}

// recordStreamEnd records how a stream ended that was read to its end.
func (x *transaction) recordStreamEnd(s *streamSource, unfinishedBytes int) {
	x.framing, x.unfinishedBytes = upstream.FramingOf(s.Response), unfinishedBytes
	x.Metrics.countStreamEnd(x.framing, unfinishedBytes > 0)
}

// writeEvents writes complete events to the caller. If the write fails, it returns the
// outcome and false.
func (x *transaction) writeEvents(s *streamSource, events []byte) (outcome, bool) {
	if len(events) == 0 {
		return outcome{}, true
	}
	if _, err := x.w.Write(events); err != nil {
		s.Abort()
		return outcome{mayHaveArrived: true, final: true, reason: "answer not passed on: " + err.Error()}, false
	}
	x.w.Flush()
	return outcome{}, true
}

// selectEvents returns the events without those whose numeric IDs are not above
// x.lastEventID, and advances x.lastEventID. Events without an ID are kept. If one of
// the events may not be relayed, it returns those before it and the reason. It overwrites
// the given events.
func (x *transaction) selectEvents(s *streamSource, events []byte) (out []byte, fault string) {
	last, known := parseNumericID(x.lastEventID)
	out = events[:0] // what is kept moves to the start
	for len(events) > 0 {
		n := firstEventLen(events)
		event := events[:n]
		events = events[n:]
		id, ok := eventID(event)
		kind := kindOfBlock(event)
		if fault = s.eventFault(kind, ok); fault != "" {
			break
		}
		if ok {
			value, isNumber := parseNumericID(id)
			if isNumber && known && value <= last {
				continue
			}
			x.lastEventID = id
			last, known = value, isNumber
			x.events++
			s.newEvents++
		}
		x.relayedUnnumbered = x.relayedUnnumbered || kind == blockEvent && !ok
		out = append(out, event...)
	}
	return out, fault
}

// finishStream ends a stream whose body was read to its end.
func (x *transaction) finishStream(s *streamSource) outcome {
	s.Release()
	if s.load != nil {
		s.load.RecordSuccess(x.Now())
		x.Balancer.RecordDuration(x.service.Name, x.Now().Sub(s.work.SentAt()))
	}
	return outcome{delivered: true, mayHaveArrived: true}
}

// completeEventsLen returns the length of the complete events at the start of p.
func completeEventsLen(p []byte) int {
	end := 0
	for {
		n := firstEventLen(p[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// firstEventLen returns the length of the first event, including the empty line
// that ends it, or zero if p contains no complete event.
func firstEventLen(p []byte) int {
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

// countEvents returns the number of complete events in p.
func countEvents(p []byte) int {
	n := 0
	for len(p) > 0 {
		k := firstEventLen(p)
		if k == 0 {
			break
		}
		p = p[k:]
		n++
	}
	return n
}

// eventID returns the ID of an event and whether it has one that isn't empty.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id := string(bytes.TrimSpace(value))
			return id, id != ""
		}
	}
	return "", false
}

// parseNumericID returns the value of an event ID and whether it is a number.
func parseNumericID(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil
}

// timeToFirstByte returns the time from the arrival of the request to the first
// byte of the response, or zero if there is none.
func (x *transaction) timeToFirstByte() time.Duration {
	if x.firstByteAt == 0 {
		return 0
	}
	return x.firstByteAt.Sub(x.req.Arrived)
}

// sinceFirstByte returns the time since the first byte of the response, or zero if
// there is none.
func (x *transaction) sinceFirstByte() time.Duration {
	if x.firstByteAt == 0 {
		return 0
	}
	return x.Now().Sub(x.firstByteAt)
}
