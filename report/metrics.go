package report

import (
	"fmt"
	"io"
	"math"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Names of the metrics that the report reads.
const (
	nameRequests   = "tarragonwheel_requests_total"
	nameEvents     = "tarragonwheel_events_total"
	nameSummaryAge = "tarragonwheel_load_summary_age_seconds"
)

// metrics holds the sums of the metrics of all processes.
type metrics struct {
	read     bool // metrics were read
	requests map[string]float64
	events   map[string]float64
	ageUpto  map[float64]uint64 // calls placed by a summary, by upper bound of its age in seconds; cumulative
}

// ReadMetrics adds the metrics of one process, as it serves them at the end of the run.
func (run *Run) ReadMetrics(rd io.Reader) error {
	prs := expfmt.NewTextParser(model.LegacyValidation)
	families, err := prs.TextToMetricFamilies(rd)
	if err != nil {
		return fmt.Errorf("report: read metrics: %w", err)
	}
	mts := &run.counts
	if !mts.read {
		*mts = metrics{
			read: true, requests: make(map[string]float64), events: make(map[string]float64),
			ageUpto: make(map[float64]uint64),
		}
	}
	addCounters(mts.requests, families[nameRequests])
	addCounters(mts.events, families[nameEvents])
	for _, met := range families[nameSummaryAge].GetMetric() {
		for _, bkt := range met.GetHistogram().GetBucket() {
			if !math.IsInf(bkt.GetUpperBound(), 1) {
				mts.ageUpto[bkt.GetUpperBound()] += bkt.GetCumulativeCount()
			}
		}
		mts.ageUpto[math.Inf(1)] += met.GetHistogram().GetSampleCount()
	}
	return nil
}

// addCounters adds the counters of a family by the value of their only label.
func addCounters(sums map[string]float64, family *dto.MetricFamily) {
	for _, met := range family.GetMetric() {
		for _, lab := range met.GetLabel() {
			sums[lab.GetValue()] += met.GetCounter().GetValue()
		}
	}
}
