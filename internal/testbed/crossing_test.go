package testbed

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// TestCrossRegionRequestsUseTheLinks checks that a request served by another
// region is sent over the simulated link, whose delay, cuts and cost would not
// affect it otherwise.
func TestCrossRegionRequestsUseTheLinks(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b, err := Start(ctx, Config{
		Deployment: "../../examples/kite-consortium", GatewayBinary: BuildGateway(t), GatewaysPerRegion: 1,
	})
	is.NoErr(err)
	defer b.Close()
	for name := range b.Engines {
		if strings.HasPrefix(name, "wind-writer-jeju") {
			b.StopBackend(name)
		}
	}
	before := bytesSentFrom(b, "jeju")
	body := `{"model":"wind-writer","max_tokens":4,"messages":[{"role":"user","content":"` + strings.Repeat("wind ", 8000) + `"}]}`
	region := ""
	for region == "" || region == "jeju" {
		is.NoErr(ctx.Err()) // another region must serve the request before the timeout
		region = chat(t, ctx, b.GatewaysOf("jeju")[0], body)
	}
	is.True(bytesSentFrom(b, "jeju")-before >= int64(len(body))) // bytes sent over the links from jeju
}

// bytesSentFrom returns the number of bytes sent over the links from a region.
func bytesSentFrom(b *Bed, region string) int64 {
	var sum int64
	for _, c := range b.CrossRegionTraffic() {
		if c.From == region {
			sum += c.Bytes
		}
	}
	return sum
}

// chat sends a chat completion and returns the region that served it, or "".
func chat(t *testing.T, ctx context.Context, g *Gateway, body string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.CallerAddress()+wire.PathChatCompletions, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(wire.HeaderTeam, "hamdeok-kite-school")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	return resp.Header.Get(wire.HeaderRegion)
}
