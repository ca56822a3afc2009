package promises

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// bookingPath is the path of a call that may be executed at most once.
const bookingPath = wire.PathServices + "spot-desk/bookings"

// bookingTeams are used in rotation, so that none reaches its limits.
var bookingTeams = []string{"hamdeok-kite-school", "songjeong-kite-school", "sinsi-kite-school"}

// bookingAttempt is an attempt with an idempotency key and its response.
type bookingAttempt struct {
	key, team, body, entry string
	reply                  reply
}

// bookingRecorder sends booking attempts and records the responses.
type bookingRecorder struct {
	bed    *testbed.Bed
	random *rand.Rand
	client *http.Client

	mu       sync.Mutex
	attempts []bookingAttempt
	keys     []bookingAttempt // one per key, without a reply
}

func newBookingRecorder(t *testing.T, bed *testbed.Bed) *bookingRecorder {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(client.CloseIdleConnections)
	return &bookingRecorder{bed: bed, random: rand.New(rand.NewPCG(seed, 0)), client: client}
}

// newKeys returns n new idempotency keys of the owner, each with its own body.
func (b *bookingRecorder) newKeys(t *testing.T, owner *testbed.Gateway, n int) []bookingAttempt {
	t.Helper()
	keys, r := b.tryKeys(owner, n)
	if len(keys) == 0 {
		t.Fatalf("%s gives no key prefix: %v", owner.Name, r)
	}
	return keys
}

// tryKeys returns n new keys of the owner, or none if the owner does not
// respond.
func (b *bookingRecorder) tryKeys(owner *testbed.Gateway, n int) ([]bookingAttempt, reply) {
	r := send(b.client, owner.CallerAddress(), call{method: http.MethodGet, path: wire.PathEntries, timeout: time.Second})
	prefix := r.header.Get(wire.HeaderKeyPrefix)
	if prefix == "" {
		return nil, r
	}
	var keys []bookingAttempt
	for range n {
		i := len(b.keys)
		k := bookingAttempt{key: fmt.Sprintf("%s~%d", prefix, i), team: bookingTeams[i%len(bookingTeams)], body: fmt.Sprintf(`{"slot":%d}`, i)}
		if i%4 == 0 {
			k.body = "" // An HTTP transport may replay a request without a body.
		}
		b.keys = append(b.keys, k)
		keys = append(keys, k)
	}
	return keys, r
}

// attempt sends one attempt to an entry and records the response.
func (b *bookingRecorder) attempt(k bookingAttempt, entry *testbed.Gateway, timeout time.Duration) reply {
	k.entry = entry.Name
	k.reply = send(b.client, entry.CallerAddress(), call{
		method: http.MethodPost, path: bookingPath, team: k.team, key: k.key, body: k.body, timeout: timeout,
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, k)
	return k.reply
}

// attemptAll sends an attempt with each key to every running entry, all
// concurrently, and waits for the responses.
func (b *bookingRecorder) attemptAll(keys []bookingAttempt, timeout time.Duration) {
	var wg sync.WaitGroup
	for _, k := range keys {
		for _, entry := range b.bed.Gateways {
			if entry.Alive() {
				wg.Go(func() { b.attempt(k, entry, timeout) })
			}
		}
	}
	wg.Wait()
}

// executions returns how often each key was executed, summed over all replicas.
func executions(bed *testbed.Bed) map[string]int {
	sum := map[string]int{}
	for _, s := range bed.Services {
		for key, n := range s.Executions() {
			sum[key] += n
		}
	}
	return sum
}

// verdictOf returns the verdict of a response. A broken connection counts as
// may-have-run.
func verdictOf(r reply) verdict.Verdict {
	if r.err != nil {
		return verdict.MayHaveRun
	}
	return verdict.Parse(r.header.Get(wire.HeaderVerdict))
}

// audit checks the verdicts and responses against the executions that the
// replicas recorded.
func (b *bookingRecorder) audit(t *testing.T) {
	t.Helper()
	ran := executions(b.bed)
	for key, n := range ran {
		if n > 1 {
			t.Errorf("%s was executed %d times", key, n)
		}
	}
	responses := map[string]string{}
	counts := map[verdict.Verdict]int{}
	codes := map[verdict.Code]int{}
	for _, k := range b.attempts {
		v := verdictOf(k.reply)
		counts[v]++
		codes[k.reply.problem.Code]++
		switch {
		case v == verdict.NotRun && ran[k.key] > 0:
			t.Errorf("%s at %s got verdict not-run, but was executed: %v", k.key, k.entry, k.reply)
		case v == verdict.Ran && ran[k.key] == 0:
			t.Errorf("%s at %s got verdict ran, but was not executed: %v", k.key, k.entry, k.reply)
		}
		if k.reply.ok() {
			checkResponse(t, k, responses)
		}
	}
	t.Logf("%d keys, %d executed, %d attempts: %d ran, %d not-run, %d may-have-run",
		len(b.keys), len(ran), len(b.attempts), counts[verdict.Ran], counts[verdict.NotRun], counts[verdict.MayHaveRun])
	t.Logf("codes of the responses: %v", codes)
	if counts[verdict.Ran] == 0 {
		t.Error("no attempt got verdict ran, so the test is inconclusive")
	}
}

// checkResponse checks that an attempt received the complete response to its
// own request, and the same one as the other attempts with its key.
func checkResponse(t *testing.T, k bookingAttempt, responses map[string]string) {
	t.Helper()
	var a service.Answer
	if err := json.Unmarshal([]byte(k.reply.body), &a); err != nil {
		t.Errorf("%s at %s: the response is incomplete: %v: %q", k.key, k.entry, err, k.reply.body)
		return
	}
	if a.Key != k.key || a.Echo != standin.Digest([]byte(k.body)) {
		t.Errorf("%s at %s got the response to %s", k.key, k.entry, a.Key)
	}
	if first, seen := responses[k.key]; seen && first != k.reply.body {
		t.Errorf("%s at %s got a different response: first %q, now %q", k.key, k.entry, first, k.reply.body)
	}
	responses[k.key] = k.reply.body
}
