package replayer

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
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
	return save(p, path)
}

func save(p *plot.Plot, path string) error {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	picture, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return errors.Errorf("plot %s: %v, allowed are names such as out.png and out.svg", path, err)
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "save plot")
	}
	if _, err := picture.WriteTo(file); err != nil {
		file.Close()
		return errors.Wrap(err, "save plot")
	}
	return errors.Wrap(file.Close(), "save plot")
}

func perSecond(counts []int) plotter.XYs {
	points := make(plotter.XYs, len(counts))
	for i, n := range counts {
		points[i] = plotter.XY{X: float64(i), Y: float64(n)}
	}
	return points
}
