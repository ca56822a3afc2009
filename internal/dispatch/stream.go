package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const (
	// maxResumes is the maximum number of times one stream is resumed.
	maxResumes = 3
	// resumeDelay is the delay before each attempt to resume a stream.
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds the request that cancels a stream.
	cancelTimeout = 2 * time.Second
	// maxLineBytes is the maximum length of a line in an event stream. A longer
	// line counts as a broken stream.
	maxLineBytes = 64 << 10
)

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	doneData  = []byte("[DONE]")
)

// relayState records which events of a stream have been relayed.
type relayState struct {
	// lastID is the id of the last numbered event relayed.
	lastID int
	// done is true once the final event has been relayed.
	done bool
	// unnumbered is true once a data event without an id has been relayed. The
	// stream can't be resumed then.
	unnumbered bool
}

// relayStream copies a stream of server-sent events to w. If the stream breaks,
// it is resumed on the same engine after the last relayed event. If that fails,
// the stream is cancelled at the engine and relayStream returns a refusal.
func (s *Sender) relayStream(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, exchange *upstream.Exchange, w pipeline.Response) *verdict.Refusal {
	w.Start(responseHead(exchange.Response, server))
	var state relayState
	copyEvents(exchange, &state, w)
	for attempt := 0; attempt < maxResumes && !state.done && !state.unnumbered && ctx.Err() == nil; attempt++ {
		s.resumes.Inc(1)
		s.resumeStream(ctx, req, server, &state, w)
	}
	if state.done {
		return nil
	}
	s.interrupted.Inc(1)
	s.cancelStream(req, server)
	return interruptedRefusal(ctx)
}

// resumeStream requests the stream from the event after state.lastID and copies
// it to w. If the request fails, state is unchanged.
func (s *Sender) resumeStream(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, state *relayState, w pipeline.Response) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(resumeDelay):
	}
	header := http.Header{}
	header.Set(wire.HeaderRequestID, req.ID)
	header.Set(wire.HeaderTeam, req.Team)
	exchange, err := s.exchange(ctx, req, server, &upstream.Call{
		Method: http.MethodGet, Target: streamPath(req) + "?offset=" + strconv.Itoa(state.lastID), Header: header,
	})
	if err != nil {
		s.Log.Debug("resuming stream failed", "request", req.ID, "server", server.Name, "error", err)
		return
	}
	defer exchange.Release()
	if exchange.StatusCode == http.StatusOK && isResponseTo(req, exchange.Response) {
		copyEvents(exchange, state, w)
	}
}

// cancelStream asks the engine to stop generating, in the background. The
// request's own context may already have ended.
func (s *Sender) cancelStream(req *pipeline.Request, server *objects.BackendServer) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		exchange, err := s.pool.Do(ctx, &upstream.Call{
			Address: server.Spec.Address, Method: http.MethodDelete, Target: streamPath(req), Host: server.Spec.Address,
			// The response names no request, so only one on a new connection is certainly to this one.
			MaxIdle: -1,
		})
		if err != nil {
			s.Log.Debug("cancelling stream failed", "request", req.ID, "server", server.Name, "error", err)
			return
		}
		exchange.Abort()
	}()
}

// streamPath returns the engine's path for resuming and cancelling the stream of a
// request.
func streamPath(req *pipeline.Request) string {
	return "/v1/streams/" + url.PathEscape(req.ID)
}

// event is one server-sent event.
type event struct {
	// raw holds the event's lines as received.
	raw bytes.Buffer
	// id is the event's number, or zero if it has none.
	id      int
	hasData bool
	// final is true for the event with the data "[DONE]".
	final bool
}

func (e *event) reset() {
	e.raw.Reset()
	e.id, e.hasData, e.final = 0, false, false
}

// addLine appends a line to the event and parses its field.
func (e *event) addLine(line []byte) {
	e.raw.Write(line)
	if value, ok := bytes.CutPrefix(line, fieldID); ok {
		if n, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
			e.id = n
		}
	}
	if value, ok := bytes.CutPrefix(line, fieldData); ok {
		e.hasData = true
		e.final = bytes.Equal(bytes.TrimSpace(value), doneData)
	}
}

// copyEvents copies complete events to w until the final event, the end of the
// stream, a gap in the event ids or an error.
func copyEvents(body io.Reader, state *relayState, w pipeline.Response) {
	reader := bufio.NewReaderSize(body, maxLineBytes)
	var e event
	for !state.done {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			e.addLine(line)
			continue
		}
		if !state.relay(&e, w) {
			return
		}
		e.reset()
	}
}

// relay writes one event to w. It skips an event that has already been relayed.
// It reports false if the event's id isn't the next one or the write fails.
func (state *relayState) relay(e *event, w pipeline.Response) bool {
	switch {
	case e.raw.Len() == 0, e.id > 0 && e.id <= state.lastID:
		return true
	case e.id > state.lastID+1:
		return false
	}
	e.raw.WriteByte('\n')
	if _, err := w.Write(e.raw.Bytes()); err != nil {
		return false
	}
	w.Flush()
	state.done = e.final
	if e.id > 0 {
		state.lastID = e.id
	} else if e.hasData && !e.final {
		state.unnumbered = true
	}
	return true
}
