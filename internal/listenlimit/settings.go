// Package listenlimit bounds what the clients of a process may hold, whoever they are: the
// bytes and the time of a request header, the time of a body and of an idle connection, the
// connections in all and from one address, and the memory of all headers and bodies together.
// Every listener of a process gets its bounds here.
package listenlimit

import (
	"fmt"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// Settings are the bounds that operators may set, read from flags and environment variables.
// Zero means the default.
type Settings struct {
	MaxHeaderBytes           int           `help:"Most bytes of a request header." env:"CHESTNUT_MAX_HEADER_BYTES"`
	HeaderTimeout            time.Duration `help:"Longest time for a request header." env:"CHESTNUT_HEADER_TIMEOUT"`
	BodyTimeout              time.Duration `help:"Longest time for the body of a request." env:"CHESTNUT_BODY_TIMEOUT"`
	IdleTimeout              time.Duration `help:"Longest time of an idle connection." env:"CHESTNUT_IDLE_TIMEOUT"`
	MaxConnections           int           `help:"Most connections from clients and other VMs, on all ports." env:"CHESTNUT_MAX_CONNECTIONS"`
	MaxConnectionsPerAddress int           `help:"Most connections from one address to one port." env:"CHESTNUT_MAX_CONNECTIONS_PER_ADDRESS"`
	MaxPendingBytes          int64         `help:"Most memory of request headers and bodies together, in bytes." env:"CHESTNUT_MAX_PENDING_BYTES"`
}

// The defaults are above what clients may do within the operators' limits: a header of 16 KB
// in 3 s, and 15 s between two requests.
const (
	defaultHeaderBytes   = 24 << 10
	defaultHeaderTimeout = 6 * time.Second
	defaultBodyTimeout   = 10 * time.Second
	defaultIdleTimeout   = 20 * time.Second
	// defaultPendingBytes applies if the memory is unknown.
	defaultPendingBytes = 32 << 20
	// maxDefaultConnections applies if the memory and the descriptors would allow more.
	maxDefaultConnections = 8192
)

const (
	// descriptorShare is the share of the descriptors for connections from clients and other
	// VMs. The others are for servers, the registry and connections to other VMs.
	descriptorShare = 0.75
	// connectionMemoryShare is the share of the memory for the buffers, stacks and free bytes
	// of these connections.
	connectionMemoryShare = 0.3
	// pendingMemoryShare is the share of the memory for headers, the bodies of requests and
	// the buffered parts of responses.
	pendingMemoryShare = 0.15
	// connectionBytes is the memory of a connection without a header: two buffers of 4 KB, a
	// stack of 4 KB and the server's state.
	connectionBytes = 16 << 10
	// processBytes is the memory of a process without requests, in a large fleet.
	processBytes = 30 << 20
)

// Bounds are the bounds in force.
type Bounds struct {
	HeaderBytes                             int
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// Connections bounds those of all ports, and PerAddress those from one address to one
	// port; zero means that only the port's own bound applies.
	Connections, PerAddress int
	// PendingBytes bounds the memory of headers and bodies.
	PendingBytes int64
}

// Resolve returns the bounds of a process with the memory in bytes and the number of
// descriptors; zero means unknown.
func (s *Settings) Resolve(memoryBytes int64, descriptors int) Bounds {
	b := Bounds{
		HeaderBytes: positive(s.MaxHeaderBytes, defaultHeaderBytes), HeaderTimeout: positive(s.HeaderTimeout, defaultHeaderTimeout),
		BodyTimeout: positive(s.BodyTimeout, defaultBodyTimeout), IdleTimeout: positive(s.IdleTimeout, defaultIdleTimeout),
		Connections: s.MaxConnections, PerAddress: s.MaxConnectionsPerAddress, PendingBytes: s.MaxPendingBytes,
	}
	if b.PendingBytes <= 0 {
		b.PendingBytes = defaultPendingBytes
		if memoryBytes > 0 {
			b.PendingBytes = int64(pendingMemoryShare * float64(memoryBytes))
		}
	}
	if b.Connections <= 0 {
		b.Connections = maxDefaultConnections
		if descriptors > 0 {
			b.Connections = min(b.Connections, int(descriptorShare*float64(descriptors)))
		}
		if memoryBytes > 0 {
			b.Connections = min(b.Connections, int(connectionMemoryShare*float64(memoryBytes)/(connectionBytes+membudget.FreeBytes)))
		}
	}
	return b
}

func positive[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// MostMemory returns the memory of the process in bytes if all bounds are reached: each
// connection holds its free bytes for a header and for a body, and each other descriptor is a
// connection to a server.
func (b *Bounds) MostMemory(descriptors int) int64 {
	connections, outgoing := int64(b.Connections), int64(max(0, descriptors-b.Connections))
	return processBytes + (connections+outgoing)*connectionBytes + 2*connections*membudget.FreeBytes + b.PendingBytes
}

// Check returns the faults of the settings.
func (s *Settings) Check() []string {
	var faults []string
	if s.MaxHeaderBytes < 0 || s.HeaderTimeout < 0 || s.BodyTimeout < 0 || s.IdleTimeout < 0 || s.MaxConnections < 0 || s.MaxConnectionsPerAddress < 0 || s.MaxPendingBytes < 0 {
		faults = append(faults, "a limit of clients is below 0")
	}
	if s.MaxConnections > 0 && s.MaxConnections < minConnections {
		faults = append(faults, fmt.Sprintf("the limit of %d connections is below %d", s.MaxConnections, minConnections))
	}
	return faults
}

// minConnections is the least number of connections of which each port gets some.
const minConnections = 50

// Descriptors returns the number of descriptors that the process may have, at most the
// stated one unless that is zero.
func Descriptors(stated int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return stated
	}
	if stated > 0 {
		return min(stated, int(limit.Cur))
	}
	return int(limit.Cur)
}
