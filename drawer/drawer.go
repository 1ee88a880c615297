// Package drawer saves plots as pictures.
package drawer

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a picture.
const (
	width  = 20 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Save writes a plot to a file. The extension of path selects the format, as in
// out.png.
func Save(p *plot.Plot, path string) error {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	picture, err := p.WriterTo(width, height, format)
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
