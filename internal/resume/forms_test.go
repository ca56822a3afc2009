package resume

import (
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/gossip/gossiptest"
)

// Guards against VMs of two builds that rejected each other's streams and versions while a fleet was upgraded.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckPinned[streamsRecord](t, "streams")
	gossiptest.CheckPinned[versionsRecord](t, "versions")
}
