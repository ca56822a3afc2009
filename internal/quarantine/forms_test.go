package quarantine

import (
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/gossip/gossiptest"
)

// Guards against VMs of two builds that rejected each other's evidence and quarantines while a fleet was upgraded.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckPinned[evidenceRecord](t, "evidence")
	gossiptest.CheckPinned[quarantineRecord](t, "quarantine")
}
