package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// stableWindow is the time after the fifth crash from which at most
	// maxLateRequests requests with the deadly block may reach servers.
	stableWindow    = 6 * time.Second
	maxLateRequests = 3

	deadlyBlock   = 1 << 62
	deadlyRequest = 1 << 63
	step          = 100 * time.Millisecond
	downTime      = 3 * time.Second
)

// fleet simulates VMs that send prompts to servers and exchange records. It runs in
// a synctest bubble.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     clock.Clock
	vms     []*Tracker
	servers []*simulatedServer
	mail    []message
	// underWay holds the index in mail of the message with a record to a VM.
	underWay map[mailKey]int
	// maxDelay bounds the time that a record takes to another VM.
	maxDelay time.Duration

	crashes []clock.Instant
	late    int
	// published is the number of bytes of evidence that the VMs published.
	published int
	// lost are the requests that were lost to crashes.
	lost []*simulatedRequest
}

// simulatedServer is a server at one address. Each start has another ID.
type simulatedServer struct {
	roster.Server
	starts  int
	running bool
	backAt  clock.Instant
	// requests are the requests in flight, by start.
	requests []*simulatedRequest
}

type simulatedRequest struct {
	vm                      int
	traits                  Traits
	sentAt, beginsAt, endAt clock.Instant
	survived                bool
}

// mailKey names a record under way to a VM.
type mailKey struct {
	to  int
	key gossip.Key
}

// message is a record under way to a VM.
type message struct {
	to int
	at clock.Instant
	r  gossip.Record
}

func newFleet(t *testing.T, seed uint64, vms, servers int, maxDelay time.Duration) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Synthetic(), maxDelay: maxDelay, underWay: map[mailKey]int{}}
	for i := range servers {
		s := &simulatedServer{running: true}
		s.Address = fmt.Sprint("address-", i)
		f.servers = append(f.servers, s)
		f.start(s)
	}
	for i := range vms {
		f.vms = append(f.vms, f.newVM(i))
	}
	return f
}

// newVM returns the tracker of VM i.
func (f *fleet) newVM(i int) *Tracker {
	version := uint64(f.now()) // above those of an earlier start
	return New(Config{
		VM: fmt.Sprint("vm-", i), Now: f.now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		Running: func(_ context.Context, server *roster.Server) bool {
			for _, s := range f.servers {
				if s.Address == server.Address {
					return s.running && s.ID == server.ID
				}
			}
			return false
		},
		Servers:   func() int { return len(f.servers) },
		ServersOf: func(string) int { return len(f.servers) },
		PublishOwn: func(kind gossip.Kind, part string, value []byte) {
			version++
			f.published += len(value)
			f.send(i, gossip.Record{Key: gossip.Key{Kind: kind, Name: fmt.Sprint("vm-", i, "/", part)}, Version: version, Value: value})
		},
		Publish: func(r gossip.Record) { f.send(i, r) },
	})
}

func (f *fleet) send(from int, r gossip.Record) {
	for to := range f.vms {
		if to == from {
			continue
		}
		// VMs pass on the newest version of a record only.
		k := mailKey{to, r.Key}
		if i, ok := f.underWay[k]; ok {
			f.mail[i].r = r
			continue
		}
		f.underWay[k] = len(f.mail)
		f.mail = append(f.mail, message{to: to, at: f.now().Add(time.Duration(f.rng.Int64N(int64(f.maxDelay)))), r: r})
	}
}

func (f *fleet) start(s *simulatedServer) {
	s.starts++
	s.Entry.ID, s.running, s.requests = fmt.Sprintf("%s/%d", s.Address, s.starts), true, nil
}

// crash ends a server's process. Its requests break at their VMs.
func (f *fleet) crash(s *simulatedServer) {
	if !s.running {
		return
	}
	now := f.now()
	s.running, s.backAt = false, now.Add(downTime)
	server := s.Server
	for _, q := range s.requests {
		if !q.survived {
			f.vms[q.vm].RecordBreak(&server, q.traits)
			f.lost = append(f.lost, q)
		}
	}
}

// request sends a request with the blocks.
func (f *fleet) request(vm int, blocks []uint64) (sent bool) {
	return f.sendRequest(vm, Traits{Blocks: blocks})
}

// sendRequest sends a request to a random server through a VM, which refuses it if a
// trait is quarantined.
func (f *fleet) sendRequest(vm int, traits Traits) (sent bool) {
	now := f.now()
	if _, _, found := f.vms[vm].Find(traits, now); found {
		return false
	}
	s := f.servers[f.rng.IntN(len(f.servers))]
	if s.running {
		if traits.Fingerprint == deadlyRequest && len(f.crashes) >= 3 && now.Sub(f.crashes[2]) > stableWindow {
			f.late++
		}
		begins := now.Add(time.Duration(100+f.rng.IntN(600)) * time.Millisecond)
		s.requests = append(s.requests, &simulatedRequest{
			vm: vm, traits: traits, sentAt: now, beginsAt: begins, endAt: begins.Add(time.Duration(300+f.rng.IntN(2500)) * time.Millisecond),
		})
	}
	return true
}

