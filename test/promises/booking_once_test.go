package promises

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

const (
	// keysPerFault is the number of bookings in flight when a fault is injected.
	keysPerFault = 16
	// bookingDuration is how long a replica takes to execute a booking.
	bookingDuration = 60 * time.Millisecond
	// attemptTimeout is the deadline of an attempt.
	attemptTimeout = 700 * time.Millisecond
	// restartTimeout bounds the restart of a gateway and the waits for it to serve.
	restartTimeout = 20 * time.Second
)

// fault describes a fault injected while bookings are in flight, and its
// repair.
type fault struct {
	name   string
	inject func(bed *testbed.Bed, owner *testbed.Gateway)
	repair func(t *testing.T, bed *testbed.Bed, owner *testbed.Gateway)
}

// replicaOf returns the name of the booking replica in the owner's region.
func replicaOf(owner *testbed.Gateway) string { return "spot-desk-" + owner.Region + "-1" }

// otherGateway returns a gateway other than the owner, in the owner's region
// or, if sameRegion is false, in another one.
func otherGateway(bed *testbed.Bed, owner *testbed.Gateway, sameRegion bool) *testbed.Gateway {
	for _, region := range bed.Regions() {
		for _, g := range bed.GatewaysOf(region) {
			if g != owner && (g.Region == owner.Region) == sameRegion {
				return g
			}
		}
	}
	panic("the deployment has no other gateway")
}

func restart(t *testing.T, g *testbed.Gateway) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	if err := g.Restart(ctx); err != nil {
		t.Fatal(err)
	}
}

// injectOnce sends bookings to all entries concurrently while the fault is
// injected, repairs it, and sends the same attempts again. The second round
// stands for attempts delayed in the network and for callers' retries.
func (b *bookingRecorder) injectOnce(t *testing.T, owner *testbed.Gateway, f fault) {
	t.Helper()
	keys := b.newKeys(t, owner, keysPerFault)
	wait := time.Duration(b.random.IntN(int(2 * bookingDuration)))
	injected := make(chan struct{})
	time.AfterFunc(wait, func() {
		defer close(injected)
		f.inject(b.bed, owner)
	})
	b.attemptAll(keys, attemptTimeout)
	<-injected
	f.repair(t, b.bed, owner)
	b.attemptAll(keys, attemptTimeout)
	t.Logf("%s: injected at %s after %v", f.name, owner.Name, wait)
}

// injectAll injects the faults one after the other, with a rotating owner, and
// audits the bookings.
func injectAll(t *testing.T, faults []fault) {
	t.Helper()
	bed := startBed(t, func(c *testbed.Config) {
		c.Service = func(_ *objects.BackendServer, s *service.Config) {
			s.Duration = func(string, string) time.Duration { return bookingDuration }
		}
	})
	b := newBookingRecorder(t, bed)
	regions := bed.Regions()
	for i, f := range faults {
		b.injectOnce(t, bed.GatewaysOf(regions[i%len(regions)])[i%2], f)
	}
	b.audit(t)
}

// A booking is executed at most once, and the verdict not-run is correct, while
// gateways are killed and callers try all entries concurrently.
func TestPromiseAtMostOnceWhenGatewaysAreKilled(t *testing.T) {
	restartOwner := func(t *testing.T, _ *testbed.Bed, owner *testbed.Gateway) { restart(t, owner) }
	injectAll(t, []fault{
		{
			name:   "owner killed",
			inject: func(_ *testbed.Bed, owner *testbed.Gateway) { owner.Kill() },
			repair: restartOwner,
		},
		{
			name:   "entry killed",
			inject: func(bed *testbed.Bed, owner *testbed.Gateway) { otherGateway(bed, owner, true).Kill() },
			repair: func(t *testing.T, bed *testbed.Bed, owner *testbed.Gateway) {
				restart(t, otherGateway(bed, owner, true))
			},
		},
		{
			name: "owner paused, then killed",
			inject: func(_ *testbed.Bed, owner *testbed.Gateway) {
				owner.Pause()
				time.Sleep(bookingDuration)
				owner.Kill()
			},
			repair: restartOwner,
		},
	})
}

