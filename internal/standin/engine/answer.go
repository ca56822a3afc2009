package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of the leading part of a prompt that the cache
// keeps.
const prefixBytes = 1024

// completion is a whole answer in the usual shape of chat completions.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// completionChunk is one event of a streamed answer.
type completionChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// chunk returns the event of token i.
func (e *Engine) chunk(s *stream, i int) []byte {
	c := chunkChoice{Delta: message{Role: "assistant", Content: s.token(i)}}
	if i == s.wanted {
		stop := "stop"
		c.FinishReason = &stop
	}
	data, err := json.Marshal(completionChunk{
		ID: s.id, Object: "chat.completion.chunk", Choices: []chunkChoice{c},
	})
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	return data
}

// leading returns the leading part of a prompt.
func leading(messages []message) string {
	text := messages[0].Content
	return text[:min(len(text), prefixBytes)]
}

// prefixOf identifies the leading part of a prompt.
func prefixOf(messages []message) uint64 { return xxhash.Sum64String(leading(messages)) }

// prefixTokens is the length of the leading part in tokens.
func prefixTokens(messages []message) int { return len(leading(messages)) / bytesPerToken }
