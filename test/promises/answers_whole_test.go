package promises

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/standin/link"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// outcome is how a caller's answer ended.
type outcome int

const (
	// outcomeComplete means that the answer was whole and its own.
	outcomeComplete outcome = iota
	// outcomeReportedIncomplete means that the caller was told that it isn't whole: by a
	// refusal, an error event or a connection that broke.
	outcomeReportedIncomplete
	// outcomeWrong means that an answer that looked whole was not.
	outcomeWrong
)

// completion is what the test reads of a chat completion and its events.
type completion struct {
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
}

// classifyResponse judges a whole answer by recomputing it from the prompt.
func classifyResponse(r reply, want string) outcome {
	if !r.ok() {
		return outcomeReportedIncomplete
	}
	var c completion
	if json.Unmarshal([]byte(r.body), &c) != nil || len(c.Choices) != 1 || c.Choices[0].Message.Content != want {
		return outcomeWrong
	}
	return outcomeComplete
}

// classifyStream judges a streamed answer by recomputing it from the prompt. What
// was streamed before a cut must be the start of the answer.
func classifyStream(r reply, want string) outcome {
	if r.status >= http.StatusBadRequest || r.body == "" && r.err != nil {
		return outcomeReportedIncomplete
	}
	var got strings.Builder
	toldCut := r.err != nil
	done := false
	for event := range strings.SplitSeq(r.body, "\n\n") {
		data := eventData(event)
		switch {
		case strings.Contains(event, "event: error"):
			toldCut = true
		case data == "[DONE]":
			done = true
		case data != "":
			var c completion
			if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
				got.WriteString(c.Choices[0].Delta.Content)
			}
		}
	}
	switch {
	case done && !toldCut && got.String() == want:
		return outcomeComplete
	case toldCut && !done && strings.HasPrefix(want, got.String()):
		return outcomeReportedIncomplete
	default:
		return outcomeWrong
	}
}

// eventData returns the data of an event.
func eventData(event string) string {
	for line := range strings.SplitSeq(event, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			return data
		}
	}
	return ""
}

// chatLoad sends chats from many callers until it is stopped.
type chatLoad struct {
	bed   *testbed.Bed
	complete atomic.Int64
	incomplete   atomic.Int64
	stop  atomic.Bool
	all   sync.WaitGroup
}

// startChats starts callers at the entries, each with prompts of its own.
func startChats(t *testing.T, bed *testbed.Bed, entries []*testbed.Gateway, callers, tokens int) *chatLoad {
	l := &chatLoad{bed: bed}
	for n := range callers {
		entry := entries[n%len(entries)]
		l.all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; !l.stop.Load(); i++ {
				l.sendOne(t, client, entry, fmt.Sprintf("caller %d, question %d", n, i), tokens, i%2 == 0)
			}
		})
	}
	return l
}

