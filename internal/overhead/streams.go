package overhead

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// concurrentStreams is the number of streams open at the same time.
const concurrentStreams = 32

// get sends one plain request and reads the response.
func (m *meter) get(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderTeam, team)
	req.Header.Set(wire.HeaderRequestID, "overhead")
	return m.do(req)
}

// do sends a request and discards the response body. A status other than 200 is
// an error.
func (m *meter) do(req *http.Request) error {
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return ErrResponse.New("%s: status %d", req.URL, resp.StatusCode)
	}
	return nil
}

// measureStreams runs concurrentStreams streams of the given length in a closed
// loop for d and returns the gateway's CPU time per stream.
func (m *meter) measureStreams(ctx context.Context, tokens int, d time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	before := cpuTime(m.gateway.PID())
	var count atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for n := range concurrentStreams {
		callers.Go(func() {
			for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
				if err := m.sendStream(ctx, tokens, n, i); err != nil {
					cancel(err)
				}
				count.Add(1)
			}
		})
	}
	callers.Wait()
	return (cpuTime(m.gateway.PID()) - before) / time.Duration(max(1, count.Load())), context.Cause(ctx)
}

// sendStream requests one stream through the gateway and reads it to its end. The
// prompt is unique to the caller and its request i.
func (m *meter) sendStream(ctx context.Context, tokens, caller, i int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d %d"}]}`, model, tokens, caller, i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.gateway.CallerAddress()+wire.PathChatCompletions, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderTeam, team)
	return m.do(req)
}

// fitStreams computes a linear fit of the streams' CPU times by their lengths. It
// leaves the results zero if there are fewer than two points.
func (r *Result) fitStreams() {
	if len(r.Streams) < 2 {
		return
	}
	var x, y []float64
	for _, p := range r.Streams {
		x, y = append(x, float64(p.Tokens)), append(y, float64(p.CPU))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	sum := 0.0
	for i := range x {
		sum += math.Pow(y[i]-intercept-slope*x[i], 2)
	}
	r.CPUPerToken, r.CPUPerStream = time.Duration(slope), time.Duration(intercept)
	r.RMSError = time.Duration(math.Sqrt(sum / float64(len(x))))
}