// A booking is executed at most once, and the verdict not-run is correct, while
// gateways are paused past the deadline or partitioned, and callers try all
// entries concurrently.
func TestPromiseAtMostOnceWhenGatewaysArePaused(t *testing.T) {
	injectAll(t, []fault{
		{
			name:   "owner paused past the deadline",
			inject: func(_ *testbed.Bed, owner *testbed.Gateway) { owner.Pause() },
			repair: func(_ *testing.T, _ *testbed.Bed, owner *testbed.Gateway) { owner.Resume() },
		},
		{
			name:   "entry paused past the deadline",
			inject: func(bed *testbed.Bed, owner *testbed.Gateway) { otherGateway(bed, owner, false).Pause() },
			repair: func(_ *testing.T, bed *testbed.Bed, owner *testbed.Gateway) { otherGateway(bed, owner, false).Resume() },
		},
		{
			name:   "owner's region cut off",
			inject: func(bed *testbed.Bed, owner *testbed.Gateway) { bed.Isolate(owner.Region) },
			repair: func(_ *testing.T, bed *testbed.Bed, owner *testbed.Gateway) { bed.Rejoin(owner.Region) },
		},
	})
}

// A booking is executed at most once, and the verdict not-run is correct, while
// the replica in the owner's region fails in each of its ways and bookings use
// region hops that break.
func TestPromiseAtMostOnceWhenReplicasFail(t *testing.T) {
	replicaFault := func(name string, kind service.Fault) fault {
		return fault{
			name:   name,
			inject: func(bed *testbed.Bed, owner *testbed.Gateway) { bed.Services[replicaOf(owner)].InjectFault(kind, -1) },
			repair: func(_ *testing.T, bed *testbed.Bed, owner *testbed.Gateway) {
				bed.Services[replicaOf(owner)].InjectFault(service.FaultNone, 0)
			},
		}
	}
	reopen := func(t *testing.T, bed *testbed.Bed, owner *testbed.Gateway) {
		t.Helper()
		if err := bed.RestartBackend(replicaOf(owner)); err != nil {
			t.Fatal(err)
		}
	}
	injectAll(t, []fault{
		replicaFault("replica executes and closes the connection", service.FaultRunAndClose),
		replicaFault("replica closes the connection before executing", service.FaultCloseWithoutRun),
		replicaFault("replica refuses", service.FaultRefuse),
		replicaFault("replica executes and returns an error", service.FaultRunAndError),
		{
			name:   "replica stopped",
			inject: func(bed *testbed.Bed, owner *testbed.Gateway) { bed.StopBackend(replicaOf(owner)) },
			repair: reopen,
		},
		{
			name: "replica stopped, and gateways of another region paused",
			inject: func(bed *testbed.Bed, owner *testbed.Gateway) {
				bed.StopBackend(replicaOf(owner))
				time.Sleep(bookingDuration)
				for _, g := range bed.GatewaysOf(otherGateway(bed, owner, false).Region) {
					g.Pause()
				}
			},
			repair: func(t *testing.T, bed *testbed.Bed, owner *testbed.Gateway) {
				for _, g := range bed.GatewaysOf(otherGateway(bed, owner, false).Region) {
					g.Resume()
				}
				reopen(t, bed, owner)
			},
		},
		{
			name: "replica stopped, and the link to the other region cut",
			inject: func(bed *testbed.Bed, owner *testbed.Gateway) {
				bed.StopBackend(replicaOf(owner))
				time.Sleep(bookingDuration)
				bed.Isolate(owner.Region)
			},
			repair: func(t *testing.T, bed *testbed.Bed, owner *testbed.Gateway) {
				bed.Rejoin(owner.Region)
				reopen(t, bed, owner)
			},
		},
	})
}
