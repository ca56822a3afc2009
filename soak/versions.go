package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// versionFaultShare is the number of releases of a software version and of kills of
	// all VMs for each other fault.
	versionFaultShare = 0.25
	// maxTakeUps is how often a client takes up a stream that broke off, without the
	// attempts that no VM answered, and takeUpPatience how long it tries. CutShare is
	// the share of the requests whose connection the client cuts.
	maxTakeUps     = 4
	takeUpPatience = 4 * time.Second
	cutShare       = 0.3
	// soundTakeUps is the number of streams that are cut and taken up after the faults,
	// of which minSoundShare must go on.
	soundTakeUps  = 24
	minSoundShare = 0.5
)

// injectVersionFault releases a software version to a part of the engines, or kills all
// VMs at once. It draws from a source of its own.
func (h *Harness) injectVersionFault() {
	switch draw := h.versionRNG.Float64(); {
	case draw < 0.5:
		h.release(h.versionRNG.Float64(), maxDrainDelay+time.Second)
	case draw < 0.75:
		// The old version leaves while no VM runs.
		h.killAllVMs()
		h.release(1, 50*time.Millisecond)
	default:
		h.killAllVMs()
	}
}

// release replaces a share of the engines by ones of another version. Those that leave
// drain soon, and their entries are removed after the time. Versions have no order: an
// earlier one may come back.
func (h *Harness) release(share float64, removeAfter time.Duration) {
	version := fmt.Sprint("v", 1+h.versionRNG.IntN(3))
	h.logFault("release of %s to %.0f%% of the engines", version, 100*share)
	h.SetSoftwareVersion(version)
	for _, r := range h.sortedReplicas() {
		if r.Service != platformtest.EngineService || h.versionRNG.Float64() >= share {
			continue
		}
		h.removeReplica(r)
		h.replaceReplica(r)
		time.AfterFunc(min(removeAfter/2, time.Duration(h.versionRNG.IntN(1500))*time.Millisecond), func() { h.Drain(r.ID) })
		time.AfterFunc(removeAfter, func() { h.Remove(r.ID) })
	}
}

// killAllVMs kills all VMs at the same moment and starts them again.
func (h *Harness) killAllVMs() {
	down := time.Duration(100+h.versionRNG.IntN(900)) * time.Millisecond
	h.logFault("kill all VMs, restart after %v", down)
	h.markUnplanned(down)
	for _, p := range h.vms {
		exited := p.signal(syscall.SIGKILL, true)
		go func() {
			<-exited
			time.Sleep(down)
			h.restart(p)
		}()
	}
}

// writeSettings writes the settings file of a VM. FirstStart is true until all VMs run.
func (h *Harness) writeSettings(p *process, firstStart bool) error {
	vm := p.VM
	vm.FirstStart = firstStart
	settings := h.Settings(vm, p.storeProxy.Address, h.seeds, grace)
	if h.Bodies {
		settings = strings.Replace(settings, "memoryMb = 200", fmt.Sprintf("memoryMb = %d\nmaxFds = %d", vmMemoryMb, vmDescriptors), 1)
	}
	if h.Teams {
		settings = teamBounds.AddTo(settings)
	}
	return os.WriteFile(p.settingsPath, []byte(settings), 0o600)
}

// followedStreams are the streams that clients followed.
type followedStreams struct {
	mu      sync.Mutex
	streams []*platformtest.Stream
}

func (f *followedStreams) add(s *platformtest.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = append(f.streams, s)
}

// followStreams begins streams at one VM and takes those that break off up at others,
// until ctx ends. It cuts some of the connections itself, and names at times a request
// that took the stream up instead of the one that began it.
func (h *Harness) followStreams(ctx context.Context, p *process, rng *rand.Rand) {
	client := platformtest.NewClient()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(2*meanThinkTime)))
		stream := &platformtest.Stream{}
		h.followStream(client, p, stream, "", rng)
		last, began := "", time.Now()
		for try := 0; try < maxTakeUps && time.Since(began) < takeUpPatience && !stream.Complete && len(stream.Events) > 0; {
			resumes := stream.BegunBy
			if last != "" && rng.Float64() < 0.2 {
				resumes = last
			}
			var answer platformtest.Answer
			last, answer = h.followStream(client, h.vms[rng.IntN(len(h.vms))], stream, resumes, rng)
			if answer.Status != 0 {
				try++
			}
			if answer.Status != http.StatusOK {
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		}
		h.followed.add(stream)
	}
}

// followStream sends one request for a stream and returns its ID and answer.
func (h *Harness) followStream(client *platformtest.Client, p *process, stream *platformtest.Stream, resumes string, rng *rand.Rand) (string, platformtest.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), platformtest.DefaultTimeout+2*time.Second)
	defer cancel()
	if rng.Float64() < cutShare {
		time.AfterFunc(time.Duration(30+rng.IntN(100))*time.Millisecond, cancel)
	}
	r := request{id: fmt.Sprintf("q-%d", h.lastID.Add(1)), path: platformtest.PathResumableStream, vm: p.Name, sentAt: time.Now(), after: len(stream.Events)}
	r.answer = client.Follow(ctx, p.CallerAddress, r.path+"x", r.id, platformtest.DefaultTimeout, stream, resumes)
	r.endedAt = time.Now()
	h.mu.Lock()
	h.requests = append(h.requests, r)
	h.mu.Unlock()
	return r.id, r.answer
}

// checkVersions checks that no stream has events of two software versions.
func (h *Harness) checkVersions() {
	takenUp := 0
	for _, s := range h.followed.streams {
		if versions := s.SoftwareVersions(); len(versions) > 1 {
			h.recordViolation("the stream begun by %s has events of the software versions %v: %q", s.BegunBy, versions, s.Events)
		}
		if len(s.Events) > 0 && !strings.Contains(s.Events[len(s.Events)-1], s.BegunBy+"/") {
			takenUp++
		}
	}
	h.logFault("%d streams followed, %d went on at another request", len(h.followed.streams), takenUp)
}

// checkSoundTakeUps checks, after the faults, that streams that break off go on at other
// VMs.
func (h *Harness) checkSoundTakeUps() {
	client, sound, wentOn := platformtest.NewClient(), 0, 0
	for n := range 4 * soundTakeUps {
		if sound == soundTakeUps {
			break
		}
		stream := &platformtest.Stream{}
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		first := h.vms[n%len(h.vms)]
		client.Follow(ctx, first.CallerAddress, platformtest.PathResumableStream+"x", h.nextID(first), platformtest.DefaultTimeout, stream, "")
		cancel()
		if stream.Complete || len(stream.Events) == 0 {
			continue
		}
		sound++
		next := h.vms[(n+1)%len(h.vms)]
		client.Follow(context.Background(), next.CallerAddress, platformtest.PathResumableStream+"x", h.nextID(next), platformtest.DefaultTimeout, stream, "")
		if stream.Complete {
			wentOn++
		}
		h.followed.add(stream)
	}
	if float64(wentOn) < minSoundShare*float64(sound) {
		h.recordViolation("after the faults, %d of %d streams that broke off went on", wentOn, sound)
	}
}

// nextID returns the ID of a request to the VM that is sent outside the clients' loops.
func (h *Harness) nextID(p *process) string {
	id := fmt.Sprintf("q-%d", h.lastID.Add(1))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, request{id: id, path: platformtest.PathResumableStream, vm: p.Name, sentAt: time.Now(), endedAt: time.Now()})
	return id
}
