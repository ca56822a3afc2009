// Package experiment sends load to a deployment of real gateways and simulated
// backend servers, checks every response and computes latency, goodput, fairness
// and cost for each policy.
package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("experiment")
	// ErrNoEntry means that no entry VM returned a list of entries.
	ErrNoEntry = Errors.NewType("no-entry")
	// ErrSpec means that an experiment is invalid.
	ErrSpec = Errors.NewType("spec")
)

// deadlineGrace is the time that a caller waits for a response after its deadline,
// so that a late response is recorded as late and not as missing.
const deadlineGrace = 2 * time.Second

// Caller sends requests to entry VMs and checks the responses. It is safe for
// concurrent use.
type Caller struct {
	client   *http.Client
	entries  *entryCache
	rotation atomic.Uint64
}

// NewCaller returns a caller. The directory returns the addresses of the entry
// VMs to query for the entry list, preferred ones first, for callers in a region.
func NewCaller(directory func(region string) []string) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: entryTimeout}).DialContext,
	}
	client := &http.Client{Transport: transport}
	return &Caller{
		client:  client,
		entries: &entryCache{client: client, directory: directory, lists: map[entryKey]*cachedEntries{}},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request whose scheduled start is intended, and waits for the
// response. If an entry VM can't be reached, or refuses the request for a reason
// of its own, the next entry VM is tried.
func (c *Caller) Do(ctx context.Context, call *Call, intended time.Time) *Outcome {
	o := &Outcome{Call: call, Intended: intended, Start: time.Now()}
	ctx, cancel := context.WithDeadline(ctx, intended.Add(call.Timeout+deadlineGrace))
	defer cancel()
	list, err := c.entries.get(ctx, call)
	if err != nil {
		o.Err = err.Error()
		o.Total = time.Since(intended)
		return o
	}
	if call.Kind == KindBooking {
		o.IdempotencyKey = list.KeyPrefix + "~" + uuid.NewString()
	}
	for _, address := range entryAddresses(call, list, c.rotation.Add(1)) {
		o.Attempts++
		if !c.attempt(ctx, o, address) {
			break
		}
		c.entries.invalidate(call)
	}
	o.Total = time.Since(intended)
	return o
}

// entryAddresses returns the addresses of the entry VMs in the order in which to
// try them. A booking goes first to the entry VM that issued its key prefix.
func entryAddresses(call *Call, list entryList, rotation uint64) []string {
	var addresses []string
	if call.Kind == KindBooking {
		addresses = append(addresses, list.source)
	}
	for _, e := range rotateEntries(list.Entries, rotation) {
		if !e.Leaving && !slices.Contains(addresses, e.Address) {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// rotateEntries rotates the leading entries that have the region of the first one
// and aren't leaving. The requests of this one caller then spread over them like
// those of many independent callers.
func rotateEntries(entries []entry, rotation uint64) []entry {
	first := 0
	for first < len(entries) && entries[first].Region == entries[0].Region && !entries[first].Leaving {
		first++
	}
	if first < 2 {
		return entries
	}
	at := int(rotation % uint64(first))
	return slices.Concat(entries[at:first], entries[:at], entries[first:])
}

// attempt sends the request to one entry VM. It reports whether the request may
// be sent to another entry VM: the connection failed, or the entry VM refused
// the request without executing it and for a reason of its own.
func (c *Caller) attempt(ctx context.Context, o *Outcome, address string) bool {
	req, err := newRequest(ctx, o, address)
	if err != nil {
		o.Err = err.Error()
		return false
	}
	o.Status, o.Err, o.Code, o.Verdict = 0, "", "", verdict.MayHaveRun
	resp, err := c.client.Do(req)
	if err != nil {
		o.Err = err.Error()
		var dial *net.OpError
		return errorAs(err, &dial) && dial.Op == "dial"
	}
	defer func() { _ = resp.Body.Close() }()
	o.Status = resp.StatusCode
	o.Verdict = verdict.Parse(resp.Header.Get(wire.HeaderVerdict))
	o.Loop = hasLoop(resp.Header.Get(wire.HeaderPath))
	o.RequestID = req.Header.Get(wire.HeaderRequestID)
	o.Region = resp.Header.Get(wire.HeaderRegion)
	o.Backend = resp.Header.Get(wire.HeaderBackend)
	o.RetryAfter = resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		readRefusal(o, resp.Body)
		return o.Verdict == verdict.NotRun && retryOnOtherEntry(verdict.Code(o.Code))
	}
	if got := resp.Header.Get(wire.HeaderRequestID); got != req.Header.Get(wire.HeaderRequestID) {
		o.Wrong = "response belongs to request " + got
		return false
	}
	readResponse(o, resp.Body)
	return false
}

// retryOnOtherEntry reports whether a refusal is due to the entry VM and not to
// the request, so that another entry VM may accept it.
func retryOnOtherEntry(code verdict.Code) bool {
	switch code {
	case verdict.CodeWrongRegion, verdict.CodeShuttingDown, verdict.CodeNoConfiguration:
		return true
	default:
		return false
	}
}

// hasLoop reports whether a comma-separated list of visited VMs has a VM twice.
func hasLoop(path string) bool {
	vms := strings.Split(path, ",")
	slices.Sort(vms)
	return len(slices.Compact(vms)) < strings.Count(path, ",")+1
}

// newRequest builds the HTTP request of a call, with the remaining time until
// its deadline.
func newRequest(ctx context.Context, o *Outcome, address string) (*http.Request, error) {
	call := o.Call
	method, path, body := http.MethodPost, wire.PathChatCompletions, call.Body
	switch call.Kind {
	case KindChat:
		body = chatBody(call)
	case KindForecast:
		method, path = http.MethodGet, wire.PathServices+call.Target+call.Path
	case KindBooking:
		path = wire.PathServices + call.Target + call.Path
	}
	// Hiding the reader's type leaves GetBody unset, so the transport can't
	// resend the request by itself.
	var reader io.Reader
	if len(body) > 0 {
		reader = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	remaining := time.Until(o.Intended.Add(call.Timeout))
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderTeam, call.Team)
	h.Set(wire.HeaderRequestID, uuid.NewString())
	h.Set(wire.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if call.Priority != "" {
		h.Set(wire.HeaderPriority, call.Priority)
	}
	if o.IdempotencyKey != "" {
		h.Set(wire.HeaderIdempotencyKey, o.IdempotencyKey)
	}
	return req, nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func chatBody(call *Call) []byte {
	chat := chatRequest{Model: call.Target, MaxTokens: call.Tokens, Stream: call.Stream}
	if call.Prefix != "" {
		chat.Messages = append(chat.Messages, chatMessage{"system", call.Prefix})
	}
	chat.Messages = append(chat.Messages, chatMessage{"user", call.Prompt})
	body, err := json.Marshal(chat)
	if err != nil {
		panic(err) // can't happen: strings and numbers always encode
	}
	return body
}

// maxProblemBytes bounds the body of an error response.
const maxProblemBytes = 64 << 10

func readRefusal(o *Outcome, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	o.Err = "status " + strconv.Itoa(o.Status)
	if err != nil {
		o.Err += ": " + err.Error()
		return
	}
	readProblem(o, data)
}

func readProblem(o *Outcome, data []byte) {
	var p struct {
		Code    string `json:"code"`
		Detail  string `json:"detail"`
		Verdict string `json:"verdict"`
	}
	if json.Unmarshal(data, &p) == nil && p.Code != "" {
		o.Code = p.Code
		o.Err = p.Code + ": " + p.Detail
		o.Verdict = verdict.Parse(p.Verdict)
	}
}
