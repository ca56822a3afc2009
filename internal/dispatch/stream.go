package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const (
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 3
	// resumePause is the time before a resumed stream is asked for again.
	resumePause = 50 * time.Millisecond
	// cancelTimeout bounds the call that cancels a stream.
	cancelTimeout = 2 * time.Second
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 64 << 10
)

var (
	prefixID   = []byte("id:")
	prefixData = []byte("data:")
	dataDone   = []byte("[DONE]")
)

// progress is how far a stream was passed on.
type progress struct {
	// last is the number of the last event passed on.
	last int
	// done means that the final event was passed on.
	done bool
	// unnumbered means that an event without a number was passed on, so that
	// the stream can't be resumed.
	unnumbered bool
}

// passStream passes on a stream of server-sent events. A stream that breaks is
// resumed on the same engine after the last event that was passed on.
func (s *Sender) passStream(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, resp *http.Response, w pipeline.Response) *verdict.Refusal {
	w.Start(headOf(resp, server))
	var p progress
	copyEvents(resp.Body, &p, w)
	for attempt := 0; attempt < maxResumes && !p.done && !p.unnumbered && ctx.Err() == nil; attempt++ {
		s.resume.Inc(1)
		s.resumeStream(ctx, req, server, &p, w)
	}
	if p.done {
		return nil
	}
	s.cut.Inc(1)
	s.cancel(req, server)
	return contextRefusalOrCut(ctx)
}

// resumeStream asks for the events that are missing and passes them on.
func (s *Sender) resumeStream(ctx context.Context, req *pipeline.Request, server *objects.BackendServer, p *progress, w pipeline.Response) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(resumePause):
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, streamURL(req, server)+"?offset="+strconv.Itoa(p.last), nil)
	if err != nil {
		return
	}
	out.Header.Set(wire.HeaderRequestID, req.ID)
	out.Header.Set(wire.HeaderTeam, req.Team)
	resp, err := s.client.Do(out)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK && resp.Header.Get(wire.HeaderRequestID) == req.ID {
		copyEvents(resp.Body, p, w)
	}
}

// cancel tells the engine that nobody waits for the stream any more.
func (s *Sender) cancel(req *pipeline.Request, server *objects.BackendServer) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		out, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(req, server), nil)
		if err != nil {
			return
		}
		resp, err := s.client.Do(out)
		if err != nil {
			s.Log.Debug("cancel failed", "request", req.ID, "server", server.Name, "error", err)
			return
		}
		_ = resp.Body.Close()
	}()
}

func streamURL(req *pipeline.Request, server *objects.BackendServer) string {
	return fmt.Sprintf("http://%s/v1/streams/%s", server.Spec.Address, url.PathEscape(req.ID))
}

// event is one server-sent event as it was read.
type event struct {
	raw     bytes.Buffer
	number  int
	hasData bool
	final   bool
}

func (e *event) reset() {
	e.raw.Reset()
	e.number, e.hasData, e.final = 0, false, false
}

// add appends a line to the event.
func (e *event) add(line []byte) {
	e.raw.Write(line)
	if value, ok := bytes.CutPrefix(line, prefixID); ok {
		if n, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
			e.number = n
		}
	}
	if value, ok := bytes.CutPrefix(line, prefixData); ok {
		e.hasData = true
		e.final = bytes.Equal(bytes.TrimSpace(value), dataDone)
	}
}

// copyEvents passes events on until the stream ends or breaks.
func copyEvents(body io.Reader, p *progress, w pipeline.Response) {
	reader := bufio.NewReaderSize(body, maxLineBytes)
	var e event
	for !p.done {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			e.add(line)
			continue
		}
		if !p.pass(&e, w) {
			return
		}
		e.reset()
	}
}

// pass writes one event. It reports false if an event is missing before it or
// if the caller can't be written to. An event that was passed on before is
// dropped.
func (p *progress) pass(e *event, w pipeline.Response) bool {
	switch {
	case e.raw.Len() == 0, e.number > 0 && e.number <= p.last:
		return true
	case e.number > p.last+1:
		return false
	}
	e.raw.WriteByte('\n')
	if _, err := w.Write(e.raw.Bytes()); err != nil {
		return false
	}
	w.Flush()
	p.done = e.final
	if e.number > 0 {
		p.last = e.number
	} else if e.hasData && !e.final {
		p.unnumbered = true
	}
	return true
}
