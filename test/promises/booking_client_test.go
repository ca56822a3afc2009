package promises

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/client"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// clientTimeout is the deadline of a booking through the client package. It
// leaves time to query the outcome after a fault.
const clientTimeout = 3 * time.Second

// clientLoad books through the client package and records the outcomes.
type clientLoad struct {
	stop atomic.Bool
	wg   sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]error // by the body's digest
}

// start starts the callers, each with its own client.
func (l *clientLoad) start(bed *testbed.Bed, callers int) {
	for n := range callers {
		transport := &http.Transport{}
		caller := client.New(client.Config{
			Directory: bed.DirectoryURL + "/v1/directory", Region: bed.Regions()[n%len(bed.Regions())],
			Team: bookingTeams[n%len(bookingTeams)], HTTP: &http.Client{Transport: transport},
		})
		l.wg.Go(func() {
			defer transport.CloseIdleConnections()
			for i := 0; !l.stop.Load(); i++ {
				l.book(caller, fmt.Sprintf(`{"caller":%d,"slot":%d}`, n, i))
			}
		})
	}
}

func (l *clientLoad) book(caller *client.Client, content string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	_, err := caller.Book(ctx, client.Request{Service: "spot-desk", Method: http.MethodPost, Path: "/bookings", Body: []byte(content)})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[standin.Digest([]byte(content))] = err
}

// executionsByContent returns how often each booking was executed, summed over
// its keys, by the digest of its body.
func executionsByContent(bed *testbed.Bed) map[string]int {
	contents := map[string]string{} // digest of the body, by key
	for _, s := range bed.Services {
		for _, seen := range s.ReceivedRequests() {
			contents[seen.Key] = seen.Digest
		}
	}
	runs := map[string]int{}
	for key, n := range executions(bed) {
		runs[contents[key]] += n
	}
	return runs
}

// audit checks the callers' outcomes against the executions that the replicas
// recorded.
func (l *clientLoad) audit(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	runs := executionsByContent(bed)
	for content, n := range runs {
		if n > 1 {
			t.Errorf("content %s was executed %d times", content, n)
		}
	}
	var booked, notRun, unknown int
	for content, err := range l.outcomes {
		var refusal *client.Error
		switch {
		case err == nil && runs[content] != 1:
			t.Errorf("content %s was reported as booked, but was executed %d times", content, runs[content])
		case err == nil:
			booked++
		case errors.Is(err, client.ErrNoEntry), errors.As(err, &refusal) && refusal.Verdict == client.NotRun:
			notRun++
			if runs[content] != 0 {
				t.Errorf("content %s was reported as not run (%v), but was executed", content, err)
			}
		default:
			unknown++
		}
	}
	t.Logf("%d bookings: %d booked, %d not run, %d unknown", len(l.outcomes), booked, notRun, unknown)
	if booked == 0 {
		t.Error("nothing was booked, so the test is inconclusive")
	}
}

// Callers that use the client package never book twice: the client takes a new
// key only after the verdict not-run, and queries the outcome after a lost
// connection.
func TestPromiseAtMostOnceWithTheClient(t *testing.T) {
	bed := startBed(t, func(c *testbed.Config) {
		c.Service = func(_ *objects.BackendServer, s *service.Config) {
			s.Duration = func(string, string) time.Duration { return bookingDuration }
		}
	})
	l := &clientLoad{outcomes: map[string]error{}}
	const callers = 9
	l.start(bed, callers)
	const pause = 300 * time.Millisecond
	time.Sleep(pause)
	killed, paused := bed.GatewaysOf("jeju")[0], bed.GatewaysOf("busan")[0]
	killed.Kill()
	paused.Pause()
	time.Sleep(pause)
	restart(t, killed)
	bed.Services["spot-desk-saemangeum-1"].InjectFault(service.FaultRunAndClose, callers)
	time.Sleep(pause)
	paused.Resume()
	bed.Isolate("saemangeum")
	time.Sleep(pause)
	bed.Rejoin("saemangeum")
	bed.Services["spot-desk-busan-1"].InjectFault(service.FaultRefuse, 2*callers)
	time.Sleep(pause)
	l.stop.Store(true)
	l.wg.Wait()
	l.audit(t, bed)
}
