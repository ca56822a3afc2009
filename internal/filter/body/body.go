// Package body reads the body of a request and resolves the model of a chat
// completion.
package body

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// bytesPerToken is the assumed size of a token in the content of messages.
const bytesPerToken = 4

// New returns the filter. The budget holds the bodies for as long as their requests last; nil
// means that there is no bound. It runs after the filters that only need the headers,
// so that they can refuse a request before its body is read.
func New(budget *membudget.Budget) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			memory := budget.Account()
			if req.InterruptBody != nil {
				memory = budget.Evictable(req.InterruptBody)
			}
			defer memory.Close()
			if refusal := readBody(req, memory); refusal != nil {
				return refusal
			}
			if req.Service == nil {
				if refusal := resolveModel(req); refusal != nil {
					return refusal
				}
			}
			return next.Handle(ctx, req, w)
		})
	}
}

// retryAfterMemory is when a request may be sent again for which there was no memory.
const retryAfterMemory = time.Second

func readBody(req *pipeline.Request, memory *membudget.Account) *verdict.Refusal {
	if req.RawBody == nil {
		return nil
	}
	segments, err := memory.ReadAll(io.LimitReader(req.RawBody, wire.MaxBodyBytes+1), req.BodyBytes)
	var data []byte
	if err == nil && segments.Len() <= wire.MaxBodyBytes {
		data, err = memory.Join(segments)
	}
	if errors.Is(err, membudget.ErrNoMemory) {
		return verdict.Busy(verdict.CodeOverloaded, err.Error(), retryAfterMemory)
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return refuseSize()
		}
		return verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the body could not be read")
	}
	if segments.Len() > wire.MaxBodyBytes {
		return refuseSize()
	}
	req.Body, req.RawBody = data, nil
	return nil
}

func refuseSize() *verdict.Refusal {
	return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, "the body is larger than 1 MiB")
}

// chatRequest holds the fields of a chat completion that the gateway uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func resolveModel(req *pipeline.Request) *verdict.Refusal {
	var chat chatRequest
	if err := json.Unmarshal(req.Body, &chat); err != nil {
		return verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the body is not a chat completion in JSON")
	}
	model := req.Snapshot.Config.Models[chat.Model]
	if model == nil {
		return verdict.Refuse(http.StatusNotFound, verdict.CodeUnknownModel, "no model has this name")
	}
	if len(chat.Messages) == 0 {
		return verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the member messages is empty")
	}
	req.Model, req.Target = model, model.Name
	req.Chat = pipeline.Chat{
		Stream:       chat.Stream,
		MaxTokens:    effectiveMaxTokens(chat, model.Spec.MaxOutputTokens),
		PromptTokens: promptTokens(chat.Messages),
		Prefix:       prefixHash(chat),
	}
	return nil
}

// effectiveMaxTokens returns the requested maximum of output tokens, limited to
// bound. A bound of zero or less means no limit.
func effectiveMaxTokens(chat chatRequest, bound int) int {
	requested := max(chat.MaxTokens, chat.MaxCompletionTokens)
	if requested <= 0 || (bound > 0 && requested > bound) {
		return bound
	}
	return requested
}

// promptTokens estimates the number of prompt tokens from the content size.
func promptTokens(messages []chatMessage) int {
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	return size / bytesPerToken
}

// prefixHash returns a hash of the model and the first message, which similar
// requests share.
func prefixHash(chat chatRequest) uint64 {
	var b strings.Builder
	b.WriteString(chat.Model)
	b.WriteByte(0)
	b.Write(chat.Messages[0].Content)
	return xxhash.Sum64String(b.String())
}
