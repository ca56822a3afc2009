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
	"github.com/chestnutspring/chestnutspring/internal/sockets"
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

const (
	// descriptorShare is the share of the descriptors for connections from clients and other
	// VMs. The others are for servers, the registry and connections to other VMs.
	descriptorShare = 0.75
	// connectionMemoryShare is the share of the memory for the buffers, stacks and free bytes
	// of these connections.
	connectionMemoryShare = 0.3
	// pendingMemoryShare is the share of the memory for headers, the bodies of requests and
	// the buffered parts of responses.
	pendingMemoryShare = 0.1
	// outgoingMemoryShare is the most of the memory for the buffers of connections to servers
	// and other VMs.
	outgoingMemoryShare = 0.16
	// controlMemoryShare is the share of the memory for the messages of other VMs that are
	// being received. It is apart, so that bodies don't keep VMs from learning of one another.
	// The least of it holds the largest message, in the forms in which it is decoded.
	controlMemoryShare = 0.03
	minControlBytes    = 4 << 20
	// windowMemoryShare is the share of the memory for receive buffers that grow while a large
	// message arrives.
	windowMemoryShare = 0.02
	// connectionBytes is the memory of a connection without a header: two buffers of 4 KB, a
	// stack of 4 KB and the server's state. outgoingBytes is that of a connection to a server
	// or another VM, which has a buffer for reading, one for relaying and no goroutine of its
	// own, and of the free bytes of its response.
	connectionBytes, outgoingBytes = 16 << 10, 8<<10 + membudget.FreeBytes
	// backlogShare is the part of a port's connections that may wait to be accepted.
	backlogShare = 0.25
	// The sizes of receive buffers: of the ports on which callers and VMs send bodies, as far
	// as there is memory, and of the others.
	minReceiveBytes, maxReceiveBytes, receiveStep = 8 << 10, 64 << 10, 4 << 10
	smallReceiveBytes                             = 4 << 10
	// processBytes is the memory of a process without requests, in a large fleet.
	processBytes = 30 << 20
	// memoryLimitShare is the most of the memory that is set as the soft limit of the Go
	// runtime, and textBytes the resident part of the program's text, which that doesn't hold.
	memoryLimitShare = 0.7
	textBytes        = 10 << 20
	// minBacklog is the least number of connections that may wait to be accepted.
	minBacklog = 16
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

// fit sets the size of the receive buffers so that all bounds together fit the memory, and
// reduces the connections if the smallest buffers don't, unless their number is set.
func (b *Bounds) fit(memoryBytes int64, connectionsSet bool) {
	b.ReceiveBytes = defaultReceiveBytes
	if memoryBytes <= 0 {
		return
	}
	for b.ReceiveBytes = maxReceiveBytes; b.ReceiveBytes > minReceiveBytes && b.MostMemory() > memoryBytes; {
		b.ReceiveBytes -= receiveStep
	}
	for !connectionsSet && b.Connections > minConnections && b.MostMemory() > memoryBytes {
		b.Connections = max(minConnections, b.Connections-max(1, b.Connections/100))
	}
}

func positive[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// MostMemory returns the memory of the process and of the bytes that it has not read, in bytes,
// if all bounds are reached: each connection holds its free bytes for a header, and for a body on
// the ports that read them, and its receive buffer is full.
func (b *Bounds) MostMemory() int64 {
	perConnection := 0.0
	for _, k := range b.kinds {
		bytes := connectionBytes + membudget.FreeBytes + k.BufferBytes
		if k.receives() {
			bytes += membudget.FreeBytes
		}
		perConnection += k.Share * float64(bytes)
	}
	return processBytes + int64(perConnection*float64(b.Connections)) + int64(b.Outgoing)*outgoingBytes + b.PendingBytes + b.ControlBytes + b.UnreadMemory()
}

// UnreadMemory returns the most bytes that all connections have received and that were not read,
// also while they wait to be accepted.
func (b *Bounds) UnreadMemory() int64 {
	perConnection := 0.0
	for _, k := range b.kinds {
		perConnection += k.Share * (1 + backlogShare) * float64(b.Buffers(k).UnreadBytes())
	}
	return int64(perConnection*float64(b.Connections)) + int64(b.Outgoing)*b.OutgoingBuffers().UnreadBytes() + b.WindowBytes
}

// MemoryLimit returns the soft limit for the Go runtime, in bytes, of a process with the memory:
// what is left of it beside unread bytes and the program's text.
func (b *Bounds) MemoryLimit(memoryBytes int64) int64 {
	return min(int64(memoryLimitShare*float64(memoryBytes)), max(memoryBytes/4, memoryBytes-b.UnreadMemory()-textBytes))
}

// OutgoingBuffers returns the buffers of connections to servers and other VMs. They are half as
// large as those of connections that carry bodies, as responses are relayed as they arrive.
func (b *Bounds) OutgoingBuffers() sockets.Buffers {
	return sockets.Buffers{ReceiveBytes: max(smallReceiveBytes, b.ReceiveBytes/2)}
}

// smallBuffers are those of ports without bodies.
var smallBuffers = sockets.Buffers{ReceiveBytes: smallReceiveBytes}

// pooledShare is the part of the outgoing connections that are for requests. The others are for
// records, load reports and the registry.
const pooledShare = 0.9

// PooledConnections returns the most connections to servers and other VMs for requests.
func (b *Bounds) PooledConnections() int { return int(pooledShare * float64(b.Outgoing)) }

// Buffers returns the buffers of the listener of a port.
func (b *Bounds) Buffers(kind Kind) sockets.Buffers {
	buffers := smallBuffers
	if kind.receives() {
		buffers.ReceiveBytes = b.ReceiveBytes
	}
	buffers.Backlog = max(minBacklog, int(backlogShare*float64(kind.Connections(b))))
	return buffers
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
