// Package directory is a stand-in for the directory from which clients get the
// addresses of entry VMs by region.
package directory

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"github.com/chestnutspring/chestnutspring/internal/published"
)

// Directory is a simulated directory. Its methods are safe for concurrent use.
type Directory struct {
	current atomic.Pointer[published.Directory]
}

// New returns a directory with the given entries.
func New(entries published.Directory) *Directory {
	d := &Directory{}
	d.Set(entries)
	return d
}

// Set replaces the entries.
func (d *Directory) Set(entries published.Directory) { d.current.Store(&entries) }

// Handler returns the handler of GET /v1/directory.
func (d *Directory) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/directory", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.current.Load())
	})
	return r
}
