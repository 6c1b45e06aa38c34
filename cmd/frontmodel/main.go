// Command frontmodel simulates many fronts with late views of one fleet, and prints how the error of predictions, the
// missed targets and the refusals depend on the number of fronts and the age of the view.
//
// It is a program of its own, so that the libraries for plots are no part of the program that runs on small machines.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/tarragonwheel/tarragonwheel/model"
)

type arguments struct {
	Fronts []int           `arg:"--fronts" help:"numbers of fronts [default: 1 5 20 100]"`
	Delays []time.Duration `arg:"--delays" help:"ages of the view [default: 10ms 25ms 100ms 300ms]"`
	Seeds  uint64          `arg:"--seeds" default:"3" help:"runs of each combination"`
	Plot   string          `arg:"--plot" help:"file for a plot of the error (SVG or PNG); empty for none"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Simulates many fronts with late views of one fleet, without a network."
}

func main() {
	args := arguments{}
	arg.MustParse(&args)
	if len(args.Fronts) == 0 {
		args.Fronts = []int{1, 5, 20, 100}
	}
	if len(args.Delays) == 0 {
		args.Delays = []time.Duration{
			10 * time.Millisecond, 25 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
		}
	}
	if err := run(&args); err != nil {
		fmt.Fprintln(os.Stderr, "frontmodel:", err)
		os.Exit(1)
	}
}

// run simulates all combinations, prints a table and draws the plot.
func run(args *arguments) error {
	plt := plot.New()
	plt.Title.Text = "Short calls: prediction error of the first event"
	plt.Legend.Top, plt.Legend.Left = true, true
	plt.X.Label.Text, plt.Y.Label.Text = "fronts", "95th percentile in s"
	var lines []any
	fmt.Println("delay     fronts  short calls: refused  missed  error p50  error p95 " +
		"  long calls: refused  missed  first event")
	for _, delay := range args.Delays {
		var points plotter.XYs
		for _, num := range args.Fronts {
			short, long := simulate(args.Seeds, num, delay)
			fmt.Printf("%-9s %6d %21.3f %7.3f %10s %10s %21.3f %7.3f %12s\n", delay, num, short.RefusedShare,
				short.MissedShare, round(short.ErrorP50), round(short.ErrorP95), long.RefusedShare, long.MissedShare,
				round(long.FirstEvent))
			points = append(points, plotter.XY{X: float64(num), Y: short.ErrorP95.Seconds()})
		}
		lines = append(lines, delay.String(), points)
	}
	if args.Plot == "" {
		return nil
	}
	if err := plotutil.AddLinePoints(plt, lines...); err != nil {
		return fmt.Errorf("draw the plot: %w", err)
	}
	if err := plt.Save(16*vg.Centimeter, 10*vg.Centimeter, args.Plot); err != nil {
		return fmt.Errorf("save the plot: %w", err)
	}
	return nil
}

// simulate returns the outcomes of all seeds together.
func simulate(seeds uint64, fronts int, delay time.Duration) (short, long model.Summary) {
	var all model.Result
	for seed := range seeds {
		opts := model.DefaultOptions()
		opts.Seed, opts.Fronts, opts.ViewDelay = seed, fronts, delay
		res := model.Run(opts)
		all.Merge(&res)
	}
	return all.Short(), all.Long()
}

func round(dur time.Duration) time.Duration { return dur.Round(time.Millisecond) }
