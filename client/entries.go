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

// maxListBytes bounds a list of entries.
const maxListBytes = 1 << 20

// Entry is an entry VM.
type Entry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

// entryList is the answer of GET /v1/entries.
type entryList struct {
	Entries        []Entry `json:"entries"`
	KeyPrefix      string  `json:"keyPrefix"`
	GoodForSeconds int     `json:"goodForSeconds"`
}

// Entries returns the entry VMs for the team, the best first. The list is
// refreshed when it is no longer good. An entry that can't be asked is passed
// over; ErrNoEntry says that none answered.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) {
	if entries, fresh := c.cached(); fresh {
		return entries, nil
	}
	for _, address := range c.addresses(ctx) {
		list, err := c.askEntries(ctx, address)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		c.remember(list)
		return list.Entries, nil
	}
	if entries, _ := c.cached(); len(entries) > 0 {
		return entries, nil
	}
	return nil, ErrNoEntry
}

func (c *Client) cached() (entries []Entry, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries, len(c.entries) > 0 && time.Now().Before(c.expires)
}

func (c *Client) remember(list entryList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = list.Entries
	c.expires = time.Now().Add(time.Duration(list.GoodForSeconds) * time.Second)
}

// forget makes the next request ask for the entries again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// addresses returns the addresses to ask for entries: those known, then the
// settings', then the directory's.
func (c *Client) addresses(ctx context.Context) []string {
	known, _ := c.cached()
	var list []string
	for _, e := range known {
		list = append(list, e.Address)
	}
	list = append(list, c.config.Entries...)
	if c.config.Directory != "" {
		list = append(list, c.askDirectory(ctx)...)
	}
	seen := map[string]bool{}
	return slices.DeleteFunc(list, func(address string) bool {
		repeated := seen[address]
		seen[address] = true
		return repeated
	})
}

// askDirectory returns the addresses of the own region, then of the others.
func (c *Client) askDirectory(ctx context.Context) []string {
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

func (c *Client) askEntries(ctx context.Context, address string) (entryList, error) {
	query := url.Values{"team": {c.config.Team}}
	var list entryList
	err := c.getJSON(ctx, c.url(address, wire.PathEntries)+"?"+query.Encode(), &list)
	return list, err
}

// askTimeout bounds one question to an entry or the directory.
const askTimeout = 2 * time.Second

func (c *Client) getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	return json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(into)
}

func (c *Client) url(address, path string) string {
	return c.config.Scheme + "://" + address + path
}
