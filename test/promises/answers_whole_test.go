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

// outcome classifies the response that a caller received.
type outcome int

const (
	// outcomeComplete means that the response was complete and belonged to the
	// request.
	outcomeComplete outcome = iota
	// outcomeReportedIncomplete means that the response was incomplete and the
	// caller could tell: by a refusal, an error event or a broken connection.
	outcomeReportedIncomplete
	// outcomeWrong means that the response was incomplete or belonged to another
	// request, and looked complete.
	outcomeWrong
)

// completion holds the fields of a chat completion or stream event that the
// tests read.
type completion struct {
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
}

// classifyResponse classifies a response that is not streamed. The expected
// content want is computed from the prompt.
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

// classifyStream classifies a streamed response. The expected content want is
// computed from the prompt; what was streamed before an interruption must be a
// prefix of it.
func classifyStream(r reply, want string) outcome {
	if r.status >= http.StatusBadRequest || r.body == "" && r.err != nil {
		return outcomeReportedIncomplete
	}
	var got strings.Builder
	reported := r.err != nil
	done := false
	for event := range strings.SplitSeq(r.body, "\n\n") {
		data := eventData(event)
		switch {
		case strings.Contains(event, "event: error"):
			reported = true
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
	case done && !reported && got.String() == want:
		return outcomeComplete
	case reported && !done && strings.HasPrefix(want, got.String()):
		return outcomeReportedIncomplete
	default:
		return outcomeWrong
	}
}

// eventData returns the data field of a server-sent event, or "".
func eventData(event string) string {
	for line := range strings.SplitSeq(event, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			return data
		}
	}
	return ""
}

// chatLoad sends chat requests from concurrent callers until it is stopped.
type chatLoad struct {
	bed        *testbed.Bed
	complete   atomic.Int64
	incomplete atomic.Int64
	stop       atomic.Bool
	wg         sync.WaitGroup
}

// startChats starts the callers, spread over the entries, each with its own
// prompts.
func startChats(t *testing.T, bed *testbed.Bed, entries []*testbed.Gateway, callers, tokens int) *chatLoad {
	l := &chatLoad{bed: bed}
	for n := range callers {
		entry := entries[n%len(entries)]
		l.wg.Go(func() {
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
	r, classify := send(client, entry.CallerAddress(), c), classifyResponse
	if stream {
		classify = classifyStream
	}
	switch classify(r, expectedTextOfLength(prompt, tokens)) {
	case outcomeComplete:
		l.complete.Add(1)
	case outcomeReportedIncomplete:
		l.incomplete.Add(1)
		// Refusals arrive immediately; without a pause the caller would loop on them.
		time.Sleep(pauseAfterIncomplete)
	default:
		t.Errorf("%s: %q (stream %v) got a wrong response: %v\n%s", entry.Name, prompt, stream, r, r.body)
	}
}

const (
	// chatTimeout is the deadline of a chat request in these tests.
	chatTimeout = 4 * time.Second
	// pauseAfterIncomplete is how long a caller pauses after an incomplete
	// response.
	pauseAfterIncomplete = 50 * time.Millisecond
)

// end stops the callers, waits for their last responses and checks that at
// least one was complete.
func (l *chatLoad) end(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.wg.Wait()
	t.Logf("%d complete responses, %d reported as incomplete", l.complete.Load(), l.incomplete.Load())
	if l.complete.Load() == 0 {
		t.Error("no response was complete, so the test is inconclusive")
	}
}

// useFastEngines sets a decode time of 2 ms per token.
func useFastEngines(c *testbed.Config) {
	c.Engine = func(_ *objects.BackendServer, e *engine.Config) {
		e.TokensPerSecond, e.PrefillTokensPerSecond = 500, 100_000
	}
}

// setFaults injects the faults into all engines.
func setFaults(bed *testbed.Bed, f engine.Faults) {
	for _, e := range bed.Engines {
		e.SetFaults(f)
	}
}

// Each caller receives the complete response to its own request, or an error
// that shows it is incomplete, while engines interrupt responses at each token
// offset or drop them.
func TestPromiseCompleteResponseUnderEngineFaults(t *testing.T) {
	const tokens, callers, cutsPerOffset = 12, 12, 3
	bed := startBed(t, useFastEngines)
	l := startChats(t, bed, allGateways(bed), callers, tokens)
	for offset := 1; offset <= tokens; offset++ {
		before := l.complete.Load() + l.incomplete.Load()
		setFaults(bed, engine.Faults{CutAtToken: offset, MaxCuts: cutsPerOffset})
		eventually(t, 20*time.Second, "responses while engines interrupt them", func() bool { return l.complete.Load()+l.incomplete.Load() >= before+callers })
	}
	setFaults(bed, engine.Faults{CutAtToken: tokens / 2}) // Each attempt to resume is interrupted too.
	time.Sleep(300 * time.Millisecond)
	setFaults(bed, engine.Faults{DropResponse: true})
	time.Sleep(300 * time.Millisecond)
	setFaults(bed, engine.Faults{})
	l.end(t)
}

// Each caller receives the complete response to its own request, or an error
// that shows it is incomplete, while responses come from other regions, whose
// links are cut and whose gateways are killed and paused in the middle of
// responses.
func TestPromiseCompleteResponseUnderHopFaults(t *testing.T) {
	const tokens, callers, rounds = 40, 12, 6
	bed := startBed(t, useFastEngines)
	for name, server := range bed.PublishedSet().BackendServers {
		if server.Spec.Model != "" && bed.PublishedSet().RegionOf(server.Spec.FailureDomain) == "jeju" {
			bed.StopBackend(name)
		}
	}
	l := startChats(t, bed, bed.GatewaysOf("jeju"), callers, tokens)
	eventually(t, 20*time.Second, "responses from other regions", func() bool { return l.complete.Load() > callers })
	random := rand.New(rand.NewPCG(seed, 1))
	others := append(bed.GatewaysOf("busan"), bed.GatewaysOf("saemangeum")...)
	for i := range rounds {
		g := others[random.IntN(len(others))]
		injectHopFault(t, bed, g, i, time.Duration(100+random.IntN(200))*time.Millisecond)
	}
	l.end(t)
}

// injectHopFault injects a fault into the hops from jeju through gateway g of
// another region, and repairs it.
func injectHopFault(t *testing.T, bed *testbed.Bed, g *testbed.Gateway, kind int, duration time.Duration) {
	t.Helper()
	switch kind % 4 {
	case 0:
		bed.Link("jeju", g.Region).SetCut(link.CutReset)
		time.Sleep(duration)
		bed.HealLink("jeju", g.Region)
	case 1:
		g.Kill()
		restart(t, g)
	case 2:
		g.Pause()
		time.Sleep(duration)
		g.Resume()
	case 3:
		bed.CutLink("jeju", g.Region)
		time.Sleep(duration)
		bed.HealLink("jeju", g.Region)
	}
	time.Sleep(duration)
}

// allGateways returns all gateways, ordered by region.
func allGateways(bed *testbed.Bed) []*testbed.Gateway {
	var all []*testbed.Gateway
	for _, region := range bed.Regions() {
		all = append(all, bed.GatewaysOf(region)...)
	}
	return all
}
