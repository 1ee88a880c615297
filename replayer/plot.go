package replayer

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/figtrack/figtrack/drawer"
)

// WritePlot writes a plot of the arrivals and of the goodput of each result
// over time. The extension of path selects the format, as in out.png.
func WritePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = results[0].Site + ", " + results[0].Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	lines := []any{"arrivals", perSecond(results[0].Arrivals)}
	for _, r := range results {
		lines = append(lines, r.Policy, perSecond(r.Good))
	}
	seconds := float64(len(results[0].Arrivals))
	capacity := plotter.XYs{{X: 0, Y: results[0].Capacity}, {X: seconds, Y: results[0].Capacity}}
	lines = append(lines, "capacity", capacity)
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	p.Legend.Top = true
	return drawer.Save(p, path)
}

func perSecond(counts []int) plotter.XYs {
	points := make(plotter.XYs, len(counts))
	for i, n := range counts {
		points[i] = plotter.XY{X: float64(i), Y: float64(n)}
	}
	return points
}
