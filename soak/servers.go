package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// envServer holds the description, in JSON, of the backend server that the test program
// serves instead of running tests.
const envServer = "CHESTNUT_SOAK_SERVER"

// serverProcess is a backend server in a process of its own.
type serverProcess struct {
	platformtest.ReplicaProcess
	proxy *Proxy
	cmd   *exec.Cmd
	// exited is closed when the process has ended and its executions have been read.
	exited chan struct{}
	// busy means that a fault of the process is in progress.
	busy bool
}

// serveServer serves the backend server that the environment describes. It doesn't return
// before the process is killed, unless it can't listen.
func serveServer(description string) error {
	var p platformtest.ReplicaProcess
	if err := json.Unmarshal([]byte(description), &p); err != nil {
		return err
	}
	return p.Serve(os.Stdout)
}

// startServers starts a model engine and a plain server as processes in each zone.
func (h *Harness) startServers() error {
	for _, zone := range zones {
		for _, service := range []string{platformtest.EngineService, platformtest.PlainService} {
			if !slices.Contains(h.zonesOf(service), zone) {
				continue
			}
			s := &serverProcess{ReplicaProcess: platformtest.ReplicaProcess{
				ID: fmt.Sprintf("s-%d", h.lastID.Add(1)), Service: service, Zone: zone, Address: platformtest.NewAddress(),
				Slots: 16, ResponseDelay: 30 * time.Millisecond, Events: 10, EventInterval: longEventInterval, Copying: h.newCopying(),
			}}
			var err error
			if s.proxy, err = NewProxy(s.Address); err != nil {
				return err
			}
			h.servers = append(h.servers, s)
			if err := h.startServer(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// startServer starts a server's process and registers it.
func (h *Harness) startServer(s *serverProcess) error {
	s.StartedMs = time.Now().UnixMilli()
	description, err := json.Marshal(s.ReplicaProcess)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envServer+"="+string(description))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	s.cmd, s.exited = cmd, exited
	go func() {
		defer close(exited)
		if err := h.Executions.Follow(out); err != nil {
			h.logFault("%s: %v", s.ID, err) // a line that a kill cut off
		}
		_ = cmd.Wait() // the error is the kill
		h.Executions.EndAll(s.ID)
	}()
	h.Store.Put("servers/"+s.ID, s.Entry(s.proxy.Address, "ready"))
	return nil
}

// stopServers ends the processes of all servers.
func (h *Harness) stopServers() {
	for _, s := range h.servers {
		if s.cmd != nil {
			_ = s.cmd.Process.Kill()
			<-s.exited
		}
		s.proxy.Close()
	}
}

// idleServer returns a server whose process has no fault, and marks it, or nil.
func (h *Harness) idleServer() *serverProcess {
	s := h.servers[h.runRNG.IntN(len(h.servers))]
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.busy {
		return nil
	}
	s.busy = true
	return s
}

// releaseServer ends the fault of a server's process.
func (h *Harness) releaseServer(s *serverProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.busy = false
}

// pauseServer stops a server's process by a signal and continues it.
func (h *Harness) pauseServer() {
	s := h.idleServer()
	if s == nil {
		return
	}
	length := time.Duration(200+h.runRNG.IntN(2800)) * time.Millisecond
	h.logFault("pause server %s for %v", s.ID, length)
	h.markUnplanned(length)
	h.mu.Lock()
	h.standstills[s.ID] = append(h.standstills[s.ID], period{time.Now(), time.Now().Add(length)})
	h.mu.Unlock()
	_ = s.cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() {
		_ = s.cmd.Process.Signal(syscall.SIGCONT)
		h.releaseServer(s)
	})
}

// killServer kills a server's process and starts it again at its address and under its ID.
func (h *Harness) killServer() {
	s := h.idleServer()
	if s == nil {
		return
	}
	down := time.Duration(h.runRNG.IntN(1500)) * time.Millisecond
	h.logFault("kill server %s, restart after %v", s.ID, down)
	h.markUnplanned(down)
	_ = s.cmd.Process.Kill()
	go func() {
		<-s.exited
		time.Sleep(down)
		if err := h.startServer(s); err != nil {
			h.recordViolation("starting server %s failed: %v", s.ID, err)
		}
		h.releaseServer(s)
	}()
}

// degradeServerLink disturbs the connections of all VMs to a server.
func (h *Harness) degradeServerLink() {
	s := h.servers[h.runRNG.IntN(len(h.servers))]
	mode, length := h.linkFault()
	h.logFault("connections to server %s in proxy mode %d for %v", s.ID, mode, length)
	h.holdUp(s.ID, length)
	s.proxy.SetMode(mode)
	time.AfterFunc(length, func() { s.proxy.SetMode(PassThrough) })
}
