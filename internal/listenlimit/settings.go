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
	MaxOutgoing              int           `help:"Most connections to backend servers and other VMs." env:"CHESTNUT_MAX_OUTGOING"`
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
	// defaultControlBytes, defaultWindowBytes and defaultReceiveBytes apply if the memory is
	// unknown.
	defaultControlBytes = 8 << 20
	defaultWindowBytes  = 8 << 20
	defaultReceiveBytes = 32 << 10
)

// Bounds are the bounds in force.
type Bounds struct {
	HeaderBytes                             int
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// Connections bounds those of all ports, and PerAddress those from one address to one
	// port; zero means that only the port's own bound applies.
	Connections, PerAddress int
	// Outgoing bounds the connections to servers and to other VMs; zero means no bound.
	Outgoing int
	// PendingBytes bounds the memory of headers and bodies, ControlBytes that of messages of
	// other VMs, and WindowBytes what receive buffers take that grow.
	PendingBytes, ControlBytes, WindowBytes int64
	// ReceiveBytes is the size of the receive buffer of connections that carry bodies.
	ReceiveBytes int
	// kinds are the ports that share the connections.
	kinds []Kind
}

// Resolve returns the bounds of a process with the memory in bytes, the number of descriptors,
// and the ports; zero means unknown.
func (s *Settings) Resolve(memoryBytes int64, descriptors int, ports ...Kind) Bounds {
	b := Bounds{
		kinds:       ports,
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
	b.ControlBytes, b.WindowBytes = defaultControlBytes, defaultWindowBytes
	if memoryBytes > 0 {
		b.ControlBytes = max(minControlBytes, int64(controlMemoryShare*float64(memoryBytes)))
		b.WindowBytes = int64(windowMemoryShare * float64(memoryBytes))
	}
	if b.Outgoing = s.MaxOutgoing; b.Outgoing <= 0 && descriptors > 0 {
		b.Outgoing = descriptors - int(descriptorShare*float64(descriptors))
		if memoryBytes > 0 {
			b.Outgoing = min(b.Outgoing, int(outgoingMemoryShare*float64(memoryBytes)/(outgoingBytes+2*smallReceiveBytes)))
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
	b.fit(memoryBytes, s.MaxConnections > 0)
	return b
}

func positive[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// Check returns the faults of the settings.
func (s *Settings) Check() []string {
	var faults []string
	if s.MaxHeaderBytes < 0 || s.HeaderTimeout < 0 || s.BodyTimeout < 0 || s.IdleTimeout < 0 || s.MaxConnections < 0 || s.MaxConnectionsPerAddress < 0 || s.MaxOutgoing < 0 || s.MaxPendingBytes < 0 {
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
