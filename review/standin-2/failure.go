package main

import (
	"fmt"
	"net/http"
	"time"
)

// cut-failure: a server crashes in the middle of a failure response that ends with its
// connection. The response may not look complete to the caller.

const (
	failureZone   = "jeju-a"
	failureServer = "jeju-desk-1"
	// failurePause is the pause in the middle of each response, in which the server is killed.
	failurePause = 500 * time.Millisecond
)

func prepareCutFailure(f *fleet) {
	f.configure = func(s *serverSpec) {
		if s.Service == plainService {
			s.Unframed, s.Refusal, s.PauseMs = true, http.StatusConflict, int(failurePause.Milliseconds())
		}
	}
}

func runCutFailure(f *fleet, trouble bool) (broken bool, err error) {
	c := newCallers(f)
	vms := f.vmsIn(failureZone)
	if a := c.send(vms[0], "caller", "boat-booking", "before", ""); a.Status != http.StatusConflict || !a.Complete || a.Body != plainBody("before") {
		return false, fmt.Errorf("a sound server's response is not passed on: %+v", a.Answer)
	}
	for i, v := range vms {
		for n := range 3 {
			c.all.Go(func() { c.send(v, "caller", "boat-booking", fmt.Sprintf("b%d-%d", i, n), "") })
		}
	}
	time.Sleep(failurePause / 2)
	if trouble {
		f.kill(failureServer)
	}
	c.all.Wait()
	for _, a := range c.answers {
		if a.Complete && a.Status == http.StatusConflict && a.Body != plainBody(a.id) {
			broken = true
			f.note("BROKEN: the answer to %s, status %d with the server's signature %q, ends as complete after %d of %d bytes: %s", a.id, a.Status, a.Signature, len(a.Body), len(plainBody(a.id)), a.Body)
		}
	}
	return broken, nil
}
