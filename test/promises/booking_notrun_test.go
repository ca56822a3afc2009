package promises

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

const (
	// overloadKeys is more than the replicas can execute before the deadline.
	overloadKeys = 150
	// keysBeforeOverload is the number of bookings sent before the overload.
	keysBeforeOverload = 4
	// overloadTimeout is the deadline of bookings during the overload.
	overloadTimeout = 500 * time.Millisecond
	// delayedAttempts is the number of attempts delayed in the network.
	delayedAttempts = 20
)

// delayedAttempt is an attempt whose last byte has not been sent yet.
type delayedAttempt struct {
	bookingAttempt
	conn net.Conn
}

// startDelayed sends an attempt without its last byte.
func startDelayed(t *testing.T, k bookingAttempt, entry *testbed.Gateway) *delayedAttempt {
	t.Helper()
	conn, err := net.Dial("tcp", entry.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		bookingPath, wire.HeaderTeam, k.team, wire.HeaderIdempotencyKey, k.key, len(k.body), k.body)
	if _, err := conn.Write([]byte(request[:len(request)-1])); err != nil {
		t.Fatal(err)
	}
	k.entry = entry.Name + " (delayed)"
	return &delayedAttempt{bookingAttempt: k, conn: conn}
}

// deliver sends the last byte and reads the response.
func (d *delayedAttempt) deliver() {
	if _, err := d.conn.Write([]byte(d.body[len(d.body)-1:])); err != nil {
		d.reply = reply{err: err}
		return
	}
	_ = d.conn.SetReadDeadline(time.Now().Add(defaultTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(d.conn), nil)
	if err != nil {
		d.reply = reply{err: err}
		return
	}
	d.reply = readReply(resp)
}

// withBodies returns the bookings that have a body; the others have no last
// byte to delay.
func withBodies(keys []bookingAttempt) []bookingAttempt {
	var list []bookingAttempt
	for _, k := range keys {
		if k.body != "" {
			list = append(list, k)
		}
	}
	return list
}

// useSmallReplicas gives each booking replica two slots and publishes that
// concurrency.
func useSmallReplicas(c *testbed.Config) {
	const slots = 2
	set, err := objects.Load(c.Deployment)
	if err != nil {
		panic(err)
	}
	for name, server := range set.BackendServers {
		if server.Spec.Service != "" {
			small := *server
			small.Spec.Concurrency = slots
			set.BackendServers[name] = &small
		}
	}
	desk := *set.Services["spot-desk"]
	desk.Spec.Calls = slices.Clone(desk.Spec.Calls)
	for i := range desk.Spec.Calls {
		desk.Spec.Calls[i].Seconds = bookingDuration.Seconds()
	}
	set.Services["spot-desk"] = &desk
	c.Set = set
}

// Once any attempt of a booking received the verdict not-run, the booking has
// not run and never will: under overload, when the caller retries at other
// entries, when the owner is killed in between, and when an attempt delayed in
// the network arrives after the overload.
func TestPromiseNotRunVerdictIsCorrect(t *testing.T) {
	bed := startBed(t, useSmallReplicas)
	b := newBookingRecorder(t, bed)
	owners := bed.GatewaysOf("busan")
	keys := b.newKeys(t, owners[0], overloadKeys/2)
	keys = append(keys, b.newKeys(t, owners[1], overloadKeys/2)...)
	var delayed []*delayedAttempt
	for i, k := range withBodies(keys)[:delayedAttempts] {
		entry := bed.GatewaysOf(bed.Regions()[i%len(bed.Regions())])[0]
		delayed = append(delayed, startDelayed(t, k, entry))
	}

	b.attemptAll(keys[:keysBeforeOverload], defaultTimeout)
	b.attemptAll(keys, overloadTimeout)
	if countNotRun(b.attempts) == 0 {
		t.Fatal("no attempt got verdict not-run, so the test is inconclusive")
	}
	// The repeated and the delayed attempts arrive after the overload.
	b.attemptAll(keys, defaultTimeout)
	var wg sync.WaitGroup
	for _, d := range delayed {
		wg.Go(d.deliver)
	}
	wg.Wait()
	for _, d := range delayed {
		b.attempts = append(b.attempts, d.bookingAttempt)
	}
	restart(t, owners[0])
	b.attemptAll(keys, defaultTimeout)
	b.audit(t)
}

func countNotRun(attempts []bookingAttempt) int {
	n := 0
	for _, k := range attempts {
		if verdictOf(k.reply) == verdict.NotRun {
			n++
		}
	}
	return n
}

// queryOutcome queries an entry for the outcome of a key. rawTimeout, if not
// empty, is the value of the timeout header.
func (b *bookingRecorder) queryOutcome(k bookingAttempt, entry *testbed.Gateway, rawTimeout string) reply {
	k.entry = entry.Name + " (outcome query)"
	k.reply = send(b.client, entry.CallerAddress(), call{
		method: http.MethodGet, path: wire.PathBookings + k.key, team: k.team, rawTimeout: rawTimeout,
	})
	b.attempts = append(b.attempts, k)
	return k.reply
}

// earlyRefusals maps the reason of a refusal that precedes the booking filter to
// a function that modifies an attempt to cause it.
var earlyRefusals = map[string]func(*call){
	"non-numeric timeout":     func(c *call) { c.rawTimeout = "soon" },
	"body too large":          func(c *call) { c.body = strings.Repeat("x", wire.MaxBodyBytes+1) },
	"unknown team":            func(c *call) { c.team = "nobody" },
	"unknown call":            func(c *call) { c.path = wire.PathServices + "spot-desk/nothing" },
	"entry in another region": func(c *call) {},
}

// An attempt that is refused before the owner has seen its key gets the verdict
// not-run only if no attempt with the key can run later. The same holds for a
// query of the key's outcome, which also must not pass a response through a
// region where the team's data may not be.
func TestPromiseNotRunVerdictIsCorrectForEarlyRefusals(t *testing.T) {
	bed := startBed(t, nil)
	b := newBookingRecorder(t, bed)
	owner := bed.GatewaysOf("busan")[0]
	for name, modify := range earlyRefusals {
		for _, entry := range []*testbed.Gateway{owner, bed.GatewaysOf("jeju")[0]} {
			k := b.newKeys(t, owner, 1)[0]
			k.team, k.body = "busan-rescue", `{"slot":1}`
			c := call{method: http.MethodPost, path: bookingPath, team: k.team, key: k.key, body: k.body}
			modify(&c)
			refused := k
			refused.entry = entry.Name + ", " + name
			refused.reply = send(b.client, entry.CallerAddress(), c)
			b.attempts = append(b.attempts, refused)
			t.Logf("%s: %v", refused.entry, refused.reply)
			b.attempt(k, owner, defaultTimeout)
			b.queryOutcome(k, owner, "soon")
			if r := b.queryOutcome(k, entry, ""); r.ok() && entry.Region != owner.Region {
				t.Errorf("%s forwarded the response of a team restricted to %s", entry.Name, owner.Region)
			}
		}
	}
	b.audit(t)
}
