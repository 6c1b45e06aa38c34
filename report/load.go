package report

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	barWidth     = 0.35 * vg.Centimeter
	maxAgePoints = 2000
)

// loadPlot shows the mean number of calls in flight by replica, for those with the most. It returns nil without calls
// at replicas.
func (run *Run) loadPlot() (*plot.Plot, error) {
	loads := run.replicaLoads()
	if len(loads) == 0 {
		return nil, nil
	}
	loads = loads[:min(len(loads), maxReplicas)]
	var values plotter.Values
	var names []string
	for _, rpl := range loads {
		values = append(values, rpl.inFlight)
		names = append(names, rpl.name)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, fmt.Errorf("report: draw load: %w", err)
	}
	bars.Color = plotutil.Color(0)
	plt := newPlot("", "mean calls in flight")
	plt.Add(bars)
	plt.NominalX(names...)
	plt.X.Tick.Label.Rotation = math.Pi / 2
	plt.X.Tick.Label.XAlign, plt.X.Tick.Label.YAlign = draw.XRight, draw.YCenter
	return plt, nil
}

// agePlot shows over time the age of the summaries on which calls were placed in other cells. Of many points it shows
// each n-th. It returns nil if no call was placed by a summary.
func (run *Run) agePlot() (*plot.Plot, error) {
	var points plotter.XYs
	for idx := range run.calls {
		if cal := &run.calls[idx]; cal.summaryAge > 0 {
			points = append(points, plotter.XY{X: run.seconds(cal), Y: cal.summaryAge.Seconds()})
		}
	}
	if len(points) == 0 {
		return nil, nil
	}
	step := (len(points) + maxAgePoints - 1) / maxAgePoints
	var shown plotter.XYs
	for idx := 0; idx < len(points); idx += step {
		shown = append(shown, points[idx])
	}
	sct, err := plotter.NewScatter(shown)
	if err != nil {
		return nil, fmt.Errorf("report: draw ages: %w", err)
	}
	sct.Color, sct.Radius = plotutil.Color(0), vg.Points(1.5)
	plt := newPlot("time in s", "age of the load view in s")
	plt.Add(sct)
	return plt, nil
}
