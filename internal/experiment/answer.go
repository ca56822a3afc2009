package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// maxLineBytes bounds a line of a streamed response.
const maxLineBytes = 1 << 20

func errorAs[T error](err error, target *T) bool { return errors.As(err, target) }

// readResponse reads and checks the body of a response with status 200.
func readResponse(o *Outcome, body io.Reader) {
	switch {
	case o.Call.Kind != KindChat:
		readServiceResponse(o, body)
	case o.Call.Stream:
		readStream(o, body)
	default:
		readUnaryResponse(o, body)
	}
}

func readServiceResponse(o *Outcome, body io.Reader) {
	var a service.Answer
	if !decodeJSON(o, body, &a) {
		return
	}
	o.Backend = a.Server
	switch {
	case a.Echo != standin.Digest(o.Call.Body):
		o.Wrong = "response belongs to another request body"
	case a.Key != o.IdempotencyKey:
		o.Wrong = "response belongs to key " + a.Key
	case a.Path != o.Call.Path:
		o.Wrong = "response belongs to path " + a.Path
	}
}

func readUnaryResponse(o *Outcome, body io.Reader) {
	var a struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
	}
	if !decodeJSON(o, body, &a) {
		return
	}
	if len(a.Choices) != 1 || a.Choices[0].Message.Content != standin.Answer(o.Call.Prompt, o.Call.Tokens) {
		o.Wrong = "response text doesn't match the prompt"
	}
}

// decodeJSON reads a JSON response and reports success. An interrupted
// connection sets Err; invalid JSON without a connection error sets Wrong.
func decodeJSON(o *Outcome, body io.Reader, into any) bool {
	data, err := io.ReadAll(io.LimitReader(body, wire.MaxAnswerBytes))
	o.FirstToken = time.Since(o.Intended)
	if err != nil {
		o.Err = err.Error()
		return false
	}
	if err := json.Unmarshal(data, into); err != nil {
		o.Wrong = "response is not JSON: " + err.Error()
		return false
	}
	return true
}

// readStream reads server-sent events and compares each token with the expected
// one.
func readStream(o *Outcome, body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	tokens, isError := 0, false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			isError = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if isError {
			o.Err = "error event"
			readProblem(o, []byte(data))
			return
		}
		if data == "[DONE]" {
			if tokens != o.Call.Tokens {
				o.Wrong = "stream has too few tokens"
			}
			return
		}
		tokens++
		if tokens == 1 {
			o.FirstToken = time.Since(o.Intended)
		}
		if !matchesToken(data, o.Call, tokens) {
			o.Wrong = "stream token doesn't match the prompt"
			return
		}
	}
	switch err := lines.Err(); {
	case err != nil:
		o.Err = err.Error()
	default:
		o.Wrong = "stream ended without its last event"
	}
}

func matchesToken(data string, call *Call, i int) bool {
	var c struct {
		Choices []struct {
			Delta chatMessage `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return false
	}
	return i <= call.Tokens && c.Choices[0].Delta.Content == standin.Token(call.Prompt, i)
}
