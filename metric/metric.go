// Package metric holds the Prometheus counters and histograms of a process and serves them, together with its health
// checks.
package metric

import (
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "tarragonwheel"

// firstTokenBuckets are the upper bounds, in seconds, of the histogram of the time to first token. They are densest
// around the target of 0.55 s, and the largest ones cover the longest prompts.
var firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .35, .55, 1, 2, 5, 10, 30, 60, 120}

// latenessBuckets are the upper bounds, in seconds, of the histogram of the error of predictions. A negative error
// means that the first event came earlier than predicted.
var latenessBuckets = []float64{-1, -.2, -.05, .05, .1, .2, .5, 1, 2, 5, 10}

// viewAgeBuckets are the upper bounds, in seconds, of the histogram of the age of load that is known only as a summary.
var viewAgeBuckets = []float64{.1, .25, .5, 1, 1.5, 2, 3, 4}

// Set holds the metrics of one process. Each Set has its own registry, so that one test can run several processes.
type Set struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	refused    *prometheus.CounterVec // by reason and CallLabels
	deferred   *prometheus.CounterVec // by CallLabels
	retries    *prometheus.CounterVec
	drops      *prometheus.CounterVec
	events     *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	lateness   *prometheus.HistogramVec
	viewAge    prometheus.Histogram
}

// New returns a Set in which all counters are 0.
func New() *Set {
	reg := prometheus.NewRegistry()
	set := &Set{registry: reg}
	set.requests = newCounter(reg, "requests_total", "Requests by how they ended.", "outcome")
	set.refusals = newCounter(reg, "refusals_total", "Refused requests by reason code.", "reason")
	set.refused = newCounter(reg, "call_refusals_total", "Refused calls by reason code and kind of call.",
		append([]string{"reason"}, callLabelNames...)...)
	set.deferred = newCounter(reg, "call_deferrals_total", "Waits of calls for a better placement by kind of call.",
		callLabelNames...)
	set.retries = newCounter(reg, "retries_total", "Retried attempts by reason code.", "reason")
	set.drops = newCounter(reg, "dropped_frames_total", "Frames dropped by reason.", "reason")
	set.events = newCounter(reg, "events_total", "Other events by kind.", "kind")
	set.firstToken = newHistogram(reg, "first_token_seconds", "Time to first token by prompt length class.", "length",
		firstTokenBuckets)
	set.lateness = newHistogram(reg, "first_token_prediction_error_seconds",
		"Time to first token less its prediction, by prompt length class.", "length", latenessBuckets)
	set.viewAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "load_summary_age_seconds",
		Help:      "Age of the load of a replica in another cell when a call is placed there.",
		Buckets:   viewAgeBuckets,
	})
	reg.MustRegister(set.viewAge)
	return set
}

func newHistogram(
	reg *prometheus.Registry, name, help, label string, buckets []float64,
) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	vec := prometheus.NewHistogramVec(opts, []string{label})
	reg.MustRegister(vec)
	return vec
}

func newCounter(reg *prometheus.Registry, name, help string, labels ...string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	vec := prometheus.NewCounterVec(opts, labels)
	reg.MustRegister(vec)
	return vec
}

// AddGauge adds a gauge whose value a function returns. It returns an error if there is one of this name.
func (set *Set) AddGauge(name, help string, value func() int64) error {
	opts := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	gauge := prometheus.NewGaugeFunc(opts, func() float64 { return float64(value()) })
	if err := set.registry.Register(gauge); err != nil {
		return fmt.Errorf("metric: register: %w", err)
	}
	return nil
}

// ObservePredictionError records by how much, in seconds, the first token of a request was later than predicted.
func (set *Set) ObservePredictionError(length string, seconds float64) {
	set.lateness.WithLabelValues(length).Observe(seconds)
}

// ObserveSummaryAge records the age, in seconds, of the load on which a call was placed in another cell.
func (set *Set) ObserveSummaryAge(seconds float64) { set.viewAge.Observe(seconds) }

// CountRequest counts a finished request by outcome.
func (set *Set) CountRequest(outcome string) { set.requests.WithLabelValues(outcome).Inc() }

// CountRefusal counts a refusal by reason code.
func (set *Set) CountRefusal(reason string) { set.refusals.WithLabelValues(reason).Inc() }

// CountRetry counts a retried attempt by the reason code of the attempt before it.
func (set *Set) CountRetry(reason string) { set.retries.WithLabelValues(reason).Inc() }

// CountDroppedFrame counts a dropped frame by reason.
func (set *Set) CountDroppedFrame(reason string) { set.drops.WithLabelValues(reason).Inc() }

// CountEvent counts an event that is neither a refusal nor a retry.
func (set *Set) CountEvent(kind string) { set.events.WithLabelValues(kind).Inc() }

// ObserveFirstToken records the time to first token, in seconds, for a length class (see cost.Class).
func (set *Set) ObserveFirstToken(length string, seconds float64) {
	set.firstToken.WithLabelValues(length).Observe(seconds)
}

// Registry returns the registry. Components may add their own collectors to it.
func (set *Set) Registry() *prometheus.Registry { return set.registry }

// Handler serves the metrics in the Prometheus text format.
func (set *Set) Handler() http.Handler {
	return promhttp.HandlerFor(set.registry, promhttp.HandlerOpts{})
}
