package allocator

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against processes that find their ports taken by those of another play.
func TestAllocatorsNeverShareAnAddress(t *testing.T) {
	used := map[byte]bool{}
	for range 20 {
		ar := New()
		t.Cleanup(ar.Close)
		must.NoError(t, ar.Err())
		block := ar.Find(1, 1).Addr().As4()[1]
		must.False(t, used[block])
		used[block] = true
	}
}

func TestClosedAllocatorLeavesItsBlock(t *testing.T) {
	for range 2 * lastBlock {
		ar := New()
		must.NoError(t, ar.Err())
		ar.Close()
	}
}
