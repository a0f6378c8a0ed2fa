package generator

import (
	"encoding/json"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/ledger"
)

// wireReport is a report as JSON.
type wireReport struct {
	Seed             uint64              `json:"seed"`
	Run              string              `json:"run"`
	Requests         int                 `json:"requests"`
	NotSent          int                 `json:"notSent"`
	Attempts         int                 `json:"attempts"`
	Executions       int                 `json:"executions"`
	Answered         int                 `json:"answered"`
	Refused          map[string]int      `json:"refused"`
	NotRun           int                 `json:"notRun"`
	Unresolved       int                 `json:"unresolved"`
	Unreachable      int                 `json:"unreachable"`
	UnsentAttempts   int                 `json:"unsentAttempts"`
	BrokenAttempts   int                 `json:"brokenAttempts"`
	BrokenReused     int                 `json:"brokenReused"`
	BrokenByEntry    map[string]int      `json:"brokenByEntry"`
	TimedOutAttempts int                 `json:"timedOutAttempts"`
	ExtraExecutions  int                 `json:"extraExecutions"`
	NotRunRepeats    int                 `json:"notRunRepeats"`
	Counts           map[ledger.Kind]int `json:"counts"`
	Violations       []wireViolation     `json:"violations"`
	Statistics       []wireStatistics    `json:"statistics"`
}

type wireViolation struct {
	Kind       ledger.Kind `json:"kind"`
	Identifier string      `json:"identifier"`
	Detail     string      `json:"detail"`
}

type wireStatistics struct {
	Service    string        `json:"service"`
	Long       bool          `json:"long"`
	Requests   int           `json:"requests"`
	Answered   int           `json:"answered"`
	Refused    int           `json:"refused"`
	Latency    wireQuantiles `json:"latency"`
	StartDelay wireQuantiles `json:"startDelay"`
}

type wireQuantiles struct {
	MedianSeconds float64 `json:"medianSeconds"`
	P90Seconds    float64 `json:"p90Seconds"`
	P99Seconds    float64 `json:"p99Seconds"`
	MaxSeconds    float64 `json:"maxSeconds"`
}

// EncodeReport returns the report as JSON.
func EncodeReport(report Report) ([]byte, error) {
	vt := report.Verdict
	wr := wireReport{
		Seed:             report.Seed,
		Run:              report.Run,
		Requests:         vt.Requests,
		NotSent:          report.NotSent,
		Attempts:         vt.Attempts,
		Executions:       vt.Executions,
		Answered:         vt.Answered,
		Refused:          map[string]int{},
		NotRun:           vt.NotRun,
		Unresolved:       vt.Unresolved,
		Unreachable:      vt.Unreachable,
		UnsentAttempts:   vt.UnsentAttempts,
		BrokenAttempts:   vt.BrokenAttempts,
		BrokenReused:     vt.BrokenReused,
		TimedOutAttempts: vt.TimedOutAttempts,
		ExtraExecutions:  vt.ExtraExecutions,
		NotRunRepeats:    vt.NotRunRepeats,
		BrokenByEntry:    map[string]int{},
		Counts:           map[ledger.Kind]int{},
		Violations:       make([]wireViolation, 0, len(vt.Violations)),
	}
	for code, count := range vt.Refused {
		wr.Refused[nameOf(code)] = count
	}
	for entry, count := range vt.BrokenByEntry {
		wr.BrokenByEntry[entry.String()] = count
	}
	for _, kind := range ledger.Kinds() {
		wr.Counts[kind] = vt.Count(kind)
	}
	for _, vn := range vt.Violations {
		wr.Violations = append(wr.Violations, wireViolation(vn))
	}
	for _, ss := range report.Statistics {
		wr.Statistics = append(wr.Statistics, encodeStatistics(ss))
	}
	return json.MarshalIndent(wr, "", "  ")
}

// DecodeReport returns the report that EncodeReport wrote, or an AnswerInvalid error.
func DecodeReport(data []byte) (Report, error) {
	var wr wireReport
	if err := json.Unmarshal(data, &wr); err != nil {
		return Report{}, classifier.Wrap(err, classifier.AnswerInvalid, "decode a load report")
	}
	report := Report{
		Seed:    wr.Seed,
		Run:     wr.Run,
		NotSent: wr.NotSent,
		Verdict: ledger.Verdict{
			Requests:         wr.Requests,
			Attempts:         wr.Attempts,
			Executions:       wr.Executions,
			Answered:         wr.Answered,
			Refused:          map[classifier.Code]int{},
			BrokenByEntry:    map[netip.AddrPort]int{},
			NotRun:           wr.NotRun,
			Unresolved:       wr.Unresolved,
			Unreachable:      wr.Unreachable,
			UnsentAttempts:   wr.UnsentAttempts,
			BrokenAttempts:   wr.BrokenAttempts,
			BrokenReused:     wr.BrokenReused,
			TimedOutAttempts: wr.TimedOutAttempts,
			ExtraExecutions:  wr.ExtraExecutions,
			NotRunRepeats:    wr.NotRunRepeats,
		},
	}
	for entry, count := range wr.BrokenByEntry {
		address, err := netip.ParseAddrPort(entry)
		if err != nil {
			return Report{}, classifier.Wrap(err, classifier.AnswerInvalid, "decode a load report")
		}
		report.Verdict.BrokenByEntry[address] = count
	}
	for _, dn := range classifier.Descriptions() {
		if count := wr.Refused[dn.Name]; count > 0 {
			report.Verdict.Refused[dn.Code] = count
		}
	}
	for _, wv := range wr.Violations {
		report.Verdict.Violations = append(report.Verdict.Violations, ledger.Violation(wv))
	}
	for _, ws := range wr.Statistics {
		report.Statistics = append(report.Statistics, ws.decode())
	}
	return report, nil
}

func nameOf(code classifier.Code) string {
	dn, known := classifier.Describe(code)
	if !known {
		return code.String()
	}
	return dn.Name
}

func encodeStatistics(ss Statistics) wireStatistics {
	return wireStatistics{
		Service:    ss.Service,
		Long:       ss.Long,
		Requests:   ss.Requests,
		Answered:   ss.Answered,
		Refused:    ss.Refused,
		Latency:    encodeQuantiles(ss.Latency),
		StartDelay: encodeQuantiles(ss.StartDelay),
	}
}

func (ws wireStatistics) decode() Statistics {
	return Statistics{
		Service:    ws.Service,
		Long:       ws.Long,
		Requests:   ws.Requests,
		Answered:   ws.Answered,
		Refused:    ws.Refused,
		Latency:    ws.Latency.decode(),
		StartDelay: ws.StartDelay.decode(),
	}
}

func encodeQuantiles(qs Quantiles) wireQuantiles {
	return wireQuantiles{
		MedianSeconds: qs.Median.Seconds(),
		P90Seconds:    qs.P90.Seconds(),
		P99Seconds:    qs.P99.Seconds(),
		MaxSeconds:    qs.Max.Seconds(),
	}
}

func (wq wireQuantiles) decode() Quantiles {
	return Quantiles{
		Median: seconds(wq.MedianSeconds),
		P90:    seconds(wq.P90Seconds),
		P99:    seconds(wq.P99Seconds),
		Max:    seconds(wq.MaxSeconds),
	}
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
