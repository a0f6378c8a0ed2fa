package surveyor_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/surveyor"
	"coltsfootwick.example/shared/process/classifier"
)

func TestDecodeReturnsWhatEncodeWrote(t *testing.T) {
	ld := surveyor.Load{
		Targets: []surveyor.TargetLoad{{VM: "a-01", Leaving: true, InFlight: 3}},
		Pools:   []surveyor.PoolLoad{{Pool: "claims", UrgentSlots: 2.5}},
	}
	data, err := surveyor.Encode(ld)
	must.NoError(t, err)
	back, err := surveyor.Decode(data)
	must.NoError(t, err)
	must.Eq(t, ld, back)
}

func TestDecodeRefuses(t *testing.T) {
	for _, bad := range []string{"", "{", `{"targets":[{"vm":""}]}`, `{"targets":[{"vm":"a","inFlight":-1}]}`, `{"pools":[{"pool":"p","urgentSlots":-1}]}`} {
		_, err := surveyor.Decode([]byte(bad))
		must.EqOp(t, classifier.PeerMessageInvalid, classifier.CodeOf(err))
	}
}
