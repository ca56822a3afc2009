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
	// lastEvent is the data of the event that ends a whole stream.
	lastEvent = "[DONE]"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest asks a model for a completion.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// Priority is "high", "normal" or "low"; empty means normal.
	Priority string `json:"-"`
}

// Chat returns the whole completion as the engine's JSON. Its error is an
// *Error or ErrNoEntry.
func (c *Client) Chat(ctx context.Context, r ChatRequest) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	a, err := r.attempt(false)
	if err != nil {
		return nil, err
	}
	var answer *Answer
	err = c.repeat(ctx, func(address string) *Error {
		a.address = address
		var refused *Error
		answer, refused = c.whole(ctx, a)
		return refused
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// ChatStream starts a streamed completion. It repeats the request only before
// the stream starts. The caller must close the stream. Its error is an *Error
// or ErrNoEntry.
func (c *Client) ChatStream(ctx context.Context, r ChatRequest) (*Stream, error) {
	ctx, cancel := withDeadline(ctx)
	a, err := r.attempt(true)
	if err != nil {
		cancel()
		return nil, err
	}
	var stream *Stream
	err = c.repeat(ctx, func(address string) *Error {
		a.address = address
		resp, refused := c.exchange(ctx, a)
		if refused == nil {
			stream = newStream(resp, cancel)
		}
		return refused
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return stream, nil
}

func (r ChatRequest) attempt(stream bool) (attempt, error) {
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
	// Header holds the headers of the answer.
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

// errStreamCut says that a stream ended without its last event.
var errStreamCut = errors.New("the stream ended before its last event")

// Next returns the data of the next event. It returns io.EOF after a whole
// stream and an *Error if the stream was cut.
func (s *Stream) Next() (string, error) {
	if s.ended {
		return "", io.EOF
	}
	event, err, ok := s.next()
	switch {
	case !ok || err != nil:
		s.ended = true
		return "", transportError(errors.Join(errStreamCut, err))
	case event.Type == "error":
		s.ended = true
		return "", problemError([]byte(event.Data), s.Header)
	case event.Data == lastEvent:
		s.ended = true
		return "", io.EOF
	default:
		return event.Data, nil
	}
}

// Close ends the stream. The request is cancelled if the stream isn't whole.
func (s *Stream) Close() error {
	s.cancel()
	err := s.body.Close()
	s.stop()
	return err
}
