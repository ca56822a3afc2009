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

// bookingPath is a call that may not be repeated.
const bookingPath = wire.PathServices + "spot-desk/bookings"

// bookingTeams take turns, so that none meets its limits.
var bookingTeams = []string{"hamdeok-kite-school", "songjeong-kite-school", "sinsi-kite-school"}

// bookingAttempt is what one attempt with a key was bookingAttempt.
type bookingAttempt struct {
	key, team, body, entry string
	reply                  reply
}

// bookingRecorder sends attempts and remembers what each was told.
type bookingRecorder struct {
	bed    *testbed.Bed
	random *rand.Rand
	client *http.Client

	mu    sync.Mutex
	attempts []bookingAttempt
	keys  []bookingAttempt // one without a reply for each key
}

func newBookingRecorder(t *testing.T, bed *testbed.Bed) *bookingRecorder {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(client.CloseIdleConnections)
	return &bookingRecorder{bed: bed, random: rand.New(rand.NewPCG(seed, 0)), client: client}
}

// newKeys returns n new keys of the owner, each with its content.
func (b *bookingRecorder) newKeys(t *testing.T, owner *testbed.Gateway, n int) []bookingAttempt {
	t.Helper()
	keys, r := b.tryKeys(owner, n)
	if len(keys) == 0 {
		t.Fatalf("%s gives no key prefix: %v", owner.Name, r)
	}
	return keys
}

// tryKeys returns n new keys of the owner, or none if it doesn't answer.
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
			k.body = "" // A transport may replay a request without a body.
		}
		b.keys = append(b.keys, k)
		keys = append(keys, k)
	}
	return keys, r
}

// attempt sends one attempt to an entry.
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

// attemptAll sends an attempt with each key to every entry that runs, all at
// once, and waits for the answers.
func (b *bookingRecorder) attemptAll(keys []bookingAttempt, timeout time.Duration) {
	var all sync.WaitGroup
	for _, k := range keys {
		for _, entry := range b.bed.Gateways {
			if entry.Alive() {
				all.Go(func() { b.attempt(k, entry, timeout) })
			}
		}
	}
	all.Wait()
}

// executions returns how often each key was carried out, at all replicas.
func executions(bed *testbed.Bed) map[string]int {
	sum := map[string]int{}
	for _, s := range bed.Services {
		for key, n := range s.Executions() {
			sum[key] += n
		}
	}
	return sum
}

// verdictOf returns the verdict that an attempt was told. A connection that
// broke says nothing.
func verdictOf(r reply) verdict.Verdict {
	if r.err != nil {
		return verdict.MayHaveRun
	}
	return verdict.Parse(r.header.Get(wire.HeaderVerdict))
}

// audit holds what the attempts were told against the stand-ins' records.
func (b *bookingRecorder) audit(t *testing.T) {
	t.Helper()
	ran := executions(b.bed)
	for key, n := range ran {
		if n > 1 {
			t.Errorf("%s was carried out %d times", key, n)
		}
	}
	answers := map[string]string{}
	counts := map[verdict.Verdict]int{}
	codes := map[verdict.Code]int{}
	for _, k := range b.attempts {
		v := verdictOf(k.reply)
		counts[v]++
		codes[k.reply.problem.Code]++
		switch {
		case v == verdict.NotRun && ran[k.key] > 0:
			t.Errorf("%s at %s was told not-run, and it ran: %v", k.key, k.entry, k.reply)
		case v == verdict.Ran && ran[k.key] == 0:
			t.Errorf("%s at %s was told ran, and it did not run: %v", k.key, k.entry, k.reply)
		}
		if k.reply.ok() {
			checkResponse(t, k, answers)
		}
	}
	t.Logf("%d keys, %d carried out, %d attempts: %d ran, %d not-run, %d may-have-run",
		len(b.keys), len(ran), len(b.attempts), counts[verdict.Ran], counts[verdict.NotRun], counts[verdict.MayHaveRun])
	t.Logf("codes of the answers: %v", codes)
	if counts[verdict.Ran] == 0 {
		t.Error("no attempt got an answer, so that nothing was shown")
	}
}

// checkResponse checks that an attempt got the whole answer to its own request,
// and the same one as the other attempts with its key.
func checkResponse(t *testing.T, k bookingAttempt, answers map[string]string) {
	t.Helper()
	var a service.Answer
	if err := json.Unmarshal([]byte(k.reply.body), &a); err != nil {
		t.Errorf("%s at %s: the answer is not whole: %v: %q", k.key, k.entry, err, k.reply.body)
		return
	}
	if a.Key != k.key || a.Echo != standin.Digest([]byte(k.body)) {
		t.Errorf("%s at %s got the answer to %s", k.key, k.entry, a.Key)
	}
	if first, seen := answers[k.key]; seen && first != k.reply.body {
		t.Errorf("%s at %s got another answer than before: %q and %q", k.key, k.entry, first, k.reply.body)
	}
	answers[k.key] = k.reply.body
}
