package clients

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// edgeCrowds are those of the other ports of chestnut-edge, and those that need its routes.
var edgeCrowds = []crowd{
	{name: "bodies of 4 MB short of their last byte", port: "callers", connections: 80, first: post + "Content-Length: 4194304\r\n\r\n", piece: longValue, atOnce: 4<<20 - 1<<10},
	{name: "unread responses", port: "callers", connections: 150, first: "POST /large/x HTTP/1.1\r\nHost: callers.example\r\nRequest-Id: c\r\nDeadline: 4000\r\nContent-Length: 1\r\n\r\nx"},
	{name: "header of 900 KB", port: "directory", connections: 100, first: "GET / HTTP/1.1\r\nHost: x\r\nA: ", piece: longValue, atOnce: 900 << 10},
	{name: "header of 900 KB", port: "ready", connections: 100, first: "GET / HTTP/1.1\r\nHost: x\r\nA: ", piece: longValue, atOnce: 900 << 10},
	{name: "header of 900 KB", port: "operators", connections: 100, first: "GET / HTTP/1.1\r\nHost: x\r\nA: ", piece: longValue, atOnce: 900 << 10},
	{name: "header without an end", port: "hops", connections: 400, first: hop + "Chestnut-Hop: ", piece: longValue, atOnce: 140 << 10},
	{name: "empty lines without an end", port: "directory", connections: 100, piece: "\r\n", atOnce: endless},
	{name: "silent connections", port: "directory", connections: 1200},
	{name: "silent connections", port: "control", connections: 1200},
	{name: "header without an end", port: "control", connections: 200, first: "Content-Length: ", piece: longValue, atOnce: 512 << 10},
}

// Guards against clients that make a process run out of memory or descriptors: headers, empty
// lines, bodies and responses that never end, and more connections than descriptors.
// One crowd at a time: the bounds are for one process.
func TestUntrustedClientsDoNotEndAProcess(t *testing.T) {
	edge := buildEdge(t)
	for _, c := range slices.Concat(commonCrowds, edgeCrowds) {
		t.Run("edge/"+c.port+"/"+c.name, func(t *testing.T) { withstand(t, startEdge(t, edge, connectionLimits).target, c) })
	}
	gateway := testbed.BuildGateway(t)
	connectionLimits.setGateway(t)
	body := crowd{name: "bodies of 1 MB short of their last byte", port: "callers", connections: 80, first: "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n", piece: longValue, atOnce: 1<<20 - 1<<10}
	operators := crowd{name: "header of 900 KB", port: "operators", connections: 100, first: "GET /readyz HTTP/1.1\r\nHost: x\r\nA: ", piece: longValue, atOnce: 900 << 10}
	for _, c := range slices.Concat(commonCrowds, []crowd{body, operators}) {
		t.Run("gateway/"+c.port+"/"+c.name, func(t *testing.T) { withstand(t, startGateway(t, gateway, connectionLimits), c) })
	}
}

// buildEdge builds chestnut-edge and returns its path.
func buildEdge(t *testing.T) string {
	t.Helper()
	edge := filepath.Join(t.TempDir(), "chestnut-edge")
	if out, err := exec.Command("go", "build", "-o", edge, "../../cmd/chestnut-edge").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return edge
}

// setGateway sets the memory of the gateways that the test starts.
func (l limits) setGateway(t *testing.T) {
	t.Helper()
	t.Setenv("CHESTNUT_MEMORY_MB", fmt.Sprint(l.memoryMb))
	t.Setenv("GOMEMLIMIT", fmt.Sprintf("%dMiB", l.memoryMb*7/10))
}
