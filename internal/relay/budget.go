package relay

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/retry"
)

const (
	// retryShare is the fraction of requests that may be retried. It is below
	// the operators' limit, which applies to the whole fleet.
	retryShare = 0.17
	// slackFraction is the fraction of the fleet's retry slack that is divided
	// among the VMs. The remainder covers VMs that temporarily disagree on
	// their number, and those that start again.
	slackFraction = 0.7
)

// serviceBudgets holds this VM's retry budget for each service.
type serviceBudgets struct {
	// slack is the number of retries per window that the whole fleet may send
	// beyond the share of requests.
	slack    float64
	window   time.Duration
	services sync.Map // service name to *retry.Window
}

// forService returns the retry budget of a service, with the slack set to the given
// fraction of that of the fleet.
func (b *serviceBudgets) forService(service string, share float64) *retry.Window {
	slack := b.slack * share
	v, ok := b.services.Load(service)
	if !ok {
		v, _ = b.services.LoadOrStore(service, retry.NewWindow(b.window, slack))
	}
	budget := v.(*retry.Window)
	budget.SetSlack(slack)
	return budget
}
