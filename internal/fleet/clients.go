package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// clientIdle is how long an unused connection for calls is kept.
const clientIdle = 10 * time.Second

// clientPool keeps connections for calls, apart from the links, so that a
// large value doesn't delay an exchange.
type clientPool struct {
	fleet *Fleet
	mu    sync.Mutex
	open  map[string]*pooledClient
}

type pooledClient struct {
	*peer.Client
	used clock.Instant
}

func (p *clientPool) get(ctx context.Context, vm string) (*peer.Client, error) {
	now := p.fleet.cfg.Now()
	p.mu.Lock()
	if c := p.open[vm]; c != nil {
		c.used = now
		p.mu.Unlock()
		return c.Client, nil
	}
	p.mu.Unlock()
	member := p.fleet.cfg.Publisher.Load().Members[vm]
	if member == nil || member.ControlAddress == "" {
		return nil, peer.ErrUnreachable.New("%s isn't a known member", vm)
	}
	client, err := p.fleet.dialer.Open(ctx, member.ControlAddress, p.fleet.hello())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[string]*pooledClient{}
	}
	if old := p.open[vm]; old != nil {
		old.Close()
	}
	p.open[vm] = &pooledClient{Client: client, used: now}
	return client, nil
}

// drop closes a connection after an error.
func (p *clientPool) drop(vm string, client *peer.Client) {
	client.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.open[vm]; c != nil && c.Client == client {
		delete(p.open, vm)
	}
}

func (p *clientPool) tidy(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, c := range p.open {
		if now.Sub(c.used) > clientIdle {
			c.Close()
			delete(p.open, vm)
		}
	}
}

func (p *clientPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.Close()
	}
	p.open = nil
}

// Revisions returns the last configuration revision heard from each reachable
// member.
func (f *Fleet) Revisions() map[string]uint64 {
	revisions := map[string]uint64{}
	for vm, m := range f.cfg.Publisher.Load().Members {
		if vm != f.cfg.Self.VM && m.Reachable && m.Revision > 0 {
			revisions[vm] = m.Revision
		}
	}
	return revisions
}

// Manifest asks a member for its manifest.
func (f *Fleet) Manifest(ctx context.Context, vm string) (published.Value, error) {
	client, err := f.clients.get(ctx, vm)
	if err != nil {
		return published.Value{}, err
	}
	value, err := client.Manifest(ctx, f.revision())
	if err != nil {
		f.clients.drop(vm, client)
	}
	return value, err
}

// Part asks a member for a part of the configuration.
func (f *Fleet) Part(ctx context.Context, vm, digest string) ([]byte, error) {
	client, err := f.clients.get(ctx, vm)
	if err != nil {
		return nil, err
	}
	data, err := client.Part(ctx, f.revision(), digest)
	if err != nil {
		f.clients.drop(vm, client)
	}
	return data, err
}
