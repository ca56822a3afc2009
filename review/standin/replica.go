package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// replicaProcess is a model replica in a process of its own, so that a signal can end
// it as it would end a real one.
type replicaProcess struct {
	id, zone, address string
	cmd               *exec.Cmd
	exited            chan struct{}
	// entry is the replica's entry in the store.
	entry map[string]any
}

// replicaSlots is the number of slots of a replica.
const replicaSlots = 16

// replicaSettings are the arguments of a replica process, as JSON.
type replicaSettings struct {
	ID, Service, Zone, Address string
	Events                     int
	EventInterval              time.Duration
	Unframed                   bool
	// PieceInterval, if above 0, is the pause between the pieces in which the body of a
	// plain response is written.
	PieceInterval time.Duration
	// Record is the path of the file to which executions are appended.
	Record string
}

// serveReplica serves a replica until the process is ended. It appends each execution
// to the record as it begins.
func serveReplica(arg string) int {
	var s replicaSettings
	if err := json.Unmarshal([]byte(arg), &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	record, err := os.OpenFile(s.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	// The replica's own deployment has a store that nobody uses.
	d, err := platformtest.NewDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	replica, err := d.StartBehindProxy(s.ID, s.Service, s.Zone, func(string) (string, error) { return s.Address, nil })
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	replica.Events, replica.EventInterval = s.Events, s.EventInterval
	replica.SetFaults(platformtest.Faults{Unframed: s.Unframed})
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			if s.PieceInterval > 0 && !strings.HasPrefix(hr.URL.Path, "/-/") {
				w = &pieceWriter{ResponseWriter: w, interval: s.PieceInterval}
			}
			replica.ServeHTTP(w, hr)
		}))
	}()
	for written := 0; ; time.Sleep(20 * time.Millisecond) {
		all := d.Executions.All()
		for ; written < len(all); written++ {
			_, _ = fmt.Fprintf(record, "%d %s run by %s\n", all[written].StartedAt.UnixMilli(), all[written].ID, s.ID)
		}
	}
}

// pieceWriter writes a body in bodyPieces pieces.
type pieceWriter struct {
	http.ResponseWriter
	interval time.Duration
}

// bodyPieces is the number of pieces in which a pieceWriter writes a body.
const bodyPieces = 4

// Write implements http.ResponseWriter.
func (w *pieceWriter) Write(p []byte) (int, error) {
	for i := range bodyPieces {
		piece := p[i*len(p)/bodyPieces : (i+1)*len(p)/bodyPieces]
		if _, err := w.ResponseWriter.Write(piece); err != nil {
			return 0, err
		}
		if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
			return 0, err
		}
		time.Sleep(w.interval)
	}
	return len(p), nil
}

// startReplica starts a replica process, waits until it accepts connections, and
// registers it.
func (r *run) startReplica(s replicaSettings) (*replicaProcess, error) {
	s.Record = filepath.Join(r.dir, "executions")
	arg, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &replicaProcess{id: s.ID, zone: s.Zone, address: s.Address, exited: make(chan struct{}), cmd: exec.Command(self, "replica", string(arg))}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	r.replicas = append(r.replicas, p)
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", s.Address); err == nil {
			_ = conn.Close()
			break
		}
		if time.Since(began) > readyTimeout {
			return nil, fmt.Errorf("replica %s does not accept connections", s.ID)
		}
	}
	p.entry = (&platformtest.Replica{Service: s.Service, Zone: s.Zone, Slots: replicaSlots, StartedMs: time.Now().UnixMilli()}).Entry(s.Address, "ready")
	r.Store.Put("servers/"+s.ID, p.entry)
	r.note("replica %s started, process %d", s.ID, p.cmd.Process.Pid)
	return p, nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(n int) string {
	pid := os.Getpid()
	return "127." + strconv.Itoa(120+pid%100) + "." + strconv.Itoa(pid/100%250) + "." + strconv.Itoa(1+n) + ":8080"
}
