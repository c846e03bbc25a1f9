package entry

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

	"github.com/spoolsill/spoolsill"
)

// metrics are the host's OpenTelemetry metrics, served in the Prometheus
// format.
type metrics struct {
	registry *prometheus.Registry
	requests metric.Int64Counter
	refusals metric.Int64Counter
	faults   metric.Int64Counter
	seconds  metric.Float64Histogram
	waited   metric.Float64Histogram
}

// newMetrics returns the metrics of a host. An instrument that can't be made
// is a broken invariant: names and units are constants.
func newMetrics(h *Host) *metrics {
	r := prometheus.NewRegistry()
	e, err := otelprom.New(otelprom.WithRegisterer(r), otelprom.WithoutScopeInfo())
	must(err)
	m := sdk.NewMeterProvider(sdk.WithReader(e)).Meter("spoolsill")
	buckets := metric.WithExplicitBucketBoundaries(0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
	x := &metrics{
		registry: r,
	}
	x.requests, err = m.Int64Counter("spoolsill.requests", metric.WithDescription("requests by service, outcome and cause"))
	must(err)
	x.refusals, err = m.Int64Counter("spoolsill.requests.refused", metric.WithDescription("requests that could not be accepted, by status"))
	must(err)
	x.faults, err = m.Int64Counter("spoolsill.faults", metric.WithDescription("bad frames, refused input and records that can't be read"))
	must(err)
	x.seconds, err = m.Float64Histogram("spoolsill.request.duration", metric.WithUnit("s"), buckets, metric.WithDescription("time from arrival to answer"))
	must(err)
	x.waited, err = m.Float64Histogram("spoolsill.request.wait", metric.WithUnit("s"), buckets, metric.WithDescription("time in the queue"))
	must(err)
	h.observe(m)
	return x
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// observe has the gauges read when they are asked for.
func (h *Host) observe(m metric.Meter) {
	gauge := func(name, text string, read func(s gauges) int64) {
		_, err := m.Int64ObservableGauge(name, metric.WithDescription(text), metric.WithInt64Callback(
			func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(read(h.gauges()))
				return nil
			}))
		must(err)
	}
	gauge("spoolsill.requests.waiting", "requests in the queue", func(g gauges) int64 { return g.waiting })
	gauge("spoolsill.requests.running", "requests at runners", func(g gauges) int64 { return g.running })
	gauge("spoolsill.lease.held", "1 while this host holds its hall's lease", func(g gauges) int64 { return g.held })
	gauge("spoolsill.config.version", "version of the configuration in force", func(g gauges) int64 { return g.version })
	gauge("spoolsill.platform.silent", "1 while the platform does not answer", func(g gauges) int64 { return g.silent })
	gauge("spoolsill.claims", "claims of request keys remembered", func(g gauges) int64 { return g.claims })
	gauge("spoolsill.peer.sent", "bytes sent to other hosts", func(g gauges) int64 { return g.sent })
	gauge("spoolsill.peer.received", "bytes received from other hosts", func(g gauges) int64 { return g.received })
}

type gauges struct {
	waiting, running, held, version, silent, claims, sent, received int64
}

func (h *Host) gauges() gauges {
	s := h.status()
	sent, received := h.node.Traffic()
	h.mu.Lock()
	claims := h.ledger.Len()
	h.mu.Unlock()
	return gauges{
		waiting:  int64(s.Waiting),
		running:  int64(s.Running),
		held:     flag(s.HoldsLease),
		version:  int64(s.Config),
		silent:   flag(s.Degraded),
		claims:   int64(claims),
		sent:     int64(sent),
		received: int64(received),
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) request(s spoolsill.ServiceID, p reply, took time.Duration) {
	ctx := context.Background()
	service := attribute.String("service", string(s))
	m.requests.Add(ctx, 1, metric.WithAttributes(service,
		attribute.String("outcome", string(p.Outcome)),
		attribute.String("cause", string(p.Cause))))
	m.seconds.Record(ctx, took.Seconds(), metric.WithAttributes(service))
	m.waited.Record(ctx, p.Waited.Seconds(), metric.WithAttributes(service))
}

func (m *metrics) refused(status int) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("status", status)))
}
