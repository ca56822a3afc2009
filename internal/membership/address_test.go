package membership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Members of other regions get the listed addresses, members of this region the
// announced ones unless those have the unspecified IP address.
func TestListedAddressesAreUsedForOtherRegions(t *testing.T) {
	is := is.New(t)
	table := NewTable(snapshot.Identity{VM: "jeju-1", Region: "jeju"})
	add := func(vm, region, announced string) {
		table.ApplyListing(vm, Listing{VM: published.VM{Name: vm, Region: region, Role: published.RoleEntry, ForwardAddress: "10.9.9.9:9"}}, 1)
		table.ApplyAnnouncement(vm, Announcement{Incarnation: "1", Region: region, ForwardAddress: announced}, 1)
	}
	add("jeju-2", "jeju", "10.0.0.1:1")
	add("jeju-3", "jeju", "0.0.0.0:1")
	add("busan-1", "busan", "10.0.0.1:1")
	members := table.Members(1)
	is.Equal(members["jeju-2"].ForwardAddress, "10.0.0.1:1")
	is.Equal(members["jeju-3"].ForwardAddress, "10.9.9.9:9")
	is.Equal(members["busan-1"].ForwardAddress, "10.9.9.9:9")
}
