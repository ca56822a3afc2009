// Package quota bounds what each team uses at all VMs together.
//
// A team's limit creates units at a rate. Each VM is entitled to an even share of that rate, which
// it delegates to one VM at a time, the owner of the team's shard. The owner collects the units of
// the shares delegated to it in a bucket and grants them to the VMs that have demand. A unit is
// created once, and is lost if a message is lost or late, so the bound holds whatever happens
// to VMs and links. Wallets holds the units of one VM, Ledger the buckets of an owner.
//
// The package opens no sockets and takes the time as a parameter, on the boot-time clock.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
)

// Shards is the number of parts into which the teams are divided, each with an owner.
const Shards = 2

// ShardOf returns the shard of a team.
func ShardOf(team string) int { return int(xxhash.Sum64String(team) % Shards) }

// Bounds state by how much all VMs together may exceed a limit.
type Bounds struct {
	// Window is the span in which usage is compared with the limit.
	Window time.Duration
	// Overage is the share of the limit, and Slack the number of units, by which it may be
	// exceeded in a window.
	Overage, Slack float64
}

// The excess of a window is Overage x (rate x window + burst) + Slack. What may be used beyond
// rate x window + burst are the parts below, 0.915 of it together; the rest is left for
// VMs that restart, each of which begins with half of an even share of the local allowances, and
// for requests that begin to run some time after their admission.
const (
	// localPart is the part for the local allowances of all VMs.
	localPart = 0.3
	// bucketPart is the part that the buckets may hold above the burst.
	bucketPart = 0.15
	// leasePart is the part for grants that were not used yet, which bounds the validity of
	// leases. Those that a region's agent passes on are valid for supplyLease of it more.
	leasePart   = 0.255
	supplyLease = 0.5
	// ratePart is the part by which the rate of all shares exceeds the limit. It makes up for
	// shares of VMs that have failed and for grants that are lost.
	ratePart = 0.08
	// smallExcess is the excess in units below which there are no local allowances: they
	// would be of a few units, or less than one. smallBucketPart then replaces bucketPart.
	smallExcess     = 100
	smallBucketPart = 0.5
	// maxRateFactor bounds the rate of an owner as a multiple of the limit's, and
	// maxShareFactor that of a share.
	maxRateFactor  = 1.05
	maxShareFactor = 1.5
	// maxLease is the validity of a grant from the time at which it was requested. It covers
	// two exchanges between regions.
	maxLease = 500 * time.Millisecond
)

// plan holds what follows from a team's limit, the bounds and the number of VMs.
type plan struct {
	limit ingress.TeamLimit
	// rate is in units per second of all shares together, maxRate of one owner.
	rate, maxRate float64
	// capacity is that of the buckets of all owners together.
	capacity float64
	// local is the local allowance of a VM.
	local float64
	lease time.Duration
	vms   float64
}

// newPlan returns the plan of a limit above zero among vms VMs, of which this VM holds a portion
// of the local allowances.
func newPlan(limit ingress.TeamLimit, b Bounds, vms int, portion float64) plan {
	rate, window := limit.PerSecond, b.Window.Seconds()
	excess := b.Overage*(rate*window+limit.Burst) + b.Slack
	p := plan{limit: limit, vms: float64(max(1, vms))}
	p.rate = rate * min(maxShareFactor, 1+ratePart*excess/(rate*window))
	p.lease = min(maxLease, time.Duration(leasePart*excess/p.rate*float64(time.Second)))
	p.capacity = limit.Burst + bucketPart*excess
	p.local = localPart * excess * portion
	if excess < smallExcess {
		p.makeSmall(excess, b)
	}
	p.maxRate = min(p.rate, rate*maxRateFactor)
	return p
}

// makeSmall replaces the local allowance by a larger bucket: one that holds a unit at least. Units are whole numbers, so that as many fit in a window as its whole
// bound.
func (p *plan) makeSmall(excess float64, b Bounds) {
	window := b.Window.Seconds()
	whole := math.Floor(p.limit.PerSecond*window + p.limit.Burst + excess)
	p.local, p.capacity = 0, max(p.limit.Burst+smallBucketPart*excess, 1)
	p.lease = maxLease
	if whole < 1 {
		p.capacity = 0
		return
	}
	// The buckets, and the grants that were not used yet, hold at most the capacity and the
	// rate times the validity of leases.
	p.rate = max(0, min(p.rate, (whole+0.999-p.capacity)/(window+(1+supplyLease)*p.lease.Seconds())))
}

// share returns the rate of a VM's share in units per second.
func (p *plan) share() float64 { return p.rate / p.vms }

// largest returns the units of the largest request that a VM can ever admit.
func (p *plan) largest() float64 { return p.capacity + p.local }
