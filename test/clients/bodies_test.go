package clients

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/wire"
	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

var (
	// bodyLimits are those of most tests with bodies, and largeLimits those of a small machine
	// of the users' platform.
	bodyLimits  = limits{memoryMb: 64, maxRSSMb: 64, descriptors: 600, maxOpen: 525, oneCore: true}
	largeLimits = limits{memoryMb: 144, maxRSSMb: 144, descriptors: 3075, maxOpen: 2700, oneCore: true}
)

const (
	// largestBody is the configured limit of a body at chestnut-edge.
	largestBody = 4 << 20
	chunkBytes  = 64 << 10
	// tinyBytes is the size of the body of chunks of one byte, of 6 bytes each as sent.
	tinyBytes = 64 << 10
)

var (
	block      = strings.Repeat("x", chunkBytes)
	chunk      = fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, block)
	tinyChunks = strings.Repeat("1\r\nx\r\n", 512)
)

const (
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
	// largest is the length of the largest body, and huge that of one far over the limit.
	largest = "Content-Length: 4194304\r\n\r\n"
	huge    = "Content-Length: 4294967296\r\n\r\n"
)

// hopHeader is the header of a request of another VM.
var hopHeader = hop + "Chestnut-Hop: " + base64.StdEncoding.EncodeToString([]byte(
	`{"id":"c","hop":"h","host":"callers.example","method":"POST","target":"/book/x","path":"/book/x","remainingMs":4000,"entry":"north-a-9","service":"desk","attempts":1}`)) + "\r\n"

// bodiesOf returns the crowds that send bodies to a port. The first part of their requests ends
// before the length, and legal is the length of the largest legal body.
func bodiesOf(port, first string, connections, legal int) []crowd {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", legal)
	return []crowd{
		{name: "whole bodies", port: port, connections: connections, first: first + length, piece: block, atOnce: legal},
		{name: "bodies short of their last KB", port: port, connections: connections, first: first + length, piece: longValue, atOnce: legal - 1<<10, last: longValue, wholeEvery: 8},
		{name: "large chunks short of their end", port: port, connections: connections, first: first + chunked, piece: chunk, atOnce: legal - chunkBytes, last: "0\r\n\r\n", wholeEvery: 8},
		{name: "chunks of one byte short of their end", port: port, connections: connections, first: first + chunked, piece: tinyChunks, atOnce: 6 * tinyBytes, last: "0\r\n\r\n", wholeEvery: 8},
		{name: "chunks of one byte without an end", port: port, connections: connections, first: first + chunked, piece: tinyChunks, atOnce: endless},
		{name: "announced over the limit", port: port, connections: connections, first: first + huge, piece: block, atOnce: endless},
		{name: "sent over the limit", port: port, connections: connections, first: first + chunked, piece: chunk, atOnce: endless},
	}
}

// edgeBodyCrowds are those of chestnut-edge.
func edgeBodyCrowds() []crowd {
	const plain = "POST /x HTTP/1.1\r\nHost: x\r\n"
	header := post + "A: " + strings.Repeat("a", 12<<10) + "\r\n"
	crowds := slices.Concat(
		bodiesOf("callers", post, 300, largestBody),
		bodiesOf("hops", hopHeader, 300, largestBody),
		[]crowd{
			{name: "bodies beside large headers", port: "callers", connections: 300, first: header + largest, piece: block, atOnce: largestBody - 1<<10},
			{name: "unread responses to many", port: "callers", connections: 300, first: "POST /large/x HTTP/1.1\r\nHost: callers.example\r\nRequest-Id: c\r\nDeadline: 4000\r\nContent-Length: 1\r\n\r\nx"},
			{name: "quota", port: "hops", connections: 300, first: "POST /peer/v1/quota HTTP/1.1\r\nHost: x\r\n" + largest, piece: block, atOnce: largestBody - 1<<10},
			// The length of a frame of 1,380,000 bytes.
			{name: "messages short of their end", port: "control", connections: 300, first: "\xa0\x9d\x54", piece: longValue, atOnce: 1_300_000},
		})
	for _, port := range []string{"directory", "ready", "operators"} {
		crowds = append(crowds,
			crowd{name: "bodies that nothing reads", port: port, connections: 300, first: plain + largest, piece: block, atOnce: largestBody - 1<<10},
			crowd{name: "chunks of one byte that nothing reads", port: port, connections: 300, first: plain + chunked, piece: tinyChunks, atOnce: endless})
	}
	return crowds
}

