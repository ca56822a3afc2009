package compat

import (
	"context"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const (
	prompt = "May I launch at Hamdeok?"
	tokens = 12
)

// newClient starts a deployment and returns an OpenAI client of one of its
// entries.
func newClient(t *testing.T) openai.Client {
	t.Helper()
	root, err := testbed.ModuleRoot()
	if err != nil {
		t.Fatal(err)
	}
	bed, err := testbed.Start(context.Background(), testbed.Config{
		Deployment: filepath.Join(root, "examples", "kite-consortium"), GatewayBinary: testbed.BuildGateway(t), Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	return openai.NewClient(
		option.WithBaseURL("http://"+bed.GatewaysOf("jeju")[0].CallerAddress()+"/v1/"),
		option.WithAPIKey("unused"),
		option.WithHeader(wire.HeaderTeam, "hamdeok-kite-school"),
		option.WithHTTPClient(&http.Client{Transport: &http.Transport{}}),
		option.WithMaxRetries(0),
	)
}

func params() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "wind-writer",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// The OpenAI client receives complete responses, streamed or not, and reports
// an unknown model as an error with status 404.
func TestOpenAIClientWholeAndStreamedResponses(t *testing.T) {
	is := is.New(t)
	client := newClient(t)
	ctx := context.Background()

	completion, err := client.Chat.Completions.New(ctx, params())
	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, standin.Answer(prompt, tokens))

	stream := client.Chat.Completions.NewStreaming(ctx, params())
	var text strings.Builder
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text.String(), standin.Answer(prompt, tokens))

	unknown := params()
	unknown.Model = "nobody"
	_, err = client.Chat.Completions.New(ctx, unknown)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "404"))
}
