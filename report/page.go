package report

import (
	_ "embed" // for the template
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of the template.
type page struct {
	Title      string
	Facts      []fact
	HasMetrics bool
	Incomplete []reasonCount
	Sections   []section
	Ages       []fact // from the metrics
	Events     []fact // from the metrics
}

// fact is a name and a value in a table.
type fact struct {
	Name  string
	Value any
}

// section is a plot with its explanation. The plot is empty if there is nothing to show.
type section struct {
	Title string
	Text  string
	Plot  template.HTML
	draw  func() (*plot.Plot, error)
}

// WritePage writes the report as one HTML page that refers to no other file. It returns a trace.NotFound error if the
// logs tell of no calls.
func (run *Run) WritePage(out io.Writer, title string) error {
	if len(run.calls) == 0 {
		return trace.NotFound("report: the logs have no line %q", msgCallEnded)
	}
	sections := run.sections()
	for idx := range sections {
		sec := &sections[idx]
		plt, err := sec.draw()
		if err == nil && plt != nil {
			sec.Plot, err = render(plt)
		}
		if err != nil {
			return err
		}
	}
	pag := page{
		Title: title, Facts: run.facts(), HasMetrics: run.counts.read, Incomplete: run.incomplete(),
		Sections: sections, Ages: run.counts.ages(), Events: run.counts.eventFacts(),
	}
	if err := pageTemplate.Execute(out, pag); err != nil {
		return fmt.Errorf("report: write page: %w", err)
	}
	return nil
}

func (run *Run) facts() []fact {
	complete := 0
	for idx := range run.calls {
		if run.calls[idx].reason == reasonDone {
			complete++
		}
	}
	return []fact{
		{"first call ended", run.begin.Format(time.RFC3339)},
		{"last call ended", run.end.Format(time.RFC3339)},
		{"processes", len(run.processes)},
		{"calls", len(run.calls)},
		{"with a complete response", complete},
		{"log lines that processes did not write", run.dropped},
		{"log lines that could not be read", run.malformed},
	}
}

func (run *Run) sections() []section {
	return []section{
		{
			Title: "Time to first event",
			Text: "By length of the prompt: quartiles of the streams, measured and as predicted when the call was " +
				"placed. Streams without a prediction are left out.",
			draw: run.firstEventPlot,
		},
		{
			Title: "Refusals",
			Text:  "Calls that no replica ran, by reason.",
			draw:  run.refusalPlot,
		},
		{
			Title: "Load by replica",
			Text:  fmt.Sprintf("Of each call the last attempt counts. At most %d replicas are shown.", maxReplicas),
			draw:  run.loadPlot,
		},
		{
			Title: "Age of the load view",
			Text:  "Of calls that were placed in another cell, whose load is known as a summary.",
			draw:  run.agePlot,
		},
	}
}

// ages returns the number of calls by age of the summary on which they were placed, or nothing if there are none.
func (mts *metrics) ages() []fact {
	var list []fact
	var before uint64
	for _, bound := range slices.Sorted(maps.Keys(mts.ageUpto)) {
		list = append(list, fact{fmt.Sprint(bound), mts.ageUpto[bound] - before})
		before = mts.ageUpto[bound]
	}
	if before == 0 {
		return nil
	}
	return list
}

func (mts *metrics) eventFacts() []fact {
	var list []fact
	for _, kind := range slices.Sorted(maps.Keys(mts.events)) {
		list = append(list, fact{kind, mts.events[kind]})
	}
	return list
}
