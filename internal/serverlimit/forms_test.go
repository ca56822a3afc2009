package serverlimit

import (
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/gossip/gossiptest"
)

// Guards against VMs of two builds that rejected each other's limits while a fleet was upgraded.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckPinned[limitRecord](t, "limit")
}
