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

// metrics holds the host's OpenTelemetry metrics, which are served in the
// Prometheus format.
type metrics struct {
	registry   *prometheus.Registry
	requests   metric.Int64Counter
	rejections metric.Int64Counter
	faults     metric.Int64Counter
	duration   metric.Float64Histogram
	queueTime  metric.Float64Histogram
}

// newMetrics returns the metrics of a host. It panics if an instrument cannot be
// created, which is a programming error since names and units are constants.
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
	x.rejections, err = m.Int64Counter("spoolsill.requests.refused", metric.WithDescription("requests that could not be accepted, by status"))
	must(err)
	x.faults, err = m.Int64Counter("spoolsill.faults", metric.WithDescription("bad frames, refused input and records that can't be read"))
	must(err)
	x.duration, err = m.Float64Histogram("spoolsill.request.duration", metric.WithUnit("s"), buckets, metric.WithDescription("time from arrival to answer"))
	must(err)
	x.queueTime, err = m.Float64Histogram("spoolsill.request.wait", metric.WithUnit("s"), buckets, metric.WithDescription("time in the queue"))
	must(err)
	h.registerGauges(m)
	return x
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// registerGauges registers gauges whose values are read when metrics are
// collected.
func (h *Host) registerGauges(m metric.Meter) {
	gauge := func(name, text string, read func(s gaugeValues) int64) {
		_, err := m.Int64ObservableGauge(name, metric.WithDescription(text), metric.WithInt64Callback(
			func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(read(h.readGauges()))
				return nil
			}))
		must(err)
	}
	gauge("spoolsill.requests.waiting", "requests in the queue", func(g gaugeValues) int64 { return g.waiting })
	gauge("spoolsill.requests.running", "requests at runners", func(g gaugeValues) int64 { return g.running })
	gauge("spoolsill.lease.held", "1 while this host holds its hall's lease", func(g gaugeValues) int64 { return g.held })
	gauge("spoolsill.config.version", "version of the configuration in force", func(g gaugeValues) int64 { return g.version })
	gauge("spoolsill.platform.silent", "1 while the platform does not answer", func(g gaugeValues) int64 { return g.unavailable })
	gauge("spoolsill.claims", "claims of request keys remembered", func(g gaugeValues) int64 { return g.claims })
	gauge("spoolsill.peer.sent", "bytes sent to other hosts", func(g gaugeValues) int64 { return g.sent })
	gauge("spoolsill.peer.received", "bytes received from other hosts", func(g gaugeValues) int64 { return g.received })
}

type gaugeValues struct {
	waiting, running, held, version, unavailable, claims, sent, received int64
}

func (h *Host) readGauges() gaugeValues {
	s := h.status()
	sent, received := h.node.Traffic()
	h.mu.Lock()
	claims := h.ledger.Len()
	h.mu.Unlock()
	return gaugeValues{
		waiting:     int64(s.Waiting),
		running:     int64(s.Running),
		held:        boolValue(s.HoldsLease),
		version:     int64(s.Config),
		unavailable: boolValue(s.Degraded),
		claims:      int64(claims),
		sent:        int64(sent),
		received:    int64(received),
	}
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) recordRequest(s spoolsill.ServiceID, p reply, elapsed time.Duration) {
	ctx := context.Background()
	service := attribute.String("service", string(s))
	m.requests.Add(ctx, 1, metric.WithAttributes(service,
		attribute.String("outcome", string(p.Outcome)),
		attribute.String("cause", string(p.Cause))))
	m.duration.Record(ctx, elapsed.Seconds(), metric.WithAttributes(service))
	m.queueTime.Record(ctx, p.Waited.Seconds(), metric.WithAttributes(service))
}

func (m *metrics) recordRejection(status int) {
	m.rejections.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("status", status)))
}