// run advances the servers, records and trackers by one step.
func (f *fleet) run() {
	time.Sleep(step)
	synctest.Wait()
	now := f.now()
	for _, s := range f.servers {
		f.runServer(s, now)
	}
	synctest.Wait()
	var later []message
	for _, m := range f.mail {
		if m.at > now {
			later = append(later, m)
		} else {
			f.vms[m.to].ApplyRecord(m.r)
		}
	}
	f.mail = later
	clear(f.underWay)
	for i, m := range later {
		f.underWay[mailKey{m.to, m.r.Key}] = i
	}
	for _, v := range f.vms {
		v.Tick(now)
	}
}

func (f *fleet) runServer(s *simulatedServer, now clock.Instant) {
	if !s.running {
		if now >= s.backAt {
			f.start(s)
		}
		return
	}
	var running []*simulatedRequest
	for _, q := range s.requests {
		blocks := q.traits.Blocks
		isDeadly := len(blocks) > 0 && blocks[len(blocks)-1] == deadlyBlock
		if now >= q.beginsAt && (isDeadly || q.traits.Fingerprint == deadlyRequest) {
			f.crashes = append(f.crashes, now)
			if isDeadly && len(f.crashes) > 5 && now.Sub(f.crashes[4]) > stableWindow {
				f.late++
			}
			f.crash(s)
			return
		}
		if !q.survived && (now >= q.endAt || now.Sub(q.beginsAt) >= SurvivalTime) {
			q.survived = true
			f.vms[q.vm].RecordSurvival("", q.traits, q.sentAt, q.beginsAt)
		}
		if now < q.endAt {
			running = append(running, q)
		}
	}
	s.requests = running
}

// sound returns the blocks of a sound request: one of a few system prompts and one of
// many documents of different popularity.
func (f *fleet) sound() []uint64 {
	document := uint64(100 + 60*f.rng.Float64()*f.rng.Float64()*f.rng.Float64())
	return []uint64{1 + f.rng.Uint64N(3), document}
}

// expectQuarantined checks that just the given blocks are quarantined on all VMs.
func (f *fleet) expectQuarantined(blocks ...uint64) {
	f.t.Helper()
	for i, v := range f.vms {
		states := v.States(f.now())
		if len(states) != len(blocks) {
			f.t.Errorf("vm-%d quarantines %v, want %x", i, states, blocks)
			continue
		}
		for k, b := range blocks {
			if states[k].Block != traitName(b) {
				f.t.Errorf("vm-%d quarantines %v, want %x", i, states, blocks)
			}
		}
	}
}

// size is a simulated fleet: VMs, servers, requests per step, the longest time that a
// record takes, steps and seeds.
type size struct {
	vms, servers, rate int
	maxDelay           time.Duration
	steps              int
	seeds              uint64
}

var smallFleet = size{vms: 6, servers: 12, rate: 10, maxDelay: 200 * time.Millisecond, steps: 200, seeds: 8}

// Guards against requests of one kind that crash servers one after the other, in
// fleets of up to 300 VMs before 200 servers: only the deadly block is quarantined, on
// all VMs and in time.
func TestDeadlyBlockIsFoundInTimeAndNoOther(t *testing.T) {
	for _, size := range []size{smallFleet, {vms: 300, servers: 200, rate: 60, maxDelay: 2 * time.Second, steps: 110, seeds: 1}} {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d VMs, seed %d", size.vms, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, size.vms, size.servers, size.maxDelay)
					for n := range size.steps {
						for k := range size.rate {
							blocks := f.sound()
							if n > 20 && k == 0 && f.rng.IntN(3) == 0 {
								blocks = append(blocks, deadlyBlock)
							}
							f.request(f.rng.IntN(len(f.vms)), blocks)
						}
						f.run()
					}
					if len(f.crashes) < 5 || f.late > maxLateRequests {
						t.Errorf("%d crashes, %d later than %v after the fifth", len(f.crashes), f.late, stableWindow)
					}
					f.expectQuarantined(deadlyBlock)
				})
			})
		}
	}
}

// Servers that crash for other reasons, one after the other and many at once, must
// not make sound requests refused.
func TestCrashesOfOtherCauseQuarantineNothing(t *testing.T) {
	for _, size := range []size{smallFleet, {vms: 60, servers: 60, rate: 30, maxDelay: 2 * time.Second, steps: 120, seeds: 1}} {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d VMs, seed %d", size.vms, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, size.vms, size.servers, size.maxDelay)
					for n := range size.steps {
						for range size.rate {
							if !f.request(f.rng.IntN(len(f.vms)), f.sound()) {
								t.Fatalf("a sound request is refused after %v", time.Duration(n)*step)
							}
						}
						if n%8 == 0 {
							f.crash(f.servers[f.rng.IntN(len(f.servers))])
						}
						if n%70 == 69 {
							for _, s := range f.servers[:len(f.servers)/3] {
								f.crash(s)
							}
						}
						f.run()
					}
					f.expectQuarantined()
				})
			})
		}
	}
}
