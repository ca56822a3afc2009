package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// completion is the body of a non-streamed chat completion response.
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

// completionChunk is the data of one event of a streamed response.
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

// chunk returns the data of the event for token i.
func (e *Engine) chunk(s *stream, i int) []byte {
	c := chunkChoice{Delta: message{Role: "assistant", Content: s.token(i)}}
	if i == s.totalTokens {
		stop := "stop"
		c.FinishReason = &stop
	}
	data, err := json.Marshal(completionChunk{
		ID: s.id, Object: "chat.completion.chunk", Choices: []chunkChoice{c},
	})
	if err != nil {
		panic(err) // unreachable: strings and numbers can always be encoded
	}
	return data
}

// prefixID returns the identity of a prompt's cacheable prefix, which is its first
// message: the 64-bit xxHash of the model's name, a zero byte and the raw JSON
// of the message's content.
func prefixID(chat chatRequest) uint64 {
	return xxhash.Sum64String(chat.Model + "\x00" + string(chat.Messages[0].Content))
}
