package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// vmMemoryMb and vmDescriptors are what VMs have in runs with Config.Bodies.
	vmMemoryMb, vmDescriptors = 96, 1000
	// bodyClients is the number of clients of a crowd, and bodyBytes what each of them sends
	// at most.
	bodyClients, bodyBytes = 80, 1 << 20
)

// heldBodies are the starts of requests whose bodies are held short of their end, and the pieces
// in which the bodies are sent.
var heldBodies = []struct{ name, head, piece string }{
	{"large bodies", "Content-Length: 1048576\r\n\r\n", strings.Repeat("x", 4<<10)},
	{"large chunks", "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n"},
	{"chunks of one byte", "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 256)},
	{"bodies over the limit", "Content-Length: 1073741824\r\n\r\n", strings.Repeat("x", 16<<10)},
}

// holdBodies makes a crowd of clients hold bodies at a VM for a while. They connect again when
// their connections are closed, so that the VM may restart meanwhile.
func (h *Harness) holdBodies() {
	p, kind := h.vms[h.bodyRNG.IntN(len(h.vms))], heldBodies[h.bodyRNG.IntN(len(heldBodies))]
	length := time.Duration(500+h.bodyRNG.IntN(2500)) * time.Millisecond
	h.logFault("%d clients hold %s at %s for %v", bodyClients, kind.name, p.Name, length)
	h.markUnplanned(length)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	time.AfterFunc(length, cancel)
	head := fmt.Sprintf("POST %sheld HTTP/1.1\r\nHost: %s\r\nRequest-Id: held\r\nDeadline: 4000\r\n%s", platformtest.PathUnsafe, platformtest.Host, kind.head)
	for range bodyClients {
		go func() {
			for ctx.Err() == nil {
				holdBody(ctx, p.CallerAddress, head, kind.piece)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// holdBody sends a body short of its end and holds the connection until either side closes it.
func holdBody(ctx context.Context, address, head, piece string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for sent := 0; sent < bodyBytes-len(piece); sent += len(piece) {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, conn)
}

// watchMemory records a violation if a VM's process and its unread bytes take more than its
// memory, until ctx ends.
func (h *Harness) watchMemory(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		for _, p := range h.vms {
			p.mu.Lock()
			pid := p.cmd.Process.Pid
			p.mu.Unlock()
			unread := platformtest.UnreadBytes(pid) >> 20
			if total := platformtest.ResidentBytes(pid, "VmRSS")>>20 + unread; total > vmMemoryMb {
				h.recordViolation("%s took %d MB of %d, %d of them unread", p.Name, total, vmMemoryMb, unread)
				return
			}
		}
	}
}