func (l *chatLoad) sendOne(t *testing.T, client *http.Client, entry *testbed.Gateway, prompt string, tokens int, stream bool) {
	body := fmt.Sprintf(`{"stream":%v,"model":"wind-writer","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	c := chat(unrestrictedTeam, prompt)
	c.body, c.timeout = body, chatTimeout
	r, judge := send(client, entry.CallerAddress(), c), classifyResponse
	if stream {
		judge = classifyStream
	}
	switch judge(r, expectedTextOfLength(prompt, tokens)) {
	case outcomeComplete:
		l.complete.Add(1)
	case outcomeReportedIncomplete:
		l.incomplete.Add(1)
		// Refusals come at once; the caller must not go round without a pause.
		time.Sleep(pauseAfterIncomplete)
	default:
		t.Errorf("%s: %q (stream %v) got a wrong answer: %v\n%s", entry.Name, prompt, stream, r, r.body)
	}
}

const (
	// chatTimeout is the deadline of a chat in these tests.
	chatTimeout = 4 * time.Second
	// pauseAfterIncomplete is a caller's pause after an answer that wasn't whole.
	pauseAfterIncomplete = 50 * time.Millisecond
)

// end stops the callers, waits for their last answers and checks that some
// were whole.
func (l *chatLoad) end(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.all.Wait()
	t.Logf("%d whole answers, %d callers told that theirs isn't", l.complete.Load(), l.incomplete.Load())
	if l.complete.Load() == 0 {
		t.Error("no answer was whole, so that nothing was shown")
	}
}

// useFastEngines makes a token take two milliseconds.
func useFastEngines(c *testbed.Config) {
	c.Engine = func(_ *objects.BackendServer, e *engine.Config) {
		e.TokensPerSecond, e.PrefillTokensPerSecond = 500, 100_000
	}
}

// setFaults sets the faults of all engines.
func setFaults(bed *testbed.Bed, f engine.Faults) {
	for _, e := range bed.Engines {
		e.SetFaults(f)
	}
}

// Each caller gets the whole answer to its own request, or is told that it
// isn't whole, when engines cut answers at each offset, drop them and hang.
func TestPromiseWholeAnswerOverFaultsOfEngines(t *testing.T) {
	const tokens, callers, cutsPerOffset = 12, 12, 3
	bed := startBed(t, useFastEngines)
	l := startChats(t, bed, allGateways(bed), callers, tokens)
	for offset := 1; offset <= tokens; offset++ {
		before := l.complete.Load() + l.incomplete.Load()
		setFaults(bed, engine.Faults{CutAt: offset, Cuts: cutsPerOffset})
		eventually(t, 20*time.Second, "answers under a cut", func() bool { return l.complete.Load()+l.incomplete.Load() >= before+callers })
	}
	setFaults(bed, engine.Faults{CutAt: tokens / 2}) // Each attempt to resume is cut too.
	time.Sleep(300 * time.Millisecond)
	setFaults(bed, engine.Faults{DropAnswer: true})
	time.Sleep(300 * time.Millisecond)
	setFaults(bed, engine.Faults{})
	l.end(t)
}

// Each caller gets the whole answer to its own request, or is told that it
// isn't whole, when answers come from other regions over links that are cut
// and gateways that are killed and paused in the middle of answers.
func TestPromiseWholeAnswerOverFaultsOfHops(t *testing.T) {
	const tokens, callers, rounds = 40, 12, 6
	bed := startBed(t, useFastEngines)
	for name, server := range bed.Set().BackendServers {
		if server.Spec.Model != "" && bed.Set().RegionOf(server.Spec.FailureDomain) == "jeju" {
			bed.CloseBackend(name)
		}
	}
	l := startChats(t, bed, bed.GatewaysOf("jeju"), callers, tokens)
	eventually(t, 20*time.Second, "answers from other regions", func() bool { return l.complete.Load() > callers })
	random := rand.New(rand.NewPCG(seed, 1))
	others := append(bed.GatewaysOf("busan"), bed.GatewaysOf("saemangeum")...)
	for i := range rounds {
		g := others[random.IntN(len(others))]
		injectHopFault(t, bed, g, i, time.Duration(100+random.IntN(200))*time.Millisecond)
	}
	l.end(t)
}

// injectHopFault disturbs the answers that come through another region's gateway.
func injectHopFault(t *testing.T, bed *testbed.Bed, g *testbed.Gateway, kind int, lasting time.Duration) {
	t.Helper()
	switch kind % 4 {
	case 0:
		bed.Link("jeju", g.Region).SetCut(link.CutReset)
		time.Sleep(lasting)
		bed.Heal("jeju", g.Region)
	case 1:
		g.Kill()
		restart(t, g)
	case 2:
		g.Freeze()
		time.Sleep(lasting)
		g.Wake()
	case 3:
		bed.Cut("jeju", g.Region)
		time.Sleep(lasting)
		bed.Heal("jeju", g.Region)
	}
	time.Sleep(lasting)
}

// allGateways returns all gateways, by region.
func allGateways(bed *testbed.Bed) []*testbed.Gateway {
	var all []*testbed.Gateway
	for _, region := range bed.Regions() {
		all = append(all, bed.GatewaysOf(region)...)
	}
	return all
}
