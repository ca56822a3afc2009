package relay

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/retry"
)

const (
	// retryShare is the part of the requests that may be sent again. It is
	// below the operators' bound, which counts over the whole fleet.
	retryShare = 0.17
	// slackPart is the part of the fleet's slack that is handed out: VMs may
	// disagree for a while on how many they are.
	slackPart = 0.7
)

// budgets holds this VM's retry budget of each service.
type budgets struct {
	slack    float64
	span     time.Duration
	services sync.Map // name to *retry.Window
}

// of returns the budget of a service, with this VM's part of the slack.
func (b *budgets) of(service string, vms int) *retry.Window {
	slack := b.slack * slackPart / float64(max(1, vms))
	v, ok := b.services.Load(service)
	if !ok {
		v, _ = b.services.LoadOrStore(service, retry.NewWindow(b.span, slack))
	}
	window := v.(*retry.Window)
	window.SetSlack(slack)
	return window
}
