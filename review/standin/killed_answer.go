package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// pieceInterval is the pause between the pieces of a booking's answer.
	pieceInterval = 100 * time.Millisecond
	// answerReplicas is the number of booking replicas in a zone.
	answerReplicas = 2
)

func init() { cases["killed-answer"] = killedAnswer }

// killedAnswer checks that an answer which a replica's end cut short doesn't look
// complete. The replicas' answers have neither a length nor chunks.
func killedAnswer(r *run) (bool, error) {
	var replicas []*replicaProcess
	for i, zone := range zones {
		if _, err := r.Start("e-"+zone, platformtest.EngineService, zone, ""); err != nil {
			return false, err
		}
		for j := range answerReplicas {
			p, err := r.startReplica(replicaSettings{
				ID: fmt.Sprintf("d-%s-%d", zone, j+1), Service: platformtest.PlainService, Zone: zone, Address: freeAddress(i*answerReplicas + j),
				Unframed: true, PieceInterval: pieceInterval,
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
	r.load(20, 10*time.Second, func(_ *vm, rng *rand.Rand) platformtest.Call {
		path := platformtest.PathUnsafe + "x"
		if rng.Float64() < 0.3 {
			path = platformtest.PathSafe + "x"
		}
		id := r.nextID()
		return platformtest.Call{Path: path, ID: id, Body: "a booking of " + id, Deadline: requestDeadline}
	})
	return r.checkAnswers(), nil
}

// checkAnswers reports whether an answer ended as complete without its whole body.
func (r *run) checkAnswers() bool {
	complete, short := 0, 0
	for _, res := range r.results {
		if res.answer.Status != 200 || !res.answer.Complete {
			continue
		}
		complete++
		if whole := platformtest.Body(res.id); res.answer.Body != whole {
			short++
			r.note("%s %s ended as complete with %q instead of %q", res.id, res.path, res.answer.Body, whole)
		}
	}
	r.note("%d requests; %d answers with status 200; %d of them without their whole body", len(r.results), complete, short)
	return short > 0
}
