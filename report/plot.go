package report

import (
	"bytes"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// newPlot returns an empty plot with the given labels.
func newPlot(xLabel, yLabel string) *plot.Plot {
	plt := plot.New()
	plt.X.Label.Text, plt.Y.Label.Text = xLabel, yLabel
	plt.Legend.Top = true
	return plt
}

// render returns a plot as an SVG element for a page.
func render(plt *plot.Plot) (template.HTML, error) {
	wrt, err := plt.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("report: draw plot: %w", err)
	}
	var buf bytes.Buffer
	if _, err := wrt.WriteTo(&buf); err != nil {
		return "", fmt.Errorf("report: draw plot: %w", err)
	}
	_, svg, _ := bytes.Cut(buf.Bytes(), []byte("<svg")) // without the XML declaration
	return template.HTML("<svg" + string(svg)), nil     //nolint:gosec // The library escapes the texts in its drawing.
}

// addLines adds a line with the given name for each series, in the order of names.
func addLines(plt *plot.Plot, names []string, series map[string]plotter.XYs) error {
	for idx, name := range names {
		lin, err := plotter.NewLine(series[name])
		if err != nil {
			return fmt.Errorf("report: draw %s: %w", name, err)
		}
		lin.Color = plotutil.Color(idx)
		lin.Dashes = plotutil.Dashes(idx / len(plotutil.DefaultColors))
		plt.Add(lin)
		plt.Legend.Add(name, lin)
	}
	return nil
}
