package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// maxMetadataBytes bounds the body of an entry list, a directory or a problem.
const maxMetadataBytes = 1 << 20

// Entry is an entry VM.
type Entry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

// entryList is the response body of GET /v1/entries.
type entryList struct {
	Entries        []Entry `json:"entries"`
	KeyPrefix      string  `json:"keyPrefix"`
	GoodForSeconds int     `json:"goodForSeconds"`
}

// Entries returns the entry VMs for the team in order of preference. The list
// is cached until it expires. Lookups that fail at one entry VM continue at the
// next; if all fail, Entries returns the expired list, or ErrNoEntry without one.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) {
	if entries, fresh := c.cachedEntries(); fresh {
		return entries, nil
	}
	for _, address := range c.lookupAddresses(ctx) {
		list, err := c.fetchEntries(ctx, address)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		c.cacheEntries(list)
		return list.Entries, nil
	}
	if entries, _ := c.cachedEntries(); len(entries) > 0 {
		return entries, nil
	}
	return nil, ErrNoEntry
}

// cachedEntries returns the cached entries and whether they are still valid.
func (c *Client) cachedEntries() (entries []Entry, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries, len(c.entries) > 0 && time.Now().Before(c.expires)
}

func (c *Client) cacheEntries(list entryList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = list.Entries
	c.expires = time.Now().Add(time.Duration(list.GoodForSeconds) * time.Second)
}

// expireEntries marks the cached entries as expired, so that the next request
// refreshes them.
func (c *Client) expireEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// lookupAddresses returns the addresses to look up entries at, without
// duplicates: those of the cached entries, of the settings and of the directory.
func (c *Client) lookupAddresses(ctx context.Context) []string {
	known, _ := c.cachedEntries()
	var list []string
	for _, e := range known {
		list = append(list, e.Address)
	}
	list = append(list, c.config.Entries...)
	if c.config.Directory != "" {
		list = append(list, c.fetchDirectory(ctx)...)
	}
	seen := map[string]bool{}
	return slices.DeleteFunc(list, func(address string) bool {
		repeated := seen[address]
		seen[address] = true
		return repeated
	})
}

// fetchDirectory returns the addresses of the directory, those of the caller's
// region first, or nil if the directory can't be read.
func (c *Client) fetchDirectory(ctx context.Context) []string {
	var directory published.Directory
	if err := c.getJSON(ctx, c.config.Directory, &directory); err != nil {
		return nil
	}
	list := slices.Clone(directory.Entries[c.config.Region])
	for region, addresses := range directory.Entries {
		if region != c.config.Region {
			list = append(list, addresses...)
		}
	}
	return list
}

func (c *Client) fetchEntries(ctx context.Context, address string) (entryList, error) {
	query := url.Values{"team": {c.config.Team}}
	var list entryList
	err := c.getJSON(ctx, c.url(address, wire.PathEntries)+"?"+query.Encode(), &list)
	return list, err
}

// lookupTimeout bounds one lookup at an entry VM or in the directory.
const lookupTimeout = 2 * time.Second

func (c *Client) getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.config.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &Error{Verdict: NotRun, Code: codeTransport, Status: resp.StatusCode, Detail: "unexpected status"}
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxMetadataBytes)).Decode(into)
}

func (c *Client) url(address, path string) string {
	return c.config.Scheme + "://" + address + path
}