// Guards against clients whose bodies take more memory than the machine has, read or unread:
// large ones at once, ones that are held short of their end, and ones over the limit. A crowd at
// a time. Afterwards the largest legal body is served.
func TestBodiesStayWithinTheMemoryOfAVM(t *testing.T) {
	edge := buildEdge(t)
	for _, c := range edgeBodyCrowds() {
		t.Run("edge/"+c.port+"/"+c.name, func(t *testing.T) { withstandBodies(t, startEdge(t, edge, bodyLimits), c) })
	}
}

// Guards against bodies that are held at two VMs: at the one that received them and at the one to
// which it sends them, and against responses that stop between them.
func TestBodiesThatCrossRegionsStayWithinTheMemoryOfBothVMs(t *testing.T) {
	edge := buildEdge(t)
	crowds := bodiesOf("callers", post, 300, largestBody)[:4]
	crowds = append(crowds, crowd{name: "unread responses", port: "callers", connections: 300, first: "POST /large/x HTTP/1.1\r\nHost: callers.example\r\nRequest-Id: c\r\nDeadline: 4000\r\nContent-Length: 1\r\n\r\nx"})
	for _, c := range crowds {
		for _, at := range []string{"entry", "other"} {
			t.Run(at+"/"+c.name, func(t *testing.T) {
				entry, other := startTwoEdges(t, edge, bodyLimits)
				if at == "other" {
					entry.pid, entry.alive = other.pid, other.alive
				}
				withstandBodies(t, entry, c)
			})
		}
	}
}

// Guards against what a crowd holds in the buffers of its sockets: on a small machine of the
// users' platform, unread bytes alone took more than its memory.
func TestBodiesOfALargeCrowdStayWithinTheMemoryOfAVM(t *testing.T) {
	edge := buildEdge(t)
	for _, c := range bodiesOf("callers", post, 2000, largestBody) {
		t.Run("edge/"+c.port+"/"+c.name, func(t *testing.T) { withstandBodies(t, startEdge(t, edge, largeLimits), c) })
	}
}

// Guards against the same clients at chestnut-gateway, whose bodies have up to 1 MiB.
func TestBodiesStayWithinTheMemoryOfAGateway(t *testing.T) {
	gateway := testbed.BuildGateway(t)
	bodyLimits.setGateway(t)
	const chat = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nChestnut-Team: jungmun-gear\r\n"
	crowds := append(bodiesOf("callers", chat, 300, wire.MaxBodyBytes),
		crowd{name: "bodies that nothing reads", port: "operators", connections: 300, first: "POST /readyz HTTP/1.1\r\nHost: x\r\n" + largest, piece: block, atOnce: largestBody - 1<<10},
		crowd{name: "bodies short of their end", port: "forward", connections: 60, connect: holdForwards})
	for _, c := range crowds {
		t.Run("gateway/"+c.port+"/"+c.name, func(t *testing.T) { withstand(t, startGateway(t, gateway, bodyLimits), c) })
	}
}

