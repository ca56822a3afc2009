package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

const (
	// inlineBodyBytes is the size up to which a body is written before the
	// response is read. It fits the socket buffers, so that a server that responds
	// early can't block both sides.
	inlineBodyBytes = 16 << 10
	// maxReusedBodyBytes is the largest body after which a connection is reused: what a
	// receive buffer holds at first. The rest of a larger one may be unread, in the buffers of
	// both sides, when an early response comes.
	maxReusedBodyBytes = 64 << 10
	// extraStrayResponses is the number of responses to other requests that are skipped beyond
	// one for each request that the connection has carried.
	extraStrayResponses = 2
	// maxStrayBytes bounds the bodies of the responses that are skipped before one response.
	maxStrayBytes = 2 << 20
	// maxDrainBytes bounds the unread rest of a response that is read and discarded
	// so that the connection can be reused.
	maxDrainBytes = 16 << 10
	// maxDrainTime bounds the time of that. Usually the rest has arrived already.
	maxDrainTime = 50 * time.Millisecond
)

// Call is a request to be sent.
type Call struct {
	// ID identifies the request to its server, or is "". A connection carries an ID once: a
	// server may send a response again later, which bears the same ID.
	ID      string
	Address string
	Method  string
	// Target is the request target as sent: the encoded path with the query.
	Target string
	Host   string
	Header http.Header
	Body   membudget.Segments
	// MaxIdle is the maximum idle time of a pooled connection that is reused. None is reused
	// if it is negative.
	MaxIdle time.Duration
	// MaxOpen bounds the open connections to the address; zero means no bound.
	MaxOpen int
	// MatchResponse reports whether a response with the header belongs to this
	// request. Nil accepts all responses.
	MatchResponse func(http.Header) bool
}

// Exchange is a request whose response header has been received.
type Exchange struct {
	*http.Response
	conn       *conn
	stopCancel func() bool
	sent       *sending
	// uploaded means that the request's body has more than maxReusedBodyBytes.
	uploaded bool
	// complete is true once the body has been read to its end, and failed once a
	// read failed.
	complete, failed bool
	// StrayResponses is the number of skipped responses to other requests.
	StrayResponses int
	// PassedOver is the number of idle connections that had carried a request with the same ID.
	PassedOver int
}

// sending is the state of the writing of a request.
type sending struct {
	// whole is true once the whole request has been written.
	whole atomic.Bool
	// ended is closed when nothing more is written.
	ended chan struct{}
}

// Do sends the request once and reads the header of its response. The connection
// is closed when ctx ends; that of a HEAD request serves no other one. The error is
// ErrUnsent if certainly no byte was sent, or else ErrBroken.
func (p *Pool) Do(ctx context.Context, call *Call) (*Exchange, error) {
	c, passedOver := (*conn)(nil), 0
	if call.Method != http.MethodHead {
		c, passedOver = p.takeIdle(call)
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, call); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		c.close()
		return nil, ErrUnsent.New("%v", ctx.Err())
	}
	stop := context.AfterFunc(ctx, c.reset)
	c.window.Begin()
	c.carried.add(call.ID)
	sent, err := c.write(call)
	if err != nil {
		stop()
		c.reset()
		return nil, ErrBroken.New("write: %v", err)
	}
	x := &Exchange{conn: c, stopCancel: stop, sent: sent, uploaded: call.Body.Len() > maxReusedBodyBytes, PassedOver: passedOver}
	if err := x.readHead(call); err != nil {
		stop()
		c.reset()
		return nil, ErrBroken.New("answer: %s", describeReadError(err))
	}
	return x, nil
}

// describeReadError describes why a response could not be read, without what the server
// sent: that may belong to another request.
func describeReadError(err error) string {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errStray) || errors.Is(err, errHeadTooLarge) {
		return err.Error()
	}
	return "malformed response"
}

// errStray means that a server sent too many, or too long, responses to other requests.
var errStray = errors.New("answers of other requests")

// errNoResponse means that a server sent a status that neither is a response's nor
// precedes one: it switched protocols.
var errNoResponse = errors.New("status of no response")

