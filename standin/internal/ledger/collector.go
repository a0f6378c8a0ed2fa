package ledger

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/target"
)

// Collect reads the records of all targets from their admin addresses. A
// missing record would hide executions, so any failure is a TargetFailed error.
func Collect(ctx context.Context, addresses []netip.AddrPort) ([]target.Report, error) {
	reports := make([]target.Report, 0, len(addresses))
	for _, address := range addresses {
		report, err := collect(ctx, address)
		if err != nil {
			return nil, classifier.Wrap(err, classifier.TargetFailed, "record of the target at %s", address)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func collect(ctx context.Context, address netip.AddrPort) (target.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/ran", nil)
	if err != nil {
		return target.Report{}, err
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return target.Report{}, err
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		return target.Report{}, err
	}
	return target.DecodeReport(data)
}