// servesLargestBodiesOfGateway reports whether a chestnut-gateway serves the largest legal body on
// each kind of route, with its length and in chunks.
func servesLargestBodiesOfGateway(ctx context.Context, address string) bool {
	const start, end = `{"model":"wind-writer","max_tokens":1,"messages":[{"role":"user","content":"x"}],"user":"`, `"}`
	chat := start + strings.Repeat("x", wire.MaxBodyBytes-len(start)-len(end)) + end
	entries, err := http.Get("http://" + address + wire.PathEntries)
	if err != nil {
		return false
	}
	_ = entries.Body.Close()
	for _, route := range []struct{ method, path, key string }{
		{http.MethodPost, wire.PathChatCompletions, ""},
		{http.MethodGet, wire.PathServices + "spot-desk/forecast", ""},
		{http.MethodPost, wire.PathServices + "spot-desk/bookings", entries.Header.Get(wire.HeaderKeyPrefix) + "~"},
	} {
		for _, length := range []int64{int64(len(chat)), -1} {
			req, err := http.NewRequestWithContext(ctx, route.method, "http://"+address+route.path, io.NopCloser(strings.NewReader(chat)))
			if err != nil {
				return false
			}
			req.ContentLength = length
			req.Header.Set(wire.HeaderTeam, "jungmun-gear")
			if route.key != "" {
				req.Header.Set(wire.HeaderIdempotencyKey, fmt.Sprint(route.key, rand.Uint64()))
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode >= http.StatusMultipleChoices {
				return false
			}
		}
	}
	return true
}

// forwardsPerConnection is the number of requests that each client of holdForwards sends on its
// connection.
const forwardsPerConnection = 40

// holdForwards sends requests of another gateway on one HTTP/2 connection, all of them short of
// the last byte of the largest body.
func holdForwards(ctx context.Context, address string) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	var all sync.WaitGroup
	for range forwardsPerConnection {
		all.Go(func() {
			body, rest := io.Pipe()
			defer context.AfterFunc(ctx, func() { _ = rest.CloseWithError(ctx.Err()) })()
			go func() { _, _ = rest.Write(make([]byte, wire.MaxBodyBytes-1)) }()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathForward, body)
			if err != nil {
				return
			}
			req.ContentLength = wire.MaxBodyBytes
			for name, value := range map[string]string{
				wire.HeaderRequestTarget: "POST " + wire.PathChatCompletions, wire.HeaderTimeout: "4000", wire.HeaderVisitedVMs: "other",
				wire.HeaderRequestID: "c", wire.HeaderHop: "region", wire.HeaderTeam: "jungmun-gear",
			} {
				req.Header.Set(name, value)
			}
			if resp, err := transport.RoundTrip(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	all.Wait()
}

// withstandBodies has a crowd at a process, and then fails the test if the largest legal body
// isn't served on each kind of route.
func withstandBodies(t *testing.T, p edgeTarget, c crowd) {
	t.Helper()
	waitUntil(t, "the largest body is served before", p.servesLargestBodies)
	c.refusals = p.refusals
	withstand(t, p.target, c)
	waitUntil(t, "the largest body is served afterwards", p.servesLargestBodies)
	for _, id := range p.refusals.notRun() {
		if runs := p.deployment.Executions.ForRequest(id); len(runs) > 0 {
			t.Errorf("request %s was refused as not run, and ran %d times", id, len(runs))
		}
	}
}

// servesLargestBodies reports whether the largest legal body is served on each kind of route,
// with its length and in chunks.
func (p edgeTarget) servesLargestBodies() bool {
	for _, path := range []string{platformtest.PathUnsafe, platformtest.PathSafe, platformtest.PathResumableStream, platformtest.PathNonResumableStream} {
		for _, length := range []int64{largestBody, -1} {
			if !p.serves(path, length) {
				return false
			}
		}
	}
	return true
}

// refusals are the responses that said that a request has not run.
type refusals struct {
	sent atomic.Int64
	mu   sync.Mutex
	ids  []string
}

// newID returns an ID for a request.
func (r *refusals) newID() string { return fmt.Sprintf("b-%d", r.sent.Add(1)) }

// read reads the response to a request and records it.
func (r *refusals) read(id string, conn net.Conn) {
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		r.record(id, resp.StatusCode)
	}
}

func (r *refusals) notRun() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ids)
}

// record records the ID of a request whose response says that it has not run.
func (r *refusals) record(id string, status int) {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ids = append(r.ids, id)
	}
}

// serves sends a request with the largest legal body, in chunks if the length is -1, and
// reports whether it is served.
func (p edgeTarget) serves(path string, length int64) bool {
	id := p.refusals.newID()
	conn, err := net.Dial("tcp", p.vm.CallerAddress)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	req, err := http.NewRequest(http.MethodPost, "http://"+platformtest.Host+path+"x", io.LimitReader(zeros{}, largestBody))
	if err != nil {
		return false
	}
	req.ContentLength = length
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline", fmt.Sprint(platformtest.DefaultTimeout.Milliseconds()))
	for name, values := range platformtest.Prompt(id, "aa:200") {
		req.Header[name] = values
	}
	req.Header.Set("Model", "m")
	if err := req.Write(conn); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	p.refusals.record(id, resp.StatusCode)
	return err == nil && resp.StatusCode == http.StatusOK
}

// zeros is a reader of zero bytes without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
