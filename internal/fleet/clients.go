package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// clientIdleTimeout is how long an unused connection for calls stays open.
const clientIdleTimeout = 10 * time.Second

// clientPool holds the connections for calls. They are separate from the links
// so that a large value doesn't delay gossip.
type clientPool struct {
	fleet *Fleet
	mu    sync.Mutex
	byVM  map[string]*pooledClient
}

type pooledClient struct {
	*peer.Client
	lastUsed clock.Instant
}

// get returns the open connection to a member, or opens one. Its error is
// peer.ErrUnreachable or peer.ErrVersion.
func (p *clientPool) get(ctx context.Context, vm string) (*peer.Client, error) {
	now := p.fleet.cfg.Now()
	p.mu.Lock()
	if c := p.byVM[vm]; c != nil {
		c.lastUsed = now
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
	if p.byVM == nil {
		p.byVM = map[string]*pooledClient{}
	}
	if old := p.byVM[vm]; old != nil {
		old.Close()
	}
	p.byVM[vm] = &pooledClient{Client: client, lastUsed: now}
	return client, nil
}

// discard closes a connection after an error and removes it from the pool.
func (p *clientPool) discard(vm string, client *peer.Client) {
	client.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.byVM[vm]; c != nil && c.Client == client {
		delete(p.byVM, vm)
	}
}

func (p *clientPool) closeIdle(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, c := range p.byVM {
		if now.Sub(c.lastUsed) > clientIdleTimeout {
			c.Close()
			delete(p.byVM, vm)
		}
	}
}

func (p *clientPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.byVM {
		c.Close()
	}
	p.byVM = nil
}

// Revisions returns the last configuration revision received from each
// reachable member.
func (f *Fleet) Revisions() map[string]uint64 {
	revisions := map[string]uint64{}
	for vm, m := range f.cfg.Publisher.Load().Members {
		if vm != f.cfg.Self.VM && m.Reachable && m.Revision > 0 {
			revisions[vm] = m.Revision
		}
	}
	return revisions
}

// Manifest fetches the configuration manifest of a member.
func (f *Fleet) Manifest(ctx context.Context, vm string) (published.Value, error) {
	client, err := f.callClients.get(ctx, vm)
	if err != nil {
		return published.Value{}, err
	}
	value, err := client.Manifest(ctx, f.revision())
	if err != nil {
		f.callClients.discard(vm, client)
	}
	return value, err
}

// Part fetches a part of the configuration from a member.
func (f *Fleet) Part(ctx context.Context, vm, digest string) ([]byte, error) {
	client, err := f.callClients.get(ctx, vm)
	if err != nil {
		return nil, err
	}
	data, err := client.Part(ctx, f.revision(), digest)
	if err != nil {
		f.callClients.discard(vm, client)
	}
	return data, err
}
