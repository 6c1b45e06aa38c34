package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// ClassReport sums up the requests of one length class.
type ClassReport struct {
	Target    string         `json:"target"`
	Class     string         `json:"length-class"`
	Offered   int            `json:"offered"`
	Done      int            `json:"done"`
	Late      int            `json:"late"`
	Broken    int            `json:"broken"`
	Refused   map[string]int `json:"refused"` // by reason code
	P50       float64        `json:"first-token-p50-ms"`
	P95       float64        `json:"first-token-p95-ms"`
	P99       float64        `json:"first-token-p99-ms"`
	Slowdown  float64        `json:"slowdown-p95"` // against the same class offered alone; 0 if that was not run
	TokenRate float64        `json:"tokens-per-second"`
}

// Summarize reports on samples by length class, shortest first. The samples of a run without the longer classes give
// the slowdown; they may be nil.
func Summarize(target string, samples, alone []Sample, dur time.Duration) []ClassReport {
	var reps []ClassReport
	for _, cls := range cost.Classes() {
		rep := summarizeClass(samples, cls, dur)
		if rep.Offered == 0 {
			continue
		}
		rep.Target = target
		base := summarizeClass(alone, cls, dur)
		if base.P95 > 0 {
			rep.Slowdown = rep.P95 / base.P95
		}
		reps = append(reps, rep)
	}
	return reps
}

func summarizeClass(samples []Sample, cls string, dur time.Duration) ClassReport {
	rep := ClassReport{Class: cls, Refused: make(map[string]int)}
	var first []time.Duration
	tokens := 0
	for _, smp := range samples {
		if smp.Class != cls {
			continue
		}
		rep.Offered++
		switch smp.Outcome {
		case OutcomeDone:
			rep.Done++
			first = append(first, smp.FirstToken)
			tokens += smp.Tokens
		case OutcomeRefused:
			rep.Refused[smp.Reason]++
		case OutcomeLate:
			rep.Late++
		default:
			rep.Broken++
		}
	}
	slices.Sort(first)
	rep.P50 = percentile(first, 0.50)
	rep.P95 = percentile(first, 0.95)
	rep.P99 = percentile(first, 0.99)
	rep.TokenRate = float64(tokens) / dur.Seconds()
	return rep
}

// percentile returns a percentile of sorted durations in milliseconds, by the nearest rank.
func percentile(sorted []time.Duration, part float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	idx := int(part*float64(len(sorted))+0.999999) - 1
	return float64(sorted[max(0, min(idx, len(sorted)-1))]) / float64(time.Millisecond)
}

// WriteTable writes reports for people.
func WriteTable(out io.Writer, reps []ClassReport) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "target\tlength\toffered\tdone\tlate\tbroken\tp50 ms\tp95 ms\tp99 ms\tslowdown\trefused\t")
	for _, rep := range reps {
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%s\t%s\t\n",
			rep.Target, rep.Class, rep.Offered, rep.Done, rep.Late, rep.Broken, rep.P50, rep.P95, rep.P99,
			ratio(rep.Slowdown), reasons(rep.Refused))
	}
	return tab.Flush()
}

func ratio(val float64) string {
	if val == 0 {
		return "-"
	}
	return strconv.FormatFloat(val, 'f', 2, 64)
}

func reasons(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for reason, count := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, count))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// WriteJSON writes reports as a JSON array.
func WriteJSON(out io.Writer, reps []ClassReport) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(reps)
}

// WriteCSV writes reports as CSV with a heading line.
func WriteCSV(out io.Writer, reps []ClassReport) error {
	wri := csv.NewWriter(out)
	_ = wri.Write([]string{
		"target", "length-class", "offered", "done", "late", "broken", "first-token-p50-ms", "first-token-p95-ms",
		"first-token-p99-ms", "slowdown-p95", "tokens-per-second", "refused",
	})
	for _, rep := range reps {
		_ = wri.Write([]string{
			rep.Target, rep.Class, strconv.Itoa(rep.Offered), strconv.Itoa(rep.Done), strconv.Itoa(rep.Late),
			strconv.Itoa(rep.Broken), number(rep.P50), number(rep.P95), number(rep.P99), number(rep.Slowdown),
			number(rep.TokenRate), reasons(rep.Refused),
		})
	}
	wri.Flush()
	return wri.Error()
}

func number(val float64) string { return strconv.FormatFloat(val, 'f', 3, 64) }
