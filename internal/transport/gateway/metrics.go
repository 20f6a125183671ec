package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/state/route"
)

// latencyBuckets are the upper bounds of the histograms in seconds: a plain answer takes tens of milliseconds, a stream's
// first event up to some seconds.
var latencyBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 2.5, 4, 8, 15}

// Metrics counts what the gateway does; the labels are few, whatever operators name their routes.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	sends    *prometheus.CounterVec
	answers  *prometheus.CounterVec
	first    *prometheus.HistogramVec
	took     *prometheus.HistogramVec
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: newCounter("requests_total", "Requests that matched a route.", "kind", "tier"),
		sends:    newCounter("sends_total", "Sends to upstreams by their result.", "result"),
		answers:  newCounter("answers_total", "Final answers by status; 0 is a broken one.", "status"),
		first:    newHistogram("first_event_seconds", "Time to a stream's first event."),
		took:     newHistogram("answer_seconds", "Time to the end of the answer."),
	}
	m.registry.MustRegister(m.requests, m.sends, m.answers, m.first, m.took)
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

// RegisterGauge adds a value that is read when the metrics are.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "lagoongw",
		Name:      name,
		Help:      help,
	}, read))
}

// Handler answers with the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) request(r *route.Route, tier int) {
	m.requests.WithLabelValues(r.Kind().String(), strconv.Itoa(tier)).Inc()
}

func (m *Metrics) firstEvent(r *route.Route, tier int, after time.Duration) {
	m.first.WithLabelValues(r.Kind().String(), strconv.Itoa(tier)).Observe(after.Seconds())
}

func (m *Metrics) send(result attempt.Result) {
	m.sends.WithLabelValues(result.String()).Inc()
}

func (m *Metrics) answer(status int) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
}

func (m *Metrics) answered(r *route.Route, tier int, after time.Duration) {
	m.took.WithLabelValues(r.Kind().String(), strconv.Itoa(tier)).Observe(after.Seconds())
}
