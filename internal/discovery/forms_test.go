package discovery

import (
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/gossip/gossiptest"
)

// Guards against VMs of two builds that rejected each other's records of backend servers while a fleet was upgraded.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckForms[serverRecord](t, "server")
}

// Guards against records whose fields an earlier build knows by other names.
func TestRecordsHaveTheNamesOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckNames[serverRecord](t, "server")
}
