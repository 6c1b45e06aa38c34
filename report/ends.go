package report

import (
	"cmp"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

const (
	maxTimeBins = 60
	maxReasons  = 8 // lines in a plot; the rarest reasons are left out
	maxReplicas = 40
)

// reasonCount is the number of calls that ended for a reason.
type reasonCount struct {
	Reason  string
	Calls   int
	Metrics float64 // according to the metrics
}

// countReasons returns how many calls ended for each reason, the most frequent first. Only calls that are chosen count.
func (run *Run) countReasons(chosen func(cal *call) bool) []reasonCount {
	counts := make(map[string]int)
	for idx := range run.calls {
		if chosen(&run.calls[idx]) {
			counts[run.calls[idx].reason]++
		}
	}
	list := make([]reasonCount, 0, len(counts))
	for reason, num := range counts {
		list = append(list, reasonCount{Reason: reason, Calls: num, Metrics: run.counts.requests[reason]})
	}
	slices.SortFunc(list, func(one, two reasonCount) int {
		return cmp.Or(cmp.Compare(two.Calls, one.Calls), cmp.Compare(one.Reason, two.Reason))
	})
	return list
}

// incomplete returns the counts of calls that ended without a complete response.
func (run *Run) incomplete() []reasonCount {
	return run.countReasons(func(cal *call) bool { return cal.reason != reasonDone })
}

// refusalPlot shows the refusals by reason over time. It returns nil without refusals.
func (run *Run) refusalPlot() (*plot.Plot, error) {
	counts := run.countReasons((*call).refused)
	if len(counts) == 0 {
		return nil, nil
	}
	counts = counts[:min(len(counts), maxReasons)]
	period := run.end.Sub(run.begin).Seconds()
	width := max(1, period/maxTimeBins)
	series := make(map[string]plotter.XYs)
	var names []string
	for _, cnt := range counts {
		names = append(names, cnt.Reason)
		series[cnt.Reason] = make(plotter.XYs, int(period/width)+1)
		for bin := range series[cnt.Reason] {
			series[cnt.Reason][bin].X = float64(bin) * width
		}
	}
	for idx := range run.calls {
		if cal := &run.calls[idx]; cal.refused() && series[cal.reason] != nil {
			series[cal.reason][int(run.seconds(cal)/width)].Y += 1 / width
		}
	}
	plt := newPlot("time in s", "refusals a second")
	return plt, addLines(plt, names, series)
}

// replicaLoad is the load of one replica by the calls whose last attempt it got.
type replicaLoad struct {
	name     string
	inFlight float64 // mean number of calls in flight
}

// replicaLoads returns the load of the replicas, the highest first.
func (run *Run) replicaLoads() []replicaLoad {
	busy := make(map[string]float64) // seconds
	for idx := range run.calls {
		if cal := &run.calls[idx]; cal.replica != "" {
			busy[cal.replica] += cal.took.Seconds()
		}
	}
	period := max(1, run.end.Sub(run.begin).Seconds())
	list := make([]replicaLoad, 0, len(busy))
	for _, name := range slices.Sorted(maps.Keys(busy)) {
		list = append(list, replicaLoad{name: name, inFlight: busy[name] / period})
	}
	slices.SortStableFunc(list, func(one, two replicaLoad) int { return cmp.Compare(two.inFlight, one.inFlight) })
	return list
}
