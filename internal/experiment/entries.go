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

// entry is an entry VM as GET /v1/entries names it.
type entry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

// entryList is the answer of GET /v1/entries.
type entryList struct {
	Entries         []entry `json:"entries"`
	KeyPrefix       string  `json:"keyPrefix"`
	KeyValidSeconds float64 `json:"keyValidSeconds"`
	GoodForSeconds  float64 `json:"goodForSeconds"`
	// from is the address that gave the answer.
	from string
}

// entryTimeout bounds the time to ask one entry VM.
const entryTimeout = 2 * time.Second

// maxEntryAge bounds how long a caller keeps a list of entries.
const maxEntryAge = 2 * time.Second

// entryBook asks entry VMs which of them to use and keeps the answers.
type entryBook struct {
	client    *http.Client
	directory func(region string) []string

	mu    sync.Mutex
	lists map[entryKey]*heldList
}

type entryKey struct{ home, target, team string }

type heldList struct {
	mu      sync.Mutex // held while one caller asks for all
	list    entryList
	expires time.Time
}

// get returns the entries for a call, asking if the kept ones are old.
func (b *entryBook) get(ctx context.Context, c *Call) (entryList, error) {
	key := entryKey{c.Home, c.Target, c.Team}
	b.mu.Lock()
	held := b.lists[key]
	if held == nil {
		held = &heldList{}
		b.lists[key] = held
	}
	b.mu.Unlock()
	held.mu.Lock()
	defer held.mu.Unlock()
	if time.Now().Before(held.expires) {
		return held.list, nil
	}
	list, err := b.ask(ctx, c)
	if err != nil {
		return entryList{}, err
	}
	age := min(time.Duration(list.GoodForSeconds*float64(time.Second)), maxEntryAge)
	held.list, held.expires = list, time.Now().Add(age)
	return list, nil
}

// forget drops the kept entries of a call, after an entry VM failed.
func (b *entryBook) forget(c *Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.lists, entryKey{c.Home, c.Target, c.Team})
}

// ask tries the addresses of the directory in turn.
func (b *entryBook) ask(ctx context.Context, c *Call) (entryList, error) {
	err := error(ErrNoEntry.New("the directory names no entry VM in %s", c.Home))
	for _, address := range b.directory(c.Home) {
		var list entryList
		if list, err = b.askAt(ctx, c, address); err == nil {
			return list, nil
		}
	}
	return entryList{}, err
}

func (b *entryBook) askAt(ctx context.Context, c *Call, address string) (entryList, error) {
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
		return entryList{}, ErrNoEntry.New("%s answers %d", address, resp.StatusCode)
	}
	list := entryList{from: address}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return entryList{}, err
	}
	if len(list.Entries) == 0 {
		return entryList{}, ErrNoEntry.New("%s names no entry VM", address)
	}
	return list, nil
}
