package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// smallLink is the rate of a small VM's link in bytes per second. Each record reaches a
	// VM recordCopies times, and evidence may take evidenceShare of the link.
	smallLink     = 10e6 / 8
	recordCopies  = 4
	evidenceShare = 0.1
	maxEvidence   = smallLink * evidenceShare / recordCopies
)

// Guards against issue 51 (GONE): after the crash of many servers each VM published all that it
// had seen whenever a record of another VM arrived, so that the ends of requests waited behind
// records on the links of small VMs, and servers worked on for callers that had left.
func TestMassCrashDoesNotFillLinksWithEvidence(t *testing.T) {
	for _, size := range []size{
		{vms: 12, servers: 24, rate: 40, maxDelay: 300 * time.Millisecond, seeds: 2},
		{vms: 60, servers: 60, rate: 60, maxDelay: time.Second, seeds: 1},
		{vms: 90, servers: 60, rate: 120, maxDelay: time.Second, seeds: 1},
	} {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d VMs, seed %d", size.vms, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, size.vms, size.servers, size.maxDelay)
					var bySecond []int
					fingerprint := uint64(1 << 20)
					for n := range 80 {
						for range size.rate {
							fingerprint++
							f.sendRequest(f.rng.IntN(len(f.vms)), Traits{Blocks: f.sound(), Fingerprint: fingerprint})
						}
						if n == 20 || n == 45 {
							for _, s := range f.servers[:len(f.servers)/3] {
								f.crash(s)
							}
						}
						f.run()
						if n%10 == 0 {
							bySecond = append(bySecond, 0)
						}
						bySecond[len(bySecond)-1] += f.published
						f.published = 0
					}
					for second, bytes := range bySecond {
						if bytes > maxEvidence {
							t.Errorf("second %d: the fleet published %d bytes of evidence, of at most %.0f", second, bytes, float64(maxEvidence))
						}
					}
					f.expectQuarantined()
				})
			})
		}
	}
}
