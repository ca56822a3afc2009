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

// concurrentStreams is how many streams are open at once.
const concurrentStreams = 32

// get sends one plain request and reads its answer.
func (m *meter) get(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderTeam, team)
	req.Header.Set(wire.HeaderRequestID, "overhead")
	return m.do(req)
}

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
		return ErrAnswer.New("%s: status %d", req.URL, resp.StatusCode)
	}
	return nil
}

// streams keeps streams of so many tokens open for the time and returns the
// gateway's processor time for one.
func (m *meter) streams(ctx context.Context, tokens int, d time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	before := cpuTime(m.gateway.PID())
	var count atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(d)
	for n := range concurrentStreams {
		all.Go(func() {
			for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
				if err := m.stream(ctx, tokens, n, i); err != nil {
					cancel(err)
				}
				count.Add(1)
			}
		})
	}
	all.Wait()
	return (cpuTime(m.gateway.PID()) - before) / time.Duration(max(1, count.Load())), context.Cause(ctx)
}

func (m *meter) stream(ctx context.Context, tokens, caller, i int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d %d"}]}`, model, tokens, caller, i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.gateway.CallerAddress()+wire.PathChatCompletions, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderTeam, team)
	return m.do(req)
}

// fit lays a line through the streams' processor times.
func (r *Result) fit() {
	if len(r.Streams) < 2 {
		return
	}
	var x, y []float64
	for _, p := range r.Streams {
		x, y = append(x, float64(p.Tokens)), append(y, float64(p.CPU))
	}
	offset, slope := stat.LinearRegression(x, y, nil, false)
	sum := 0.0
	for i := range x {
		sum += math.Pow(y[i]-offset-slope*x[i], 2)
	}
	r.CPUPerToken, r.CPUPerStream = time.Duration(slope), time.Duration(offset)
	r.Error = time.Duration(math.Sqrt(sum / float64(len(x))))
}
