package accounter

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/figtrack/figtrack/drawer"
)

// WritePlot writes a plot of the requests by second and cause. The extension of
// path selects the format, as in out.svg.
func WritePlot(path string, requests []Request) error {
	if len(requests) == 0 {
		return errors.New("plot: the logs have no request")
	}
	first := requests[0].ArrivedAt
	seconds := requests[len(requests)-1].second(first) + 1
	p := plot.New()
	p.Title.Text = "requests by what became of them"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true
	var lines []any
	for _, c := range Causes {
		points := make(plotter.XYs, seconds)
		total := 0
		for i := range points {
			points[i].X = float64(i)
		}
		for _, r := range requests {
			if r.Cause == c {
				points[r.second(first)].Y++
				total++
			}
		}
		if total > 0 {
			lines = append(lines, string(c), points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return drawer.Save(p, path)
}
