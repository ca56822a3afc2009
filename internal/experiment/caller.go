// Package experiment sends load to a deployment, checks every answer and
// works out the figures that the users measure.
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
	// ErrNoEntry says that no entry VM could be asked.
	ErrNoEntry = Errors.NewType("no-entry")
	// ErrSpec says that an experiment's file isn't right.
	ErrSpec = Errors.NewType("spec")
)

// grace is how long a caller waits beyond its own deadline.
const grace = 2 * time.Second

// Caller sends requests to entry VMs and checks the answers. It is safe for
// concurrent use.
type Caller struct {
	client *http.Client
	book   *entryBook
	turn   atomic.Uint64
}

// NewCaller returns a caller. The directory returns the addresses of the
// entry VMs to ask, best first, for callers in a region.
func NewCaller(directory func(region string) []string) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: entryTimeout}).DialContext,
	}
	client := &http.Client{Transport: transport}
	return &Caller{
		client: client,
		book:   &entryBook{client: client, directory: directory, lists: map[entryKey]*heldList{}},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request that should have started at the intended time. A request
// that found no connection to an entry VM is sent to the next one.
func (c *Caller) Do(ctx context.Context, call *Call, intended time.Time) *Outcome {
	o := &Outcome{Call: call, Intended: intended, Start: time.Now()}
	ctx, cancel := context.WithDeadline(ctx, intended.Add(call.Timeout+grace))
	defer cancel()
	list, err := c.book.get(ctx, call)
	if err != nil {
		o.Err = err.Error()
		o.Total = time.Since(intended)
		return o
	}
	if call.Kind == KindBooking {
		o.IdempotencyKey = list.KeyPrefix + "~" + uuid.NewString()
	}
	for _, address := range addressesOf(call, list, c.turn.Add(1)) {
		o.Attempts++
		if !c.attempt(ctx, o, address) {
			break
		}
		c.book.forget(call)
	}
	o.Total = time.Since(intended)
	return o
}

// addressesOf returns the entry VMs to try in turn. A booking goes to the
// entry VM that gave its key prefix.
func addressesOf(call *Call, list entryList, turn uint64) []string {
	var addresses []string
	if call.Kind == KindBooking {
		addresses = append(addresses, list.from)
	}
	for _, e := range spread(list.Entries, turn) {
		if !e.Leaving && !slices.Contains(addresses, e.Address) {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// spread returns the entries with those of the first one's region in turn, as
// many callers that each ask for themselves would use them.
func spread(entries []entry, turn uint64) []entry {
	first := 0
	for first < len(entries) && entries[first].Region == entries[0].Region && !entries[first].Leaving {
		first++
	}
	if first < 2 {
		return entries
	}
	at := int(turn % uint64(first))
	return slices.Concat(entries[at:first], entries[:at], entries[first:])
}

// attempt sends the request to one entry VM. It reports whether the request
// can be sent to another, because it was not sent to this one.
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
	o.Loop = loops(resp.Header.Get(wire.HeaderPath))
	o.RequestID = req.Header.Get(wire.HeaderRequestID)
	o.Region = resp.Header.Get(wire.HeaderRegion)
	o.Backend = resp.Header.Get(wire.HeaderBackend)
	o.RetryAfter = resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		readRefusal(o, resp.Body)
		return o.Verdict == verdict.NotRun && otherEntryHelps(verdict.Code(o.Code))
	}
	if got := resp.Header.Get(wire.HeaderRequestID); got != req.Header.Get(wire.HeaderRequestID) {
		o.Wrong = "the answer is to request " + got
		return false
	}
	readAnswer(o, resp.Body)
	return false
}

// otherEntryHelps reports whether a refusal is about the entry VM and not
// about the request.
func otherEntryHelps(code verdict.Code) bool {
	switch code {
	case verdict.CodeWrongRegion, verdict.CodeShuttingDown, verdict.CodeNoConfiguration:
		return true
	default:
		return false
	}
}

// loops reports whether a path of hops names a gateway twice.
func loops(path string) bool {
	vms := strings.Split(path, ",")
	slices.Sort(vms)
	return len(slices.Compact(vms)) < strings.Count(path, ",")+1
}

// newRequest builds the HTTP request of a call.
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
	// A reader of unknown type has no GetBody, so the transport can't send
	// the request twice.
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

type chatBodyJSON struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func chatBody(call *Call) []byte {
	chat := chatBodyJSON{Model: call.Target, MaxTokens: call.Tokens, Stream: call.Stream}
	if call.Prefix != "" {
		chat.Messages = append(chat.Messages, chatMessage{"system", call.Prefix})
	}
	chat.Messages = append(chat.Messages, chatMessage{"user", call.Prompt})
	body, err := json.Marshal(chat)
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	return body
}

// maxProblemBytes bounds the body of a refusal.
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
