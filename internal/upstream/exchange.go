package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// inlineBodyBytes is the size up to which a body is written before the
	// answer is read. It fits the sockets' buffers, so that a server that
	// answers early can't block both sides.
	inlineBodyBytes = 16 << 10
	// maxStrayAnswers bounds the answers of other requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of an answer that is skipped.
	maxStrayBytes = 1 << 20
	// drainBytes bounds what is read of an answer that nobody wants, to keep
	// its connection.
	drainBytes = 16 << 10
)

// Call is one request.
type Call struct {
	Address string
	Method  string
	// Target is the path with the query, as it goes on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is how long a kept connection may have been idle to be used.
	MaxIdle time.Duration
	// MaxOpen bounds the connections to the address; zero means no bound.
	MaxOpen int
	// MatchResponse reports whether an answer with the header is this request's.
	// Nil accepts all.
	MatchResponse func(http.Header) bool
}

// Exchange is a request whose answer has begun.
type Exchange struct {
	*http.Response
	conn *conn
	stop func() bool
	// sent is true once the whole request was written.
	sent *atomic.Bool
	// whole is true once the body was read to its end, and broken once a read
	// failed.
	whole, broken bool
	// StrayResponses counts answers of other requests that were skipped.
	StrayResponses int
}

// Do sends the request once and reads the head of its answer. When ctx ends
// the connection is closed. The error is ErrUnsent if no byte was sent, else
// ErrBroken.
func (p *Pool) Do(ctx context.Context, call *Call) (*Exchange, error) {
	c := p.take(call.Address, call.MaxIdle)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, call.Address, call.MaxOpen); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		c.close()
		return nil, ErrUnsent.New("%v", ctx.Err())
	}
	stop := context.AfterFunc(ctx, c.close)
	sent, err := c.write(call)
	if err != nil {
		stop()
		c.close()
		return nil, ErrBroken.New("write: %v", err)
	}
	x := &Exchange{conn: c, stop: stop, sent: sent}
	if err := x.readHead(call); err != nil {
		stop()
		c.close()
		return nil, ErrBroken.New("answer: %v", err)
	}
	return x, nil
}

// write sends the request. A large body goes on in the background; sent tells
// when it is through.
func (c *conn) write(call *Call) (sent *atomic.Bool, err error) {
	sent = &atomic.Bool{}
	var head bytes.Buffer
	head.Grow(512 + min(len(call.Body), inlineBodyBytes))
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	writeHeader(&head, call.Header)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead && call.Method != http.MethodDelete {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(call.Body) <= inlineBodyBytes {
		head.Write(call.Body)
		_, err = c.Write(head.Bytes())
		sent.Store(true)
		return sent, err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return sent, err
	}
	go func() {
		// An error here shows when the answer is read.
		if _, err := c.Write(call.Body); err == nil {
			sent.Store(true)
		}
	}()
	return sent, nil
}

// writeHeader writes the fields in a fixed order. Field values come from
// parsed requests; line breaks in them are impossible, and are dropped all the
// same.
func writeHeader(w *bytes.Buffer, h http.Header) {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range h[name] {
			if strings.ContainsAny(value, "\r\n") {
				continue
			}
			w.WriteString(name + ": " + value + "\r\n")
		}
	}
}

// readHead reads past interim answers and answers of other requests.
func (x *Exchange) readHead(call *Call) error {
	request := &http.Request{Method: call.Method}
	for {
		x.conn.in.N = maxHeadBytes
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		x.conn.in.N = math.MaxInt64
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if call.MatchResponse == nil || call.MatchResponse(resp.Header) {
			x.Response = resp
			return nil
		}
		if x.StrayResponses++; x.StrayResponses > maxStrayAnswers {
			return errors.New("answers of other requests")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
			return errors.New("an answer of another request that does not end")
		}
	}
}

// Read reads the body. It returns io.EOF only where the answer is whole.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && !x.broken:
		x.whole = true
	default:
		x.broken = true
	}
	return n, err
}

// Reused reports whether the request went over a kept connection.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Release ends the exchange. The connection is kept if the answer was read to its
// end and nothing speaks against it; else it is closed.
func (x *Exchange) Release() {
	if !x.stop() {
		x.conn.close()
		return
	}
	if !x.whole && !x.broken {
		// A short rest, such as the end of the chunks, is worth reading.
		if x.ContentLength >= 0 && x.ContentLength <= drainBytes {
			_, _ = io.Copy(io.Discard, io.LimitReader(x, drainBytes))
		}
	}
	if !x.whole || x.Close || x.StrayResponses > 0 || !x.sent.Load() || x.conn.reader.Buffered() > 0 || x.unframed() {
		x.conn.close()
		return
	}
	x.conn.idleFor = idleTime(x.Header)
	if x.conn.idleFor <= 0 {
		x.conn.close()
		return
	}
	x.conn.idleSince = x.conn.pool.Now()
	x.conn.pool.put(x.conn)
}

// Abort ends the exchange and closes the connection at once.
func (x *Exchange) Abort() {
	x.stop()
	x.conn.close()
}

func (x *Exchange) unframed() bool { return x.ContentLength < 0 && len(x.TransferEncoding) == 0 }

// idleTime returns how long the connection may be idle, by the server's word.
func idleTime(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
