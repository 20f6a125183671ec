package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
)

func members(count int) []wire.Member {
	var list []wire.Member
	for i := range count {
		list = append(list, wire.Member{
			Name:             fmt.Sprintf("entry-%03d", i),
			CallerAddress:    fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%6),
			Region:           fmt.Sprintf("region-%d", i%2),
		})
	}
	return list
}

func TestOrderListsNearestLiveMembersFirst(t *testing.T) {
	is := is.New(t)
	list := members(18)
	list[0].State = int(membership.Suspect)
	list[6].State = int(membership.Left)
	location := Location{
		AvailabilityZone: "zone-0",
		Region:           "region-0",
	}
	got := Order(list, "mill", location)
	is.Equal(len(got), MaxAddresses)
	is.Equal(got[0], list[12].CallerAddress) // the only live member in the zone
	for _, address := range got {
		is.True(address != list[0].CallerAddress && address != list[6].CallerAddress)
	}
	is.Equal(Order(list, "mill", location), got) // the order is deterministic, so that every node answers alike
	is.Equal(len(Order(nil, "mill", location)), 0)
}

// BenchmarkOrder measures Order by the number of members.
func BenchmarkOrder(b *testing.B) {
	for _, count := range []int{9, 410} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := members(count)
			location := Location{
				AvailabilityZone: "zone-0",
				Region:           "region-0",
			}
			b.ReportAllocs()
			for b.Loop() {
				Order(list, "mill", location)
			}
		})
	}
}
