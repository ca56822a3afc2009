package relay

import (
	"sync"

	"github.com/chestnutspring/chestnutspring/internal/retry"
)

// slackPart is the part of the fleet's slack that is handed out: VMs may
// disagree for a while on how many they are.
const slackPart = 0.7

// budgets holds this VM's retry budget of each service.
type budgets struct {
	slack    float64
	services sync.Map // name to *retry.Budget
}

// of returns the budget of a service, with this VM's part of the slack.
func (b *budgets) of(service string, vms int) *retry.Budget {
	burst := b.slack * slackPart / float64(max(1, vms))
	v, ok := b.services.Load(service)
	if !ok {
		v, _ = b.services.LoadOrStore(service, retry.NewBudgetOf(burst))
	}
	budget := v.(*retry.Budget)
	budget.SetBurst(burst)
	return budget
}
