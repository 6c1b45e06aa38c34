package report

import (
	"fmt"
	"math/bits"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	boxWidth = 0.25 * vg.Centimeter
	// minPlotted is the shortest time, in seconds, on a logarithmic axis.
	minPlotted = 0.001
)

// lengthClass is the streams whose prompts have at least 2^(class-1) and less than 2^class tokens.
type lengthClass struct {
	measured, predicted plotter.Values // time to first event, in seconds
}

// lengthClasses returns the streams by class, from the shortest prompts to the longest.
func (run *Run) lengthClasses() (classes map[int]*lengthClass, low, high int) {
	classes = make(map[int]*lengthClass)
	for idx := range run.calls {
		cal := &run.calls[idx]
		if !cal.streamed() {
			continue
		}
		num := bits.Len(uint(cal.promptTokens)) //nolint:gosec // It is positive.
		if classes[num] == nil {
			classes[num] = &lengthClass{}
		}
		classes[num].measured = append(classes[num].measured, max(minPlotted, cal.firstEvent.Seconds()))
		classes[num].predicted = append(classes[num].predicted, max(minPlotted, cal.predicted.Seconds()))
		if low == 0 || num < low {
			low = num
		}
		high = max(high, num)
	}
	return classes, low, high
}

// firstEventPlot shows the time to first event by length of the prompt beside its prediction. It returns nil without
// predicted streams.
func (run *Run) firstEventPlot() (*plot.Plot, error) {
	classes, low, high := run.lengthClasses()
	if len(classes) == 0 {
		return nil, nil
	}
	plt := newPlot("prompt tokens, at least", "time to first event in s")
	plt.Y.Scale, plt.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var names []string
	for num := low; num <= high; num++ {
		names = append(names, fmt.Sprint(1<<(num-1)))
		if cls := classes[num]; cls != nil {
			if err := addBoxes(plt, float64(num-low), cls); err != nil {
				return nil, err
			}
		}
	}
	plt.NominalX(names...)
	addBoxLegend(plt)
	return plt, nil
}

// addBoxes adds the boxes of a class side by side.
func addBoxes(plt *plot.Plot, location float64, cls *lengthClass) error {
	for idx, values := range []plotter.Values{cls.measured, cls.predicted} { // in the order of boxNames
		box, err := plotter.NewBoxPlot(boxWidth, location, values)
		if err != nil {
			return fmt.Errorf("report: draw first events: %w", err)
		}
		box.Offset = vg.Length(2*idx-1) * boxWidth * 0.6
		box.FillColor = plotutil.Color(idx)
		plt.Add(box)
	}
	return nil
}

// boxNames are the names of the boxes of a class, from left to right.
var boxNames = []string{"measured", "predicted"}

// addBoxLegend adds the colours of the boxes to the legend.
func addBoxLegend(plt *plot.Plot) {
	for idx, name := range boxNames {
		plt.Legend.Add(name, &plotter.BarChart{Color: plotutil.Color(idx)})
	}
	plt.Legend.Left = true
}
