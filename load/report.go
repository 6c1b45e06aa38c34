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

// ClassReport summarizes the requests of one length class.
type ClassReport struct {
	Target     string         `json:"target"`
	Class      string         `json:"length-class"`
	Offered    int            `json:"offered"`
	Done       int            `json:"done"`
	TimedOut   int            `json:"late"`
	Incomplete int            `json:"broken"`
	Refused    map[string]int `json:"refused"` // by reason code
	P50        float64        `json:"first-token-p50-ms"`
	P95        float64        `json:"first-token-p95-ms"`
	P99        float64        `json:"first-token-p99-ms"`
	Slowdown   float64        `json:"slowdown-p95"` // P95 relative to a run without longer classes; 0 if none ran
	TokenRate  float64        `json:"tokens-per-second"`
}

// Summarize reports on samples by length class, shortest first. The baseline, samples of a run without the longer
// classes, gives the slowdown; it may be nil. The duration is that of the plan.
func Summarize(target string, samples, baseline []Sample, dur time.Duration) []ClassReport {
	var reps []ClassReport
	for _, cls := range cost.Classes() {
		rep := summarizeClass(samples, cls, dur)
		if rep.Offered == 0 {
			continue
		}
		rep.Target = target
		base := summarizeClass(baseline, cls, dur)
		if base.P95 > 0 {
			rep.Slowdown = rep.P95 / base.P95
		}
		reps = append(reps, rep)
	}
	return reps
}

func summarizeClass(samples []Sample, cls string, dur time.Duration) ClassReport {
	rep := ClassReport{Class: cls, Refused: make(map[string]int)}
	var firstTokens []time.Duration
	tokens := 0
	for _, smp := range samples {
		if smp.Class != cls {
			continue
		}
		rep.Offered++
		switch smp.Outcome {
		case OutcomeDone:
			rep.Done++
			firstTokens = append(firstTokens, smp.FirstToken)
			tokens += smp.Tokens
		case OutcomeRefused:
			rep.Refused[smp.Reason]++
		case OutcomeTimeout:
			rep.TimedOut++
		default:
			rep.Incomplete++
		}
	}
	slices.Sort(firstTokens)
	rep.P50 = percentile(firstTokens, 0.50)
	rep.P95 = percentile(firstTokens, 0.95)
	rep.P99 = percentile(firstTokens, 0.99)
	rep.TokenRate = float64(tokens) / dur.Seconds()
	return rep
}

// percentile returns the given quantile of sorted durations in milliseconds, by the nearest-rank method; 0 for none.
func percentile(sorted []time.Duration, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	idx := int(quantile*float64(len(sorted))+0.999999) - 1
	return float64(sorted[max(0, min(idx, len(sorted)-1))]) / float64(time.Millisecond)
}

// WriteTable writes reports as a text table.
func WriteTable(out io.Writer, reps []ClassReport) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "target\tlength\toffered\tdone\tlate\tbroken\tp50 ms\tp95 ms\tp99 ms\tslowdown\trefused\t")
	for _, rep := range reps {
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%s\t%s\t\n",
			rep.Target, rep.Class, rep.Offered, rep.Done, rep.TimedOut, rep.Incomplete, rep.P50, rep.P95, rep.P99,
			formatRatio(rep.Slowdown), formatReasons(rep.Refused))
	}
	return tab.Flush()
}

func formatRatio(val float64) string {
	if val == 0 {
		return "-"
	}
	return strconv.FormatFloat(val, 'f', 2, 64)
}

func formatReasons(counts map[string]int) string {
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

// WriteCSV writes reports as CSV with a header line.
func WriteCSV(out io.Writer, reps []ClassReport) error {
	wri := csv.NewWriter(out)
	_ = wri.Write([]string{
		"target", "length-class", "offered", "done", "late", "broken", "first-token-p50-ms", "first-token-p95-ms",
		"first-token-p99-ms", "slowdown-p95", "tokens-per-second", "refused",
	})
	for _, rep := range reps {
		_ = wri.Write([]string{
			rep.Target, rep.Class, strconv.Itoa(rep.Offered), strconv.Itoa(rep.Done), strconv.Itoa(rep.TimedOut),
			strconv.Itoa(rep.Incomplete), formatNumber(rep.P50), formatNumber(rep.P95), formatNumber(rep.P99),
			formatNumber(rep.Slowdown), formatNumber(rep.TokenRate), formatReasons(rep.Refused),
		})
	}
	wri.Flush()
	return wri.Error()
}

func formatNumber(val float64) string { return strconv.FormatFloat(val, 'f', 3, 64) }
