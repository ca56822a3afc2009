package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

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
	if i == s.totalTokens {
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

// prefixID identifies the first message of a prompt, which is what the cache
// keeps: the 64-bit xxHash of the model's name, a zero byte and the content as
// it stands in the request.
func prefixID(chat chatRequest) uint64 {
	return xxhash.Sum64String(chat.Model + "\x00" + string(chat.Messages[0].Content))
}
