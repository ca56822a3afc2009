package listenlimit

import (
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
)

// This file adds up what all connections, messages and receive buffers of a process hold if all
// bounds are reached, and sets the bounds so that the sum fits the memory.

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
	// minReceiveBytes to maxReceiveBytes, in steps, are the sizes of the receive buffers of
	// ports on which bodies or messages arrive, and smallReceiveBytes is that of the others.
	minReceiveBytes, maxReceiveBytes, receiveStep = 8 << 10, 64 << 10, 4 << 10
	smallReceiveBytes                             = 4 << 10
	// processBytes is the memory of a process without requests, in a large fleet.
	processBytes = 30 << 20
	// memoryLimitShare is the most of the memory that is set as the soft limit of the Go
	// runtime, and textBytes the resident part of the program's text, which that doesn't hold.
	memoryLimitShare = 0.7
	textBytes        = 10 << 20
	// pooledShare is the part of the outgoing connections that are for requests. The others are
	// for records, load reports and the registry.
	pooledShare = 0.9
	// minBacklog is the least number of connections that may wait to be accepted.
	minBacklog = 16
)

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
