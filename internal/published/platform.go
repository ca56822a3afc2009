// Package published reads what the operators' platform offers: the
// configuration service, the list of VMs and the directory. Nothing is ever
// written there.
//
// Each is read over HTTP. A value has a name and a revision that only grows:
//
//	GET /v1/values/{name}                    the newest value
//	GET /v1/values/{name}?after=R&wait=20s   waits for a revision above R;
//	                                         304 when the wait ends without one
//
// The revision comes in the header Value-Revision, with 304 too: it tells a
// stale replica from a current one. An absent value is 404.
package published

import (
	"context"
	"time"
)

// Names of values.
const (
	// ValueManifest is the manifest of the published configuration.
	ValueManifest = "manifest"
	// ValuePartPrefix and the part's digest name a part of the configuration.
	ValuePartPrefix = "parts/"
	// ValueVMs is the list of VMs.
	ValueVMs = "vms"
	// ValueDirectory is the directory for clients.
	ValueDirectory = "directory"
)

// HeaderRevision carries a value's revision.
const HeaderRevision = "Value-Revision"

// Value is one published value.
type Value struct {
	Name     string
	Revision uint64
	Data     []byte
}

// Reader reads and watches values.
type Reader interface {
	// Read returns the newest value. ErrAbsent says that there is none.
	Read(ctx context.Context, name string) (Value, error)
	// Watch waits for a revision above after, for at most wait. It returns
	// ErrUnchanged when the wait ends without one; the value then has only
	// the service's newest revision, or zero where it doesn't say.
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error)
}

// VM is an entry of the lagging list.
type VM struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Role is "entry" for a VM of the system or "backend" for the VM of the
	// backend server of the same name.
	Role string `json:"role"`
	// State is "live" or "leaving".
	State          string `json:"state"`
	CallerAddress  string `json:"callerAddress,omitempty"`
	ForwardAddress string `json:"forwardAddress,omitempty"`
	ControlAddress string `json:"controlAddress,omitempty"`
}

// The roles and states of VMs.
const (
	RoleEntry    = "entry"
	RoleBackend  = "backend"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VMList is the lagging list of VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Directory gives callers their first entry addresses, by region.
type Directory struct {
	Entries map[string][]string `json:"entries"`
}
