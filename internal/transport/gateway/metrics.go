package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/state/route"
)

// latencyBuckets are the upper bounds of the histogram buckets in seconds: a plain answer takes tens of milliseconds, a
// stream's first event up to a few seconds.
var latencyBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 2.5, 4, 8, 15}

// Metrics holds the gateway's Prometheus metrics. No label is a route's name, so the number of series stays small
// however many routes there are. The label "tier" holds the priority level.
type Metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	sends             *prometheus.CounterVec
	givenUp           *prometheus.CounterVec
	answers           *prometheus.CounterVec
	firstEventSeconds *prometheus.HistogramVec
	answerSeconds     *prometheus.HistogramVec
	quarantined       *prometheus.CounterVec
	limitedSends      *prometheus.CounterVec
	takenUpStreams    *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: newCounter("requests_total", "Requests that matched a route.", "kind", "tier"),
		sends:    newCounter("sends_total", "Sends to upstreams by their result.", "result"),
		givenUp: newCounter("given_up_sends_total",
			"Sends that were given up since their upstream was silent, by what followed.", "action"),
		answers:           newCounter("answers_total", "Final answers by status; 0 is a broken one.", "status"),
		firstEventSeconds: newHistogram("first_event_seconds", "Time to a stream's first event."),
		answerSeconds:     newHistogram("answer_seconds", "Time to the end of the answer."),
		quarantined: newCounter("quarantined_requests_total",
			"Requests not sent because a part of their prompt crashes upstreams.", "sent"),
		limitedSends: newCounter("limited_sends_total",
			"Sends to upstreams that have named a limit, by whether they were granted.", "granted"),
		takenUpStreams: newCounter("taken_up_streams_total",
			"Streams that callers took up, by whether it was known where they began, and by whether the route still leads there.",
			"known", "served"),
	}
	m.registry.MustRegister(m.requests, m.sends, m.givenUp, m.answers, m.firstEventSeconds, m.answerSeconds, m.quarantined,
		m.limitedSends, m.takenUpStreams)
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lagoongw",
		Name:      name,
		Help:      help,
	}, labels)
}

func newHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "lagoongw",
		Name:      name,
		Help:      help,
		Buckets:   latencyBuckets,
	}, []string{"kind", "tier"})
}

// RegisterGauge adds a gauge; read returns its value each time that the metrics are collected.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "lagoongw",
		Name:      name,
		Help:      help,
	}, read))
}

// Handler returns a handler that serves the metrics to Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) countRequest(r *route.Route, priorityLevel int) {
	m.requests.WithLabelValues(r.Kind().String(), strconv.Itoa(priorityLevel)).Inc()
}

func (m *Metrics) observeFirstEvent(r *route.Route, priorityLevel int, after time.Duration) {
	m.firstEventSeconds.WithLabelValues(r.Kind().String(), strconv.Itoa(priorityLevel)).Observe(after.Seconds())
}

func (m *Metrics) countSend(result attempt.Result) {
	m.sends.WithLabelValues(result.String()).Inc()
}

func (m *Metrics) countGivenUp(action attempt.Action) {
	m.givenUp.WithLabelValues(action.String()).Inc()
}

func (m *Metrics) countPermit(permit dispatch.Permit) {
	if permit.Limited {
		m.limitedSends.WithLabelValues(strconv.FormatBool(permit.Granted)).Inc()
	}
}

func (m *Metrics) countTakenUp(known, served bool) {
	m.takenUpStreams.WithLabelValues(strconv.FormatBool(known), strconv.FormatBool(known && served)).Inc()
}

func (m *Metrics) countAnswer(status int) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
}

func (m *Metrics) observeAnswer(r *route.Route, priorityLevel int, after time.Duration) {
	m.answerSeconds.WithLabelValues(r.Kind().String(), strconv.Itoa(priorityLevel)).Observe(after.Seconds())
}
