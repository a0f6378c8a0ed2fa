package surveyor_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/surveyor"
	"coltsfootwick.example/shared/process/classifier"
)

func TestDecodeReturnsEncodedLoad(t *testing.T) {
	ld := surveyor.Load{
		Targets: []surveyor.TargetLoad{{VM: "a-01", Leaving: true, InFlight: 3}},
		Pools:   []surveyor.PoolLoad{{Pool: "claims", UrgentSlots: 2.5}},
	}
	data, err := surveyor.Encode(ld)
	must.NoError(t, err)
	decoded, err := surveyor.Decode(data)
	must.NoError(t, err)
	must.Eq(t, ld, decoded)
}

func TestDecodeRejectsInvalidLoads(t *testing.T) {
	for _, invalid := range []string{"", "{", `{"targets":[{"vm":""}]}`, `{"targets":[{"vm":"a","inFlight":-1}]}`, `{"pools":[{"pool":"p","urgentSlots":-1}]}`} {
		_, err := surveyor.Decode([]byte(invalid))
		must.EqOp(t, classifier.PeerMessageInvalid, classifier.CodeOf(err))
	}
}
