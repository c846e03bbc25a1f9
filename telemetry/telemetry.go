// Package telemetry holds the metrics of a host: counters of outcomes and histograms of
// latencies, recorded with OpenTelemetry and served in the Prometheus format.
package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/traffic"
)

// Metrics are the metrics of one host. They are safe for concurrent use. On a nil
// *Metrics the methods that record values do nothing.
type Metrics struct {
	registry           *prometheus.Registry
	meter              metric.Meter
	clientCalls        metric.Int64Counter
	states             metric.Int64Counter
	callDuration       metric.Float64Histogram
	storeWriteDuration metric.Float64Histogram
	adviceDuration     metric.Float64Histogram
	events             metric.Int64Counter
	startDuration      metric.Float64Histogram
	jobDuration        metric.Float64Histogram
	takeoverDuration   metric.Float64Histogram
}

// bucketBounds are the bounds of the histogram buckets in seconds, from a store call to a
// long job.
var bucketBounds = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60}

// New returns metrics that are all zero. It panics if an instrument can't be created, which
// is a programming error since names and units are constants.
func New() *Metrics {
	r := prometheus.NewRegistry()
	e, err := otelprom.New(otelprom.WithRegisterer(r), otelprom.WithoutScopeInfo())
	must(err)
	m := sdk.NewMeterProvider(sdk.WithReader(e)).Meter("spoolsill")
	x := &Metrics{
		registry: r,
		meter:    m,
	}
	x.clientCalls = counter(m, "spoolsill.calls", "clients' calls by kind and outcome")
	x.events = counter(m, "spoolsill.events", "decisions and changes of belief of the leader, by kind and reason")
	x.states = counter(m, "spoolsill.states", "job states that clients asked for, by where they came from")
	x.callDuration = histogram(m, "spoolsill.call.duration", "from a client's call to its answer, by kind")
	x.storeWriteDuration = histogram(m, "spoolsill.store.write.duration", "writes to the store, by outcome")
	x.adviceDuration = histogram(m, "spoolsill.advice.duration", "questions to the advisor, by outcome")
	x.startDuration = histogram(m, "spoolsill.start.duration", "from the decision to start a task to the worker's answer, by outcome")
	x.jobDuration = histogram(m, "spoolsill.job.duration", "from a job's acceptance to its end")
	x.takeoverDuration = histogram(m, "spoolsill.takeover.duration", "from becoming the leader to knowing all jobs")
	return x
}

func counter(m metric.Meter, name, description string) metric.Int64Counter {
	c, err := m.Int64Counter(name, metric.WithDescription(description))
	must(err)
	return c
}

func histogram(m metric.Meter, name, description string) metric.Float64Histogram {
	h, err := m.Float64Histogram(name,
		metric.WithUnit("s"),
		metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(bucketBounds...),
	)
	must(err)
	return h
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, description string, read func() int64) {
	_, err := m.meter.Int64ObservableGauge(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}),
	)
	must(err)
}

// RegisterTraffic registers counters of the bytes over the host's network link, which are read at
// each scrape.
func (m *Metrics) RegisterTraffic(read func() map[traffic.Purpose]traffic.Count) {
	_, err := m.meter.Int64ObservableCounter("spoolsill.link.bytes",
		metric.WithUnit("By"),
		metric.WithDescription("bytes over this host's link, by purpose and direction"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for p, c := range read() {
				purpose := attribute.String("purpose", string(p))
				o.Observe(int64(c.Sent), metric.WithAttributes(purpose, attribute.String("direction", "sent")))
				o.Observe(int64(c.Received), metric.WithAttributes(purpose, attribute.String("direction", "received")))
			}
			return nil
		}),
	)
	must(err)
}

// Handler returns a handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// RecordCall records a client's call and its duration.
func (m *Metrics) RecordCall(kind, outcome string, elapsed time.Duration) {
	if m == nil {
		return
	}
	ctx := context.Background()
	k := attribute.String("kind", kind)
	m.clientCalls.Add(ctx, 1, metric.WithAttributes(k, attribute.String("outcome", outcome)))
	m.callDuration.Record(ctx, elapsed.Seconds(), metric.WithAttributes(k))
}

// RecordState records where the state of a job came from that a client asked for.
func (m *Metrics) RecordState(source string) {
	if m == nil {
		return
	}
	m.states.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", source)))
}

// RecordStoreWrite records a write to the store.
func (m *Metrics) RecordStoreWrite(outcome string, elapsed time.Duration) {
	if m == nil {
		return
	}
	m.storeWriteDuration.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// RecordAdvice records a request to the advisor.
func (m *Metrics) RecordAdvice(outcome string, elapsed time.Duration) {
	if m == nil {
		return
	}
	m.adviceDuration.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// RecordTakeover records how long a new leader took to load all jobs.
func (m *Metrics) RecordTakeover(elapsed time.Duration) {
	if m == nil {
		return
	}
	m.takeoverDuration.Record(context.Background(), elapsed.Seconds())
}

// RecordEvent records an event of the leader: a decision or a change in its view of the cell.
func (m *Metrics) RecordEvent(n sched.Note) {
	if m == nil {
		return
	}
	ctx := context.Background()
	switch n.Kind {
	case sched.NoteStarted, sched.NoteNotStarted:
		m.startDuration.Record(ctx, n.Age.Seconds(), metric.WithAttributes(attribute.String("outcome", n.Reason)))
	case sched.NoteJobEnded:
		m.jobDuration.Record(ctx, n.Age.Seconds())
	case sched.NoteEnded:
		m.events.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", string(n.Kind)), attribute.String("reason", n.Reason)))
	default:
		m.events.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", string(n.Kind))))
	}
}