// write sends the request. A large body is written in the background.
func (c *conn) write(call *Call) (sent *sending, err error) {
	sent = &sending{ended: make(chan struct{})}
	length := call.Body.Len()
	var head bytes.Buffer
	head.Grow(512 + min(length, inlineBodyBytes))
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	writeHeader(&head, call.Header)
	if length > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead && call.Method != http.MethodDelete {
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	head.WriteString("\r\n")
	if length <= inlineBodyBytes {
		_, _ = call.Body.WriteTo(&head)
		_, err = c.Write(head.Bytes())
		sent.whole.Store(true)
		close(sent.ended)
		return sent, err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return sent, err
	}
	go func() {
		// A write error shows when the response is read.
		if _, err := call.Body.WriteTo(c); err == nil {
			sent.whole.Store(true)
		}
		close(sent.ended)
	}()
	return sent, nil
}

// writeHeader writes the fields sorted by name. Values with line breaks are dropped
// as a precaution: values come from parsed requests, which have none.
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

// readHead reads the response header, skipping informational (1xx) responses and
// responses to other requests. The informational responses before a response count
// towards the limit of its header, as a server may send them without end.
func (x *Exchange) readHead(call *Call) error {
	request := &http.Request{Method: call.Method}
	x.conn.head.begin(x.conn.pool.MaxHeadBytes)
	maxStray, strayBytes := x.conn.carried.number()+extraStrayResponses, int64(maxStrayBytes)
	for {
		// The bytes after an informational response are in the buffer already.
		buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered())
		if err := x.conn.head.beginCheck(buffered); err != nil {
			return err
		}
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		switch {
		case !resp.ProtoAtLeast(1, 1) && x.conn.head.check.hasCoding:
			return errInvalidHead // net/http would read the chunks as the body
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return errNoResponse
		case resp.StatusCode < http.StatusOK:
			continue
		}
		x.conn.head.end()
		if call.MatchResponse == nil || call.MatchResponse(resp.Header) {
			x.Response = resp
			return nil
		}
		if x.StrayResponses++; x.StrayResponses > maxStray {
			return errStray
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes))
		if strayBytes -= n; err != nil || strayBytes <= 0 {
			return fmt.Errorf("%w, too long or without an end", errStray)
		}
		x.conn.head.begin(x.conn.pool.MaxHeadBytes)
	}
}

// Read reads the body. It returns io.EOF only if the response is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && !x.failed:
		if err := x.checkEnd(); err != nil {
			x.failed = true
			return n, err
		}
		x.complete = true
	default:
		x.failed = true
	}
	return n, err
}

// wasSent reports, at the end of the connection, whether the server has the whole request. A
// request of which nothing is unsent has just been written, or its writing has failed.
func (x *Exchange) wasSent() bool {
	if unsent, known := sockets.Unsent(x.conn.Conn); known && unsent > 0 {
		return false
	}
	select {
	case <-x.sent.ended:
	case <-time.After(maxDrainTime):
	}
	return x.sent.whole.Load()
}

// checkEnd returns why a body that was read to its end is not valid, or nil. Bytes that
// follow it are seen if they have arrived. Those after the response to a HEAD request, which
// may be its body, are not looked at: its connection serves no other request.
func (x *Exchange) checkEnd() error {
	if FramingOf(x.Response) == FramedByClose {
		if !x.wasSent() {
			return errEndedEarly
		}
		return nil
	}
	if x.Request.Method == http.MethodHead {
		return nil
	}
	if x.conn.reader.Buffered() == 0 && sockets.Peek(x.conn.Conn) == sockets.Bytes {
		_, _ = x.conn.reader.Peek(1) // bytes have arrived, so that it doesn't wait
	}
	if after, _ := x.conn.reader.Peek(x.conn.reader.Buffered()); !isResponseStart(after) {
		return errBytesAfter
	}
	return nil
}

// Complete reports whether the response has been read to its end.
func (x *Exchange) Complete() bool { return x.complete }

// LocalAddress returns the address of this side of the connection, which tells the connections
// to a server apart.
func (x *Exchange) LocalAddress() string { return x.conn.LocalAddr().String() }

// Reused reports whether the request was sent over a pooled connection.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Release ends the exchange. The connection returns to the pool if the request was
// sent and its response read completely, and the connection can serve another
// request; otherwise it is closed.
func (x *Exchange) Release() {
	x.drain()
	if !x.stopCancel() || !x.complete || !x.sent.whole.Load() {
		x.conn.reset()
		return
	}
	// A copy of the response to a HEAD request has a length but no body, which only its
	// request tells.
	isHead := x.Request.Method == http.MethodHead
	if x.Close || isHead || x.uploaded && !x.conn.pool.ServersStateUnread || x.conn.window.MustClose() || x.StrayResponses > 0 || x.conn.carried.full() || x.conn.reader.Buffered() > 0 || FramingOf(x.Response) == FramedByClose {
		x.conn.close()
		return
	}
	x.conn.idleTimeout = x.conn.pool.idleTimeoutOf(x.Header)
	if x.conn.idleTimeout <= 0 {
		x.conn.close()
		return
	}
	x.conn.idleSince = x.conn.pool.Now()
	x.conn.pool.putIdle(x.conn)
}

// drain reads a short rest of the body, so that the connection can be reused. A server
// that withholds it is not waited for.
func (x *Exchange) drain() {
	if x.complete || x.failed || x.ContentLength < 0 || x.ContentLength > maxDrainBytes {
		return
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(maxDrainTime)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxDrainBytes))
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		x.failed = true
	}
}

// Abort ends the exchange and resets the connection immediately.
func (x *Exchange) Abort() {
	x.stopCancel()
	x.conn.reset()
}

// idleTimeoutOf returns how long a connection may be idle after a response with the header: the
// timeout in the server's Keep-Alive header, at most maxIdleTimeout, less idleMargin, or
// IdleTimeout without one.
func (p *Pool) idleTimeoutOf(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(min(seconds, int(maxIdleTimeout/time.Second)))*time.Second - idleMargin
		}
	}
	return p.IdleTimeout
}
