// Package published reads the values that the operators' platform publishes: the
// configuration, the list of VMs and the directory. It never writes them.
//
// Values are read over HTTP. Each has a name and a revision that only increases:
//
//	GET /v1/values/{name}                    returns the newest value
//	GET /v1/values/{name}?after=R&wait=20s   waits for a revision above R and
//	                                         returns 304 if there is none
//
// The header Value-Revision contains the revision. A response with status 304
// has it too, so that clients can detect a stale replica. The status is 404 if
// the value doesn't exist.
package published

import (
	"context"
	"time"
)

// Names of values.
const (
	// ValueManifest is the manifest of the published configuration.
	ValueManifest = "manifest"
	// ValuePartPrefix followed by a digest is the name of a part of the
	// configuration.
	ValuePartPrefix = "parts/"
	// ValueVMs is the list of VMs.
	ValueVMs = "vms"
	// ValueDirectory is the directory of entry addresses for callers.
	ValueDirectory = "directory"
)

// HeaderRevision is the response header with the value's revision.
const HeaderRevision = "Value-Revision"

// Value is one published value.
type Value struct {
	Name     string
	Revision uint64
	Data     []byte
}

// Reader reads and watches values.
type Reader interface {
	// Read returns the newest value, or ErrAbsent if there is none.
	Read(ctx context.Context, name string) (Value, error)
	// Watch waits up to the given time for a revision above after. If there is
	// none it returns ErrUnchanged and a value with only the name and the
	// service's newest revision, which is zero if unknown.
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error)
}

// VM is an entry of the VM list.
type VM struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Role is RoleEntry for a VM that runs a gateway, or RoleBackend for the VM
	// of the backend server with the same name.
	Role string `json:"role"`
	// State is StateLive or StateLeaving.
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

// VMList is the list of VMs. It may be out of date.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Directory lists, by region, the entry addresses that callers contact first.
type Directory struct {
	Entries map[string][]string `json:"entries"`
}
