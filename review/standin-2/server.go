package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// serverSpec describes a backend server, which runs in a process of its own.
type serverSpec struct {
	ID, Service, Zone, Address string
	Slots                      int
	Born                       int64
	// ColdMs is for how long the server is cold after its start, in milliseconds.
	ColdMs int64
	// Events is the number of events of a stream, and IntervalMs the time between two.
	Events, IntervalMs int
	// Unframed means that responses have neither a length nor chunks and end with their
	// connection.
	Unframed bool
	// Refusal is the status of the responses to plain requests; zero means 200. PauseMs is the
	// pause in the middle of each response to a plain request.
	Refusal, PauseMs int
	// DeadlyBlock is the block of a prompt on which the process crashes, or "".
	DeadlyBlock string
}

// server is the state of a server's process.
type server struct {
	serverSpec
	active atomic.Int64
	mu     sync.Mutex
}

// serveProcess runs the server of the specification, in JSON, until the process is killed. It
// writes a line for each run to the standard output.
func serveProcess(specification string) error {
	s := &server{}
	if err := json.Unmarshal([]byte(specification), &s.serverSpec); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	fmt.Println("ready")
	return (&http.Server{Handler: s}).Serve(l)
}

// print writes a line at once, also if the process is killed right after.
func (s *server) print(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	if expected := r.Header.Get(wire.Expected); expected != "" && expected != s.ID {
		w.Header().Set(wire.Instance, s.ID)
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case wire.ReportPath:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(fill(wire.Report, map[string]any{"Active": s.active.Load(), "Born": s.Born}))
		return
	case wire.HealthPath:
		w.Header().Set(wire.Instance, s.ID)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return // an incomplete request does not run
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	s.print("run %s begins", id)
	blocks := strings.Split(r.Header.Get(wire.Blocks), ",")
	if s.DeadlyBlock != "" && slices.ContainsFunc(blocks[:len(blocks)-1], func(b string) bool { return strings.HasPrefix(b, s.DeadlyBlock+":") }) {
		s.print("run %s crashes the server", id)
		os.Exit(2)
	}
	w.Header().Set(wire.Stamp, stampOf(s.ID, id))
	if s.Unframed {
		// net/http sends no chunks then, and closes the connection at the end.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	sent := 0
	if s.Service == engineService {
		sent = s.stream(w, r, id)
	} else {
		sent = s.answer(w, r, id)
	}
	s.print("run %s ends after part %d", id, sent)
}

// stream sends the events after the last one that the caller has, and returns the last one's ID.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) int {
	w.Header().Set("Content-Type", "text/event-stream")
	n, _ := strconv.Atoi(r.Header.Get(wire.LastEvent))
	for n < s.Events {
		select {
		case <-time.After(time.Duration(s.IntervalMs) * time.Millisecond):
		case <-r.Context().Done():
			return n
		}
		n++
		_, _ = io.WriteString(w, event(id, n))
		_ = http.NewResponseController(w).Flush()
	}
	return n
}

// answer sends a plain response in two parts, and returns how many were sent.
func (s *server) answer(w http.ResponseWriter, r *http.Request, id string) int {
	w.Header().Set("Content-Type", "application/json")
	if s.Refusal != 0 {
		w.WriteHeader(s.Refusal)
	}
	text := plainBody(id)
	_, _ = io.WriteString(w, text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	select {
	case <-time.After(time.Duration(s.PauseMs) * time.Millisecond):
	case <-r.Context().Done():
		return 1
	}
	_, _ = io.WriteString(w, text[len(text)/2:])
	return 2
}

// stampOf returns a server's signature of its response to a request.
func stampOf(server, id string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, server+"/"+id)
	return strconv.FormatUint(h.Sum64(), 16)
}

// event returns event n of the stream in response to a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// events returns a whole stream.
func events(id string, number int) string {
	var b strings.Builder
	for n := 1; n <= number; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// plainBody returns the whole body of a plain response to a request.
func plainBody(id string) string {
	return fmt.Sprintf(`{"request":%q,"reason":"the slot is taken","free":["13:00","14:00","15:30","17:00"]}`, id)
}
