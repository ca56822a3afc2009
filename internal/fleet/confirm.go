package fleet

import (
	"context"

	"github.com/chestnutspring/chestnutspring/internal/configwatch"
	"github.com/chestnutspring/chestnutspring/internal/peer"
)

var (
	_ configwatch.Peers     = (*Fleet)(nil)
	_ configwatch.Confirmer = (*Fleet)(nil)
	_ peer.Confirmer        = handler{}
)

// ConfirmationSource is a ConfigSource that reports how fresh its configuration
// is.
type ConfirmationSource interface {
	Confirmation() configwatch.Confirmation
}

// Confirmation implements peer.Confirmer.
func (h handler) Confirmation() peer.Confirmation {
	src := h.f.configSource.Load()
	if src == nil {
		return peer.Confirmation{}
	}
	source, ok := (*src).(ConfirmationSource)
	if !ok {
		return peer.Confirmation{}
	}
	return peer.Confirmation(source.Confirmation())
}

// Confirmation asks a member how fresh its configuration in force is.
func (f *Fleet) Confirmation(ctx context.Context, vm string) (configwatch.Confirmation, error) {
	client, err := f.callClients.get(ctx, vm)
	if err != nil {
		return configwatch.Confirmation{}, err
	}
	confirmation, err := client.Confirmation(ctx, f.revision())
	if err != nil {
		f.callClients.discard(vm, client)
	}
	return configwatch.Confirmation(confirmation), err
}
