package measurer_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/measurer"
)

// BenchmarkNodeSecond measures the CPU time of an idle node for one second of the
// membership protocol, including encoding and decoding but without QUIC.
func BenchmarkNodeSecond(bm *testing.B) {
	for _, members := range []int{6, 24, 96} {
		bm.Run(fmt.Sprintf("members=%d", members), func(bm *testing.B) {
			rn := measurer.NewRegion(members, 1, lossless, gossiper.DefaultTuning())
			rn.Run(time.Minute)
			for bm.Loop() {
				rn.Run(time.Second)
			}
			bm.ReportMetric(float64(bm.Elapsed().Nanoseconds())/float64(bm.N*members), "ns/nodeSecond")
		})
	}
}
