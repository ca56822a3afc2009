package body

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// filterBody passes a body through the filter and returns the request and the
// refusal, if any.
func filterBody(body io.Reader) (*pipeline.Request, *verdict.Refusal) {
	set := objects.NewSet()
	set.Models["writer"] = &objects.Model{Name: "writer", Spec: objects.ModelSpec{MaxOutputTokens: 100}}
	set.Index()
	req := &pipeline.Request{Snapshot: &snapshot.Snapshot{Config: set}, RawBody: body}
	accept := pipeline.HandlerFunc(func(context.Context, *pipeline.Request, pipeline.Response) *verdict.Refusal { return nil })
	return req, New(nil)(accept).Handle(context.Background(), req, nil)
}

func TestBadBodiesAreRefused(t *testing.T) {
	cases := map[string]struct {
		body   io.Reader
		status int
	}{
		"no JSON":       {strings.NewReader("not json"), http.StatusBadRequest},
		"truncated":     {strings.NewReader(`{"model":"writer","messages":[{"role"`), http.StatusBadRequest},
		"no messages":   {strings.NewReader(`{"model":"writer"}`), http.StatusBadRequest},
		"unknown model": {strings.NewReader(`{"model":"other","messages":[{}]}`), http.StatusNotFound},
		"too large":     {io.LimitReader(endless{}, wire.MaxBodyBytes+1), http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, refusal := filterBody(c.body)
			is.True(refusal != nil)
			is.Equal(refusal.Status, c.status)
			is.Equal(refusal.Verdict, verdict.NotRun)
		})
	}
}

// endless is an io.Reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestMaxTokensIsBoundedByModel(t *testing.T) {
	is := is.New(t)
	for requested, want := range map[string]int{"0": 100, "-5": 100, "7": 7, "1000": 100} {
		req, refusal := filterBody(strings.NewReader(`{"model":"writer","max_tokens":` + requested + `,"messages":[{"content":"x"}]}`))
		is.True(refusal == nil)
		is.Equal(req.Chat.MaxTokens, want)
	}
}

func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"writer","messages":[{"role":"user","content":"hello"}],"stream":true}`,
		`{"model":"writer","messages":[{"content":[{"type":"text","text":"x"}]}],"max_tokens":1e99}`,
		`[]`, `{"messages":{}}`, "\x00", `{"model":"writer","messages":[null]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, refusal := filterBody(bytes.NewReader(body))
		if refusal == nil && (req.Model == nil || req.Chat.MaxTokens <= 0 || req.Chat.MaxTokens > 100) {
			t.Errorf("accepted with model %v and %d tokens", req.Model, req.Chat.MaxTokens)
		}
		if refusal != nil && refusal.Verdict != verdict.NotRun {
			t.Errorf("refused with verdict %v", refusal.Verdict)
		}
	})
}
