package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// A stream has streamEvents events, sent every streamInterval.
	streamEvents   = 24
	streamInterval = 60 * time.Millisecond
	// streamDeadline is how long the clients wait for a stream.
	streamDeadline = 4 * time.Second
	// streamReplicas is the number of model replicas in a zone.
	streamReplicas = 2
)

func init() { cases["killed-stream"] = killedStream }

// killedStream checks that a stream which a replica's end cut short doesn't end as if
// it were complete. The replicas' streams have neither a length nor chunks.
func killedStream(r *run) (bool, error) {
	var replicas []*replicaProcess
	for i, zone := range zones {
		if _, err := r.Start("d-"+zone, platformtest.PlainService, zone, ""); err != nil {
			return false, err
		}
		for j := range streamReplicas {
			p, err := r.startReplica(replicaSettings{
				ID: fmt.Sprintf("e-%s-%d", zone, j+1), Service: platformtest.EngineService, Zone: zone, Address: freeAddress(i*streamReplicas + j),
				Events: streamEvents, EventInterval: streamInterval, Unframed: true,
			})
			if err != nil {
				return false, err
			}
			replicas = append(replicas, p)
		}
	}
	if err := r.startVMs(2); err != nil {
		return false, err
	}
	if r.trouble {
		time.AfterFunc(4*time.Second, func() {
			r.note("replica %s is killed", replicas[0].id)
			_ = replicas[0].cmd.Process.Signal(syscall.SIGKILL)
		})
		// The store removes the entry after three heartbeats.
		time.AfterFunc(4*time.Second+3600*time.Millisecond, func() { r.Store.Remove("servers/" + replicas[0].id) })
	}
	r.load(8, 12*time.Second, func(_ *vm, rng *rand.Rand) platformtest.Call {
		path := platformtest.PathResumableStream + "x"
		if rng.Float64() < 0.5 {
			path = platformtest.PathNonResumableStream + "x"
		}
		id := r.nextID()
		return platformtest.Call{Path: path, ID: id, Body: "a prompt of " + id, Deadline: streamDeadline}
	})
	return r.checkStreams(), nil
}

// checkStreams reports whether a stream ended as complete without its last event.
func (r *run) checkStreams() bool {
	complete, short := 0, 0
	for _, res := range r.results {
		if res.answer.Status != 200 || !res.answer.Complete {
			continue
		}
		complete++
		last := platformtest.Event(res.id, streamEvents)
		if !strings.HasSuffix(res.answer.Body, last) {
			short++
			r.note("%s %s ended as complete after %d of %d events", res.id, res.path, strings.Count(res.answer.Body, "\n\n"), streamEvents)
		}
	}
	r.note("%d requests; %d streams ended as complete; %d of them without their last event", len(r.results), complete, short)
	return short > 0
}
