package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lone-vm: all VMs but one go dark. Callers whose streams stall there leave after as long a gap as
// the pages say, and take the streams up at the VM that is left. These have to go on as often as
// new streams begin there.

const (
	loneZone = "jeju-a"
	// loneEvents is the number of events of a stream, and loneInterval the time between two.
	loneEvents   = 30
	loneInterval = 100 * time.Millisecond
	// patience is how long callers wait for an event: four times the latency objective.
	patience = 4 * time.Second
	// streamsPerVM is the number of streams at each VM that goes dark, and minTakenUp the number
	// from which the rule counts.
	streamsPerVM = 8
	minTakenUp   = 12
)

func prepareLoneVM(f *fleet) {
	f.configure = func(s *serverSpec) { s.Events, s.IntervalMs = loneEvents, int(loneInterval.Milliseconds()) }
}

func runLoneVM(f *fleet, trouble bool) (broken bool, err error) {
	c := newCallers(f)
	left := f.vmsIn(loneZone)[0]
	type stream struct {
		id     string
		vm     *vm
		begun  time.Time
		events int
	}
	var streams []*stream
	var reading sync.WaitGroup
	leave, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, v := range f.vms {
		if v == left {
			continue
		}
		for n := range streamsPerVM {
			s := &stream{id: fmt.Sprintf("%s-%d", v.Name, n), vm: v, begun: time.Now()}
			streams = append(streams, s)
			reading.Go(func() {
				a := c.stream(leave, v, s.id, "", 0, deadline)
				s.events = strings.Count(a.Body, "\n\n")
			})
		}
	}
	time.Sleep(time.Second)
	var dark []*vm
	for _, v := range f.vms {
		if trouble && v != left {
			f.note("%s goes dark", v.Name)
			dark = append(dark, v)
			_ = v.process.Process.Signal(syscall.SIGSTOP)
		}
	}
	if !trouble {
		cancel() // the callers' connections end, and they come back as late as with the trouble
	}
	time.Sleep(patience + 100*time.Millisecond)
	cancel()
	reading.Wait()
	var taken, wentOn, fresh, begun atomic.Int64
	var last sync.WaitGroup
	for _, s := range streams {
		if s.events == 0 || s.events >= loneEvents {
			continue
		}
		taken.Add(1)
		last.Go(func() {
			a := c.stream(context.Background(), left, s.id+"-again", s.id, s.events, deadline-time.Since(s.begun))
			if a.Status == http.StatusOK && strings.HasPrefix(a.Body, fmt.Sprintf("id: %d\n", s.events+1)) {
				wentOn.Add(1)
			}
		})
		last.Go(func() {
			fresh.Add(1)
			if a := c.stream(context.Background(), left, s.id+"-new", "", 0, deadline); a.Status == http.StatusOK && a.Body != "" {
				begun.Add(1)
			}
		})
	}
	last.Wait()
	for _, v := range dark {
		_ = v.process.Process.Signal(syscall.SIGCONT)
	}
	result := fmt.Sprintf("%d of %d streams taken up at %s went on, %d of %d new streams began there", wentOn.Load(), taken.Load(), left.Name, begun.Load(), fresh.Load())
	fmt.Println(result)
	f.note("%s", result)
	if taken.Load() < minTakenUp {
		return false, fmt.Errorf("only %d streams were taken up", taken.Load())
	}
	return 2*wentOn.Load()*fresh.Load() < begun.Load()*taken.Load(), nil
}

// stream sends a request for a stream or, if it resumes one, for the events after the given number,
// and reads what comes until the context ends.
func (c *callers) stream(ctx context.Context, v *vm, id, resumes string, after int, remaining time.Duration) answer {
	header := http.Header{}
	if resumes != "" {
		header.Set(wire.Resumes, resumes)
		header.Set(wire.LastEvent, strconv.Itoa(after))
	}
	return c.request(ctx, v, "caller", "season-digest", id, firstBlock+":198", remaining, header)
}
