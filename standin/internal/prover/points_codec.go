package prover

import (
	_ "embed"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

//go:embed proofs.toml
var proofsFile []byte

type wirePoints struct {
	Points []wirePoint `toml:"points"`
}

type wirePoint struct {
	Name    string     `toml:"name"`
	Missing string     `toml:"missing"`
	Tests   []wireTest `toml:"tests"`
}

type wireTest struct {
	Package string `toml:"package"`
	Test    string `toml:"test"`
}

// Points returns all points in the order of proofs.toml.
func Points() ([]Point, error) {
	return loader.Parse("proofs.toml", proofsFile, wirePoints{}, wirePoints.check)
}

func (wp wirePoints) check(rt *loader.Report) []Point {
	points := make([]Point, 0, len(wp.Points))
	for _, one := range wp.Points {
		pt := Point{
			Name:    one.Name,
			Missing: one.Missing,
		}
		for _, wt := range one.Tests {
			if wt.Package == "" || wt.Test == "" {
				rt.Add(classifier.SettingsRange, loader.Key{"points"}, "point %s: a test needs package and test", one.Name)
			}
			pt.Tests = append(pt.Tests, Test{
				Package: wt.Package,
				Name:    wt.Test,
			})
		}
		points = append(points, pt)
	}
	return points
}
