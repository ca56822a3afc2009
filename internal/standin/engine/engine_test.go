package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// fastConfig returns a configuration with rates so high that tests need not wait.
func fastConfig() Config {
	return Config{
		Name: "e", TokensPerSecond: 5000, PrefillTokensPerSecond: 1e6,
		Tick: time.Millisecond, LoadLag: time.Nanosecond, EventLag: time.Nanosecond,
	}
}

func start(t *testing.T, config Config) (*Engine, string) {
	t.Helper()
	e := New(config)
	s, err := standin.Serve("127.0.0.1:0", e.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close(); e.Close() })
	return e, s.URL()
}

func do(t *testing.T, method, url, id, body string) (status int, text string, err error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Chestnut-Team", "gulls")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func chat(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
}

// tokens concatenates the contents of a stream's events.
func tokens(t *testing.T, events string) string {
	t.Helper()
	var b strings.Builder
	for line := range strings.Lines(events) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c completionChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		b.WriteString(c.Choices[0].Delta.Content)
	}
	return b.String()
}

func TestCompleteAndStreamedAnswersMatchPrompt(t *testing.T) {
	is := is.New(t)
	e, url := start(t, fastConfig())
	_, text, err := do(t, "POST", url+"/v1/chat/completions", "a", chat("wind?", 20, false))
	is.NoErr(err)
	var parsed completion
	is.NoErr(json.Unmarshal([]byte(text), &parsed))
	is.Equal(parsed.ID, "a")
	is.Equal(parsed.Choices[0].Message.Content, standin.Answer("wind?", 20))
	_, text, err = do(t, "POST", url+"/v1/chat/completions", "b", chat("wind?", 20, true))
	is.NoErr(err)
	is.Equal(tokens(t, text), standin.Answer("wind?", 20))
	is.True(strings.HasSuffix(text, "data: [DONE]\n\n"))
	is.Equal(e.ReceivedRequests()[1].Team, "gulls")
	is.Equal(e.Counts().CacheHits, int64(1))
}

func TestInterruptedStreamResumesAtOffset(t *testing.T) {
	is := is.New(t)
	e, url := start(t, fastConfig())
	e.SetFaults(Faults{CutAtToken: 8, MaxCuts: 1})
	_, first, err := do(t, "POST", url+"/v1/chat/completions", "a", chat("p", 20, true))
	is.True(err != nil) // the connection was closed
	n := strings.Count(first, "id: ")
	is.True(n < 8)
	_, rest, err := do(t, "GET", fmt.Sprintf("%s/v1/streams/a?offset=%d", url, n), "a", "")
	is.NoErr(err)
	is.Equal(tokens(t, first)+tokens(t, rest), standin.Answer("p", 20))
	is.Equal(e.Counts().Started, int64(1))
}

func TestCancelAndRefuse(t *testing.T) {
	is := is.New(t)
	config := fastConfig()
	config.TokensPerSecond = 0.1
	e, url := start(t, config)
	ended := make(chan error, 1)
	go func() {
		_, _, err := do(t, "POST", url+"/v1/chat/completions", "a", chat("p", 20, true))
		ended <- err
	}()
	for e.Counts().Started == 0 {
		time.Sleep(time.Millisecond)
	}
	status, _, err := do(t, "DELETE", url+"/v1/streams/a", "a", "")
	is.NoErr(err)
	is.Equal(status, http.StatusNoContent)
	is.True(<-ended != nil)
	is.Equal(e.Counts().Cancelled, int64(1))
	e.SetFaults(Faults{Refuse: true})
	status, _, err = do(t, "POST", url+"/v1/chat/completions", "b", chat("p", 20, true))
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(e.Counts().Started, int64(1))
}

func TestQueueIsOrderedByPriorityAndRateFallsWithBatchSize(t *testing.T) {
	is := is.New(t)
	e := New(Config{Concurrency: 2, TokensPerSecond: 100, BatchSlowdown: 0.5})
	e.Close() // the test calls step itself
	add := func(id string, priority int) *stream {
		s := &stream{id: id, totalTokens: 30, priority: priority, readers: 1, changed: make(chan struct{})}
		is.True(e.enqueue(s))
		return s
	}
	a, b := add("a", 1), add("b", 1)
	low, high := add("low", 2), add("high", 0)
	e.step(time.Now(), 150*time.Millisecond) // 100/1.5 tokens per second each
	is.Equal([]int{a.produced, b.produced, low.produced, high.produced}, []int{10, 10, 0, 0})
	a.cancelled = true
	e.step(time.Now(), 0)
	is.Equal(e.batch[1].id, "high")
	e.faults.Slowdown = 4
	e.step(time.Now(), 600*time.Millisecond)
	is.Equal([]int{b.produced, high.produced}, []int{20, 10})
}

func TestCacheEvictsLeastRecentlyUsedAndEventsHaveGaps(t *testing.T) {
	is := is.New(t)
	log := &eventLog{gap: 3}
	c := newPrefixCache(20)
	is.True(!c.lookupOrStore(1, 10, log))
	is.True(!c.lookupOrStore(2, 10, log))
	is.True(c.lookupOrStore(1, 10, log))
	is.True(!c.lookupOrStore(3, 10, log)) // evicts 2; event 3 is dropped
	is.True(!c.lookupOrStore(2, 10, log)) // evicts 1
	var kinds []string
	for _, e := range log.publishedAfter(1) {
		kinds = append(kinds, fmt.Sprintf("%d %s %s", e.Seq, e.Kind, e.Prefix))
	}
	is.Equal(kinds, []string{"2 stored 2", "4 stored 3", "5 evicted 1"})
}

func TestOrdersWithAndWithoutFencing(t *testing.T) {
	is := is.New(t)
	order := func(url string, fence uint64) int {
		body, _ := json.Marshal(Order{Fence: fence, Kind: OrderLoad, Model: "m", Version: "2"})
		resp, err := http.Post(url+"/orders", "application/json", bytes.NewReader(body))
		is.NoErr(err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	config := fastConfig()
	config.ChecksFencing = true
	checks, url := start(t, config)
	is.Equal(order(url, 5), http.StatusNoContent)
	is.Equal(order(url, 4), http.StatusConflict)
	is.Equal(checks.Loaded(), []string{"m@2"})
	_, url = start(t, fastConfig())
	is.Equal(order(url, 5), http.StatusNoContent)
	is.Equal(order(url, 4), http.StatusNoContent)
}
