package elector

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCapacityIsLimitedByTheScarcerOfProcessorAndLink(t *testing.T) {
	must.Eq(t, 400, NewCapacity(0.4, 1000))
	must.Eq(t, 500, NewCapacity(0.8, 10))
	must.Eq(t, 800, NewCapacity(0.8, 0), must.Sprint("unknown link"))
	must.Eq(t, 500, NewCapacity(0, 10), must.Sprint("unknown processor"))
	must.Eq(t, maxCapacity, NewCapacity(0, 0), must.Sprint("nothing known"))
}

func TestRankCountsTheLevelsAbove(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members []Capacity
		want    int
	}{
		{"alone", []Capacity{200}, 0},
		{"equal", []Capacity{200, 210, 240}, 0},
		{"one level", []Capacity{200, 800, 800, 790}, 1},
		{"two levels", []Capacity{200, 400, 800}, 2},
		{"smaller ones don't count", []Capacity{200, 100, 50}, 0},
	} {
		members := map[netip.AddrPort]Capacity{}
		for number, capacity := range tc.members {
			members[netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(number+1))] = capacity
		}
		must.Eq(t, tc.want, Capacity(200).rank(members), must.Sprint(tc.name))
	}
}
