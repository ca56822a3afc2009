package peer

import (
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/gossip/gossiptest"
)

// Guards against VMs of two builds that rejected each other's messages while a fleet was upgraded.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckPinned[Hello](t, "hello")
	gossiptest.CheckPinned[Ping](t, "ping")
	gossiptest.CheckPinned[Confirmation](t, "confirmation")
	gossiptest.CheckPinned[Gossip](t, "gossip")
	gossiptest.CheckPinned[ValueRequest](t, "value-request")
	gossiptest.CheckPinned[ValueAnswer](t, "value-answer")
}
