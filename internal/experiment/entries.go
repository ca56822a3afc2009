package experiment

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// entry is an entry VM in the response of GET /v1/entries.
type entry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

// entryList is the response of GET /v1/entries.
type entryList struct {
	Entries         []entry `json:"entries"`
	KeyPrefix       string  `json:"keyPrefix"`
	KeyValidSeconds float64 `json:"keyValidSeconds"`
	GoodForSeconds  float64 `json:"goodForSeconds"`
	// source is the address of the entry VM that sent the list.
	source string
}

// entryTimeout bounds connecting to an entry VM, and querying one for the entry
// list.
const entryTimeout = 2 * time.Second

// maxEntryAge bounds the time for which a caller caches an entry list.
const maxEntryAge = 2 * time.Second

// entryCache caches the entry lists that entry VMs return.
type entryCache struct {
	client    *http.Client
	directory func(region string) []string

	mu    sync.Mutex
	lists map[entryKey]*cachedEntries
}

type entryKey struct{ home, target, team string }

type cachedEntries struct {
	mu      sync.Mutex // held during a fetch, so that concurrent callers share it
	list    entryList
	expires time.Time
}

// get returns the entry list for a call, fetching it if the cached one has
// expired.
func (b *entryCache) get(ctx context.Context, c *Call) (entryList, error) {
	key := entryKey{c.Home, c.Target, c.Team}
	b.mu.Lock()
	cached := b.lists[key]
	if cached == nil {
		cached = &cachedEntries{}
		b.lists[key] = cached
	}
	b.mu.Unlock()
	cached.mu.Lock()
	defer cached.mu.Unlock()
	if time.Now().Before(cached.expires) {
		return cached.list, nil
	}
	list, err := b.fetch(ctx, c)
	if err != nil {
		return entryList{}, err
	}
	age := min(time.Duration(list.GoodForSeconds*float64(time.Second)), maxEntryAge)
	cached.list, cached.expires = list, time.Now().Add(age)
	return list, nil
}

// invalidate drops the cached entry list of a call. It is called after an entry
// VM failed or refused the call.
func (b *entryCache) invalidate(c *Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.lists, entryKey{c.Home, c.Target, c.Team})
}

// fetch queries the addresses of the directory one after the other, until an
// entry VM returns a list.
func (b *entryCache) fetch(ctx context.Context, c *Call) (entryList, error) {
	err := error(ErrNoEntry.New("the directory has no entry VM for region %s", c.Home))
	for _, address := range b.directory(c.Home) {
		var list entryList
		if list, err = b.fetchFrom(ctx, c, address); err == nil {
			return list, nil
		}
	}
	return entryList{}, err
}

func (b *entryCache) fetchFrom(ctx context.Context, c *Call, address string) (entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	query := url.Values{"team": {c.Team}, "model": {c.Target}}
	target := "http://" + address + wire.PathEntries + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return entryList{}, err
	}
	req.Header.Set(wire.HeaderTeam, c.Team)
	resp, err := b.client.Do(req)
	if err != nil {
		return entryList{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return entryList{}, ErrNoEntry.New("%s returned status %d", address, resp.StatusCode)
	}
	list := entryList{source: address}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return entryList{}, err
	}
	if len(list.Entries) == 0 {
		return entryList{}, ErrNoEntry.New("%s returned an empty entry list", address)
	}
	return list, nil
}
