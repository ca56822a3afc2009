package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Headers of an engine's responses with its load at the start of the response.
const (
	HeaderRunning = "Engine-Running"
	HeaderQueued  = "Engine-Queued"
	HeaderRate    = "Engine-Tokens-Per-Second"
)

// bytesPerToken is the assumed mean size of a token in a prompt.
const bytesPerToken = 4

// defaultMaxTokens is the answer length for requests without a limit.
const defaultMaxTokens = 16

var errNoPrompt = errors.New("the request has no message")

// chatRequest has the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model               string       `json:"model"`
	Messages            []rawMessage `json:"messages"`
	MaxTokens           int          `json:"max_tokens"`
	MaxCompletionTokens int          `json:"max_completion_tokens"`
	Stream              bool         `json:"stream"`
}

// rawMessage is a message of a request. The content is a string or a list of
// content parts.
type rawMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content if it is a string, and otherwise its raw JSON.
func (m rawMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		return string(m.Content)
	}
	return text
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.serveChat)
	r.Get("/v1/streams/{id}", e.serveResume)
	r.Delete("/v1/streams/{id}", e.serveCancel)
	r.Get("/load", e.serveLoad)
	r.Get("/events", e.serveEvents)
	r.Post("/orders", e.serveOrder)
	return r
}

func (e *Engine) serveChat(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, wire.MaxBodyBytes))
	if err != nil {
		return
	}
	e.recordRequest(req, body)
	s, chat, err := newStream(req, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.currentFaults().Hang {
		<-req.Context().Done()
		return
	}
	s.readers = 1
	if !e.enqueue(s) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the engine takes no more requests", http.StatusServiceUnavailable)
		return
	}
	defer e.detach(s)
	e.setHeaders(w, s.id)
	if chat.Stream {
		e.writeStream(w, req.Context(), s, 0)
		return
	}
	e.writeCompletion(w, req.Context(), s, chat.Model)
}

func (e *Engine) recordRequest(req *http.Request, body []byte) {
	e.requests.Add(standin.RequestRecord{
		At:        time.Now(),
		Team:      req.Header.Get(wire.HeaderTeam),
		RequestID: req.Header.Get(wire.HeaderRequestID),
		Method:    req.Method,
		Path:      req.URL.Path,
		Digest:    standin.Digest(body),
	})
}

func newStream(req *http.Request, body []byte) (*stream, chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, chat, err
	}
	prompt := ""
	bytes := 0
	for _, m := range chat.Messages {
		bytes += len(m.Content)
		if m.Role == "user" {
			prompt = m.text()
		}
	}
	if len(chat.Messages) == 0 {
		return nil, chat, errNoPrompt
	}
	s := &stream{
		id:           req.Header.Get(wire.HeaderRequestID),
		prompt:       prompt,
		prefix:       prefixID(chat),
		promptTokens: 1 + bytes/bytesPerToken,
		prefixTokens: len(chat.Messages[0].Content) / bytesPerToken,
		totalTokens:  max(chat.MaxTokens, chat.MaxCompletionTokens),
		priority:     priorityOf(req.Header.Get(wire.HeaderPriority)),
		changed:      make(chan struct{}),
	}
	if s.id == "" {
		s.id = uuid.NewString()
	}
	if s.totalTokens <= 0 {
		s.totalTokens = defaultMaxTokens
	}
	return s, chat, nil
}

func priorityOf(name string) int {
	switch strings.ToLower(name) {
	case "high":
		return 0
	case "low":
		return 2
	default:
		return 1
	}
}

func (e *Engine) setHeaders(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := w.Header()
	h.Set(wire.HeaderRequestID, id)
	h.Set(HeaderRunning, strconv.Itoa(len(e.batch)))
	h.Set(HeaderQueued, strconv.Itoa(len(e.queue)))
	h.Set(HeaderRate, strconv.FormatFloat(e.streamRate(len(e.batch)), 'f', 2, 64))
}

// writeStream sends the events of the tokens after the first offset ones.
func (e *Engine) writeStream(w http.ResponseWriter, ctx context.Context, s *stream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if e.currentFaults().DropResponse {
		_, _ = e.waitComplete(ctx, s)
		abort()
	}
	flusher := http.NewResponseController(w)
	sent := offset
	for sent < s.totalTokens {
		p, err := e.waitProgress(ctx, s, sent)
		if err != nil {
			return
		}
		if p.cancelled {
			abort()
		}
		for sent < p.produced {
			sent++
			if e.shouldCut(sent) {
				abort()
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sent, e.chunk(s, sent)); err != nil {
				return
			}
		}
		_ = flusher.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// writeCompletion sends the answer as one body when it is complete.
func (e *Engine) writeCompletion(w http.ResponseWriter, ctx context.Context, s *stream, model string) {
	p, err := e.waitComplete(ctx, s)
	if err != nil {
		return
	}
	if p.cancelled || e.currentFaults().DropResponse {
		abort()
	}
	answer := completion{
		ID: s.id, Object: "chat.completion", Model: model,
		Choices: []choice{{
			Message:      message{Role: "assistant", Content: standin.Answer(s.prompt, s.totalTokens)},
			FinishReason: "stop",
		}},
		Usage: usage{Prompt: s.promptTokens, Completion: s.totalTokens, Total: s.promptTokens + s.totalTokens},
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// waitComplete waits until the answer is complete or the stream is cancelled.
func (e *Engine) waitComplete(ctx context.Context, s *stream) (progress, error) {
	for {
		p, err := e.waitProgress(ctx, s, s.totalTokens-1)
		if err != nil || p.cancelled || p.produced == s.totalTokens {
			return p, err
		}
	}
}

// abort closes the connection without completing the response.
func abort() { panic(http.ErrAbortHandler) }

// shouldCut reports whether the response must be interrupted before this token,
// and counts the interruption.
func (e *Engine) shouldCut(token int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutAtToken == 0 || token != e.faults.CutAtToken {
		return false
	}
	if e.faults.MaxCuts > 0 {
		e.faults.MaxCuts--
		if e.faults.MaxCuts == 0 {
			e.faults.CutAtToken = 0
		}
	}
	return true
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveResume(w http.ResponseWriter, req *http.Request) {
	offset, err := strconv.Atoi(req.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "bad offset", http.StatusBadRequest)
		return
	}
	e.recordRequest(req, nil)
	s := e.streamByID(chi.URLParam(req, "id"))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.attach(s)
	defer e.detach(s)
	e.setHeaders(w, s.id)
	e.writeStream(w, req.Context(), s, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, req *http.Request) {
	if !e.cancelByID(chi.URLParam(req, "id")) {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
