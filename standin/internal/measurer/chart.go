package measurer

import (
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"coltsfootwick.example/shared/process/classifier"
)

const (
	chartWidth  = 7 * vg.Inch
	chartHeight = 3 * vg.Inch
	groupWidth  = 0.6 * vg.Inch
	// headSpace leaves room above the bars for the legend.
	headSpace = 1.35
)

// drawChart draws the rows of a table that begin with a prefix as groups of
// bars, one bar for each way measured, to an SVG file.
func drawChart(file, prefix string, ta *table) error {
	var rows []string
	for _, row := range ta.rows {
		if strings.HasPrefix(row, prefix) {
			rows = append(rows, row)
		}
	}
	pt := plot.New()
	pt.Title.Text = prefix
	pt.Y.Label.Text = ta.units[rows[0]]
	pt.Y.Min = 0
	pt.Legend.Top = true
	width := groupWidth / vg.Length(len(ta.ways))
	for i, way := range ta.ways {
		bars, err := plotter.NewBarChart(valuesOf(ta, rows, way), width)
		if err != nil {
			return classifier.Wrap(err, classifier.Internal, "draw %s", prefix)
		}
		bars.Color = plotutil.Color(i) //nolint:misspell // The library spells it so.
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(ta.ways)-1)/2)
		pt.Add(bars)
		pt.Legend.Add(way, bars)
	}
	pt.NominalX(labels(rows, prefix)...)
	pt.X.Min = -0.5
	pt.X.Max = float64(len(rows)) - 0.5
	pt.Y.Max *= headSpace
	if err := pt.Save(chartWidth, chartHeight, file); err != nil {
		return classifier.Wrap(err, classifier.Internal, "write %s", file)
	}
	return nil
}

func valuesOf(ta *table, rows []string, way string) plotter.Values {
	var values plotter.Values
	for _, row := range rows {
		values = append(values, ta.cells[row+"."+way].value)
	}
	return values
}

func labels(rows []string, prefix string) []string {
	var names []string
	for _, row := range rows {
		names = append(names, strings.Trim(strings.TrimPrefix(row, prefix), "."))
	}
	return names
}
