package packer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/packer"
)

func ExampleReader() {
	data := packer.AppendString(nil, "claims")
	data = packer.AppendInt(data, -3)
	data = packer.AppendDuration(data, 1500*time.Millisecond)
	rd := packer.NewReader(data)
	fmt.Println(rd.String(), rd.Int(), rd.Duration(), rd.HasMore(), rd.Err())
	// Output: claims -3 1.5s false <nil>
}

func TestTruncatedDataIsAnError(t *testing.T) {
	data := packer.AppendString(packer.AppendUint(nil, 1000), "a string of some length")
	for length := range len(data) {
		rd := packer.NewReader(data[:length])
		rd.Uint()
		must.Eq(t, "", rd.String())
		must.Error(t, rd.Err())
		must.False(t, rd.HasMore())
		must.Eq(t, 0, rd.Int(), must.Sprint("fields after an error"))
	}
}

func TestLengthsAreBounded(t *testing.T) {
	rd := packer.NewReader(packer.AppendUint(nil, 1<<40))
	must.Eq(t, "", rd.String())
	must.ErrorContains(t, rd.Err(), "longer than")
	rd = packer.NewReader(packer.AppendUint(nil, 1<<10))
	must.Eq(t, 0, rd.Length())
	must.ErrorContains(t, rd.Err(), "list of 1024 elements in 0 bytes")
}
