package measurer_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/measurer"
)

// BenchmarkNodeSecond measures the processor time that a node at rest takes for
// a second of membership, with encoding and decoding but without QUIC.
func BenchmarkNodeSecond(bm *testing.B) {
	for _, members := range []int{6, 24, 96} {
		bm.Run(fmt.Sprintf("members=%d", members), func(bm *testing.B) {
			ft := measurer.NewRegion(members, 1, calm, gossiper.DefaultTuning())
			ft.Run(time.Minute)
			for bm.Loop() {
				ft.Run(time.Second)
			}
			bm.ReportMetric(float64(bm.Elapsed().Nanoseconds())/float64(bm.N*members), "ns/nodeSecond")
		})
	}
}
