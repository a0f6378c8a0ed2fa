package generator_test

import (
	"bytes"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/ledger"
)

var update = flag.Bool("update", false, "write the golden files")

func sampleReport() generator.Report {
	quantiles := generator.Quantiles{
		Median: 20 * time.Millisecond,
		P90:    40 * time.Millisecond,
		P99:    80 * time.Millisecond,
		Max:    100 * time.Millisecond,
	}
	return generator.Report{
		Seed:    3,
		Run:     "run",
		NotSent: 1,
		Verdict: ledger.Verdict{
			Violations: []ledger.Violation{{Kind: ledger.Doubled, Identifier: "run-a-claims-000007", Detail: "2 executions"}},
			Requests:   100,
			Attempts:   104,
			Executions: 99,
			Answered:   97,
			Refused:    map[classifier.Code]int{classifier.QueueFull: 3},

			BrokenAttempts: 2,
			BrokenByEntry:  map[netip.AddrPort]int{netip.MustParseAddrPort("127.0.1.1:8080"): 2},
		},
		Statistics: []generator.Statistics{{
			Service:    "claims",
			Requests:   100,
			Answered:   97,
			Refused:    3,
			Latency:    quantiles,
			StartDelay: quantiles,
		}},
	}
}

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		must.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, string(want), string(got))
}

func TestReportGolden(t *testing.T) {
	var table bytes.Buffer
	must.NoError(t, generator.WriteTable(&table, sampleReport()))
	checkGolden(t, "report.golden.txt", table.Bytes())
	data, err := generator.EncodeReport(sampleReport())
	must.NoError(t, err)
	checkGolden(t, "report.golden.json", data)
	decoded, err := generator.DecodeReport(data)
	must.NoError(t, err)
	must.Eq(t, sampleReport(), decoded)
}

func TestReadFile(t *testing.T) {
	file, err := generator.ReadFile("testdata/load.toml")
	must.NoError(t, err)
	must.Len(t, 2, file.Targets)
	cg := file.Config
	must.Eq(t, 20*time.Second, cg.Length)
	must.Eq(t, "127.0.1.2:8081", cg.Zones[0].Entries[1].Check.String())
	must.Eq(t, 0, cg.Services[0].Urgency)
	must.Eq(t, 6, cg.Services[0].LongUrgency)
	_, err = generator.ReadFile("testdata/unknown.toml")
	must.ErrorContains(t, err, "unknown key lengh; the nearest known key is length")
	must.ErrorContains(t, err, "at least one zone")
}
