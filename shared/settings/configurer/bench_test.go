package configurer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/settings/configurer"
)

// BenchmarkParse measures parsing a settings tree with 206 pools, the number
// planned for.
func BenchmarkParse(b *testing.B) {
	const pools = 206
	var text strings.Builder
	text.WriteString("[organisation]\nname = \"Bench\"\n")
	for idx := range pools {
		fmt.Fprintf(&text, "[services.s%d]\npathPrefix = \"/s%d/\"\npool = \"p%d\"\n[pools.p%d]\nminVMs = 1\n", idx, idx, idx, idx)
	}
	source := []byte(text.String())
	_, err := configurer.Parse(source)
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = configurer.Parse(source)
	}
}
