package platform

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	wire "github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin"
)

func client(t *testing.T, p *Platform, region string) *wire.Client {
	t.Helper()
	s, err := standin.Serve("127.0.0.1:0", p.Handler(region))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return wire.NewClient(s.URL())
}

func TestWatchWaitsForNewRevisionAndCountsAsOneCall(t *testing.T) {
	is := is.New(t)
	p := New()
	c := client(t, p, "jeju")
	ctx := context.Background()
	_, err := c.Read(ctx, "manifest")
	is.True(errorx.IsOfType(err, wire.ErrAbsent))
	p.Publish("manifest", []byte("one"))
	got := make(chan wire.Value, 1)
	go func() {
		v, _ := c.Watch(ctx, "manifest", 1, 30*time.Second)
		got <- v
	}()
	for p.Calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	p.Publish("manifest", []byte("two"))
	v := <-got
	is.Equal(v.Revision, uint64(2))
	is.Equal(string(v.Data), "two")
	is.Equal(p.Calls(), uint64(2))
	_, err = c.Watch(ctx, "manifest", 2, time.Millisecond)
	is.True(errorx.IsOfType(err, wire.ErrUnchanged))
}

func TestStalenessOutageAndLowRevision(t *testing.T) {
	is := is.New(t)
	p := New()
	c := client(t, p, "jeju")
	ctx := context.Background()
	p.Publish("parts/a", []byte("one"))
	p.Publish("parts/a", []byte("two"))
	p.SetStale("", 1)
	v, err := c.Read(ctx, "parts/a")
	is.NoErr(err)
	is.Equal(v.Revision, uint64(1))
	p.SetStale("", 0)
	p.SetOutage("busan", OutageError)
	_, err = c.Read(ctx, "parts/a")
	is.NoErr(err) // the outage affects another region only
	p.SetOutage("", OutageError)
	_, err = c.Read(ctx, "parts/a")
	is.True(errorx.IsOfType(err, wire.ErrUnavailable))
	p.SetOutage("", OutageNone)
	p.PublishRevision("parts/a", 1, []byte("old"))
	v, err = c.Read(ctx, "parts/a")
	is.NoErr(err)
	is.Equal(v.Revision, uint64(1))
}

func TestViewAffectsOneRegion(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Publish("vms", []byte("x"))
	p.SetView("jeju", "vms", func(b []byte) []byte { return append([]byte("jeju "), b...) })
	v, err := client(t, p, "jeju").Read(context.Background(), "vms")
	is.NoErr(err)
	is.Equal(string(v.Data), "jeju x")
	v, err = client(t, p, "busan").Read(context.Background(), "vms")
	is.NoErr(err)
	is.Equal(string(v.Data), "x")
}
