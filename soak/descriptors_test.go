package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// fewDescriptors is the number of descriptors of a process that runs out of them.
	fewDescriptors = 160
	// manyCallers is the number of callers at once with a connection for each request.
	manyCallers = 400
	// requestsAfter is the number of requests once they have left, all of which are served.
	requestsAfter = 20
)

// Guards against a VM that runs out of descriptors: it closes connections before, says so in
// its log, and serves all again once callers leave.
func TestLackOfDescriptorsDoesNotLast(t *testing.T) {
	h := startEndless(t)
	script := filepath.Join(h.Dir, "limited")
	if err := os.WriteFile(script, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s\n", fewDescriptors, h.Binary), 0o700); err != nil {
		t.Fatal(err)
	}
	h.Binary = script
	h.startSmallest(t, "north-a")
	p, client := h.vms[0], platformtest.NewClient()
	if !h.waitFor(recoveryTimeout, func() bool { return h.sendOne(t.Context(), client, p, platformtest.PathUnsafe).Status == http.StatusOK }) {
		t.Fatal("nothing is served")
	}
	ctx, cancel := context.WithTimeout(t.Context(), heldFor/2)
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	for range manyCallers {
		all.Go(func() {
			each := &platformtest.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			for ctx.Err() == nil {
				a := h.sendOne(t.Context(), each, p, platformtest.PathUnsafe)
				mu.Lock()
				if sent++; a.Status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d requests served with %d descriptors", served, sent, fewDescriptors)
	if served == 0 {
		t.Error("no request was served")
	}
	time.Sleep(time.Second) // the last callers have left
	for range requestsAfter {
		if a := h.sendOne(t.Context(), platformtest.NewClient(), p, platformtest.PathUnsafe); a.Status != http.StatusOK {
			t.Errorf("answered with %d: %s %v", a.Status, a.Body, a.Err)
		}
	}
	for _, v := range h.violations {
		t.Error(v)
	}
	log, err := os.ReadFile(p.logFile.Name())
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(log), "connections closed at a limit") {
		t.Error("the log doesn't say that connections are closed at a limit")
	}
	if strings.Contains(string(log), "accepting a connection failed") {
		t.Error("the process ran out of descriptors")
	}
	if strings.Contains(string(log), "backend server unresponsive") {
		t.Error("a server counts as unresponsive")
	}
}
