package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
	// doneData is the data of the event that ends a complete stream.
	doneData = "[DONE]"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a request for a chat completion.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// Priority is "high", "normal" or "low"; empty means normal.
	Priority string `json:"-"`
}

// Chat returns the complete response, whose body is the engine's JSON. The
// error is an *Error or ErrNoEntry.
func (c *Client) Chat(ctx context.Context, r ChatRequest) (*Answer, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	a, err := r.newAttempt(false)
	if err != nil {
		return nil, err
	}
	var answer *Answer
	err = c.retry(ctx, func(address string) *Error {
		a.address = address
		var failure *Error
		answer, failure = c.sendAndRead(ctx, a)
		return failure
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// ChatStream starts a streamed completion. It retries the request only until
// the stream has started. The caller must close the stream. The error is an
// *Error or ErrNoEntry.
func (c *Client) ChatStream(ctx context.Context, r ChatRequest) (*Stream, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	a, err := r.newAttempt(true)
	if err != nil {
		cancel()
		return nil, err
	}
	var stream *Stream
	err = c.retry(ctx, func(address string) *Error {
		a.address = address
		resp, failure := c.send(ctx, a)
		if failure == nil {
			stream = newStream(resp, cancel)
		}
		return failure
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return stream, nil
}

func (r ChatRequest) newAttempt(stream bool) (attempt, error) {
	body, err := json.Marshal(struct {
		ChatRequest
		Stream bool `json:"stream,omitempty"`
	}{r, stream})
	if err != nil {
		return attempt{}, err
	}
	return attempt{
		method: http.MethodPost, path: wire.PathChatCompletions,
		contentType: "application/json", body: body, priority: r.Priority,
	}, nil
}

// Stream is a streamed completion.
type Stream struct {
	// Header holds the response headers.
	Header http.Header

	body   io.ReadCloser
	next   func() (sse.Event, error, bool)
	stop   func()
	cancel context.CancelFunc
	ended  bool
}

func newStream(resp *http.Response, cancel context.CancelFunc) *Stream {
	next, stop := iter.Pull2(sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &Stream{Header: resp.Header, body: resp.Body, next: next, stop: stop, cancel: cancel}
}

// errStreamTruncated is wrapped in the error of a stream that ended without its
// last event.
var errStreamTruncated = errors.New("stream truncated before its last event")

// Next returns the data of the next event. It returns io.EOF at the end of a
// complete stream and an *Error if the stream was truncated.
func (s *Stream) Next() (string, error) {
	if s.ended {
		return "", io.EOF
	}
	event, err, ok := s.next()
	switch {
	case !ok || err != nil:
		s.ended = true
		return "", transportError(errors.Join(errStreamTruncated, err))
	case event.Type == "error":
		s.ended = true
		return "", problemError([]byte(event.Data), s.Header)
	case event.Data == doneData:
		s.ended = true
		return "", io.EOF
	default:
		return event.Data, nil
	}
}

// Close closes the stream. It cancels the request if the stream is incomplete.
func (s *Stream) Close() error {
	s.cancel()
	err := s.body.Close()
	s.stop()
	return err
}
